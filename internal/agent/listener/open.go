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
	openWithin = 8 * time.Second // a restarted process is to be ready within 10 s
	openEvery  = 20 * time.Millisecond
)

// passing are the errors of system calls that may be over a moment later: shortages of the machine, addresses that are
// still another process's, and a disk that fails. Others mean that what was asked for can't be had.
var passing = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EBUSY,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EIO,
}

// Passes reports whether what failed may do so for a moment only.
func Passes(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(passing, errno)
}

// Retry does something again and again until it succeeds, fails for good, or has failed for as long as a start may take.
// A try follows each time that again tells; nil: every openEvery.
func Retry[T any](ctx context.Context, again <-chan time.Time, do func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, openWithin)
	defer cancel()
	if again == nil {
		tick := time.NewTicker(openEvery)
		defer tick.Stop()
		again = tick.C
	}
	for {
		result, err := do()
		if !Passes(err) {
			return result, err
		}
		select {
		case <-again:
		case <-ctx.Done():
			return result, err
		}
	}
}

// TCP listens at an address. The process before this one may still drain there: it is waited for.
func TCP(ctx context.Context, text string) (*net.TCPListener, error) { return tcp(ctx, text, nil) }

func tcp(ctx context.Context, text string, again <-chan time.Time) (*net.TCPListener, error) {
	addr, err := net.ResolveTCPAddr("tcp", text)
	if err != nil {
		return nil, err
	}
	return Retry(ctx, again, func() (*net.TCPListener, error) { return net.ListenTCP("tcp", addr) })
}

// Inherited is the listening socket that the platform holds and every process inherits as a descriptor, which is closed:
// the listener has one of its own.
func Inherited(ctx context.Context, fd int) (*net.TCPListener, error) {
	file := os.NewFile(uintptr(fd), "PROXY_FD")
	if file == nil {
		return nil, fmt.Errorf("PROXY_FD: %d is no file descriptor", fd)
	}
	defer file.Close()
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", fd, err)
	}
	ln, err := Retry(ctx, nil, func() (net.Listener, error) { return net.FileListener(file) })
	if err != nil {
		return nil, fmt.Errorf("PROXY_FD: descriptor %d: %w", fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok || listening == 0 {
		ln.Close()
		return nil, fmt.Errorf("PROXY_FD: descriptor %d is no listening TCP socket", fd)
	}
	return tcp, nil
}
