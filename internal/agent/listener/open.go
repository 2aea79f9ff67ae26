// Package listener opens the sockets on which an agent listens, retries after transient errors, and bounds how many
// accepted connections are open at once.
//
// Ownership: a listener belongs to the server that accepts from it; one goroutine calls Accept, and only that goroutine
// uses Limited.backloggedSince. A slot belongs to the connection that uses it, and is freed when the connection is
// closed. The results of InUse and Backlogged are as of the call, and may be out of date when they return.
package listener

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenTCP listens on an address, host:port. After transient errors ListenTCP retries until ctx is done, for up to
// openTimeout: the address may be in use, because the previous process is still draining on it.
func ListenTCP(ctx context.Context, address string) (*net.TCPListener, error) {
	return listenTCP(ctx, address, nil)
}

// listenTCP is ListenTCP with a retry for each value of retryTicks, as in Retry.
func listenTCP(ctx context.Context, address string, retryTicks <-chan time.Time) (*net.TCPListener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return Retry(ctx, retryTicks, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", addr) })
}

// Inherited returns a listener for the listening TCP socket that the platform keeps open and every process inherits as
// file descriptor fd, the value of PROXY_FD. The listener uses a duplicate descriptor, and Inherited closes fd. After
// transient errors Inherited retries, as Retry does. An error names PROXY_FD and states why fd can't be used.
func Inherited(ctx context.Context, fd int) (*net.TCPListener, error) {
	file := os.NewFile(uintptr(fd), "PROXY_FD")
	if file == nil {
		return nil, fmt.Errorf("PROXY_FD: %d is not a file descriptor", fd)
	}
	defer file.Close()
	acceptsConns, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", fd, err)
	}
	ln, err := Retry(ctx, nil, func() (net.Listener, error) { return net.FileListener(file) })
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", fd, err)
	}
	tcpListener, ok := ln.(*net.TCPListener)
	if !ok || acceptsConns == 0 {
		ln.Close()
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is not a listening TCP socket", fd)
	}
	return tcpListener, nil
}
