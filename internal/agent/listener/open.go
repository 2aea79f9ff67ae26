// Package listener opens the sockets at which an agent is reached, through what may fail for a moment, and bounds how
// many connections they hand out.
package listener

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// ListenTCP listens at an address. The process before this one may still drain there: it is waited for.
func ListenTCP(ctx context.Context, address string) (*net.TCPListener, error) {
	return listenTCP(ctx, address, nil)
}

func listenTCP(ctx context.Context, address string, retryTicks <-chan time.Time) (*net.TCPListener, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return Retry(ctx, retryTicks, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", addr) })
}

// Inherited is the listening socket that the platform holds and every process inherits as a descriptor, which is closed:
// the listener has one of its own.
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
