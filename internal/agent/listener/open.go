// Package listener opens the sockets at which an agent can be reached, retries what may fail for a moment, and bounds
// how many accepted connections are open at once.
//
// Who owns what: a listener belongs to the server that accepts from it, one goroutine that calls Accept; Limited's time
// of the backlog is that goroutine's alone. A slot belongs to the connection that holds it, and goes back when the
// connection is closed. InUse and Backlogged are as of the call, and may have changed when they return.
package listener

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenTCP listens at an address, host:port. It retries while the address is in use, for up to openTimeout: the
// process before this one may still be draining there.
func ListenTCP(ctx context.Context, address string) (*net.TCPListener, error) {
	return listenTCP(ctx, address, nil)
}

// listenTCP is ListenTCP with an attempt at each value of retryTicks, as Retry takes them.
func listenTCP(ctx context.Context, address string, retryTicks <-chan time.Time) (*net.TCPListener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return Retry(ctx, retryTicks, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", addr) })
}

// Inherited returns a listener over the listening TCP socket that the platform holds and every process inherits as
// descriptor fd, the value of PROXY_FD. The listener has a descriptor of its own, and fd is closed. An error names
// PROXY_FD, and says what fd is not.
func Inherited(ctx context.Context, fd int) (*net.TCPListener, error) {
	file := os.NewFile(uintptr(fd), "PROXY_FD")
	if file == nil {
		return nil, fmt.Errorf("PROXY_FD: %d is no file descriptor", fd)
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
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is no listening TCP socket", fd)
	}
	return tcpListener, nil
}
