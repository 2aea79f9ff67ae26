// Package listener opens the sockets at which an agent is reached, through what may fail for a moment, and bounds how
// many connections they hand out.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"
)

const (
	openTimeout       = 8 * time.Second // a restarted process is to be ready within 10 s
	openRetryInterval = 20 * time.Millisecond
)

// passing are the errors of system calls that may be over a moment later: shortages of the machine, addresses that are
// still another process's, and a disk that fails. Others mean that what was asked for can't be had.
var transientErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EBUSY,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EIO,
}

// IsTransient reports whether what failed may do so for a moment only.
func IsTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrnos, errno)
}

// Retry does something again and again until it succeeds, fails for good, or has failed for as long as a start may take.
// A try follows each time that again tells; nil: every openRetryInterval.
func Retry[T any](ctx context.Context, retryTicks <-chan time.Time, attempt func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	if retryTicks == nil {
		ticker := time.NewTicker(openRetryInterval)
		defer ticker.Stop()
		retryTicks = ticker.C
	}
	for {
		result, err := attempt()
		if !IsTransient(err) {
			return result, err
		}
		select {
		case <-retryTicks:
		case <-ctx.Done():
			return result, err
		}
	}
}

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
