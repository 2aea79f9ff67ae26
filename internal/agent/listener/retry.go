package listener

// This file retries what opens a socket or a file at startup, while it fails for reasons that may pass.

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	openTimeout       = 8 * time.Second // bounds Retry: a restarted process has to be ready within 10 s
	openRetryInterval = 20 * time.Millisecond
)

// transientErrnos are the errors of system calls that may pass: shortages of the machine, addresses that another
// process still has, networks that are down and disks that fail. All others are taken for permanent.
var transientErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EBUSY,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EIO,
}

// IsTransient reports whether err holds an error of a system call that may pass.
func IsTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrnos, errno)
}

// Retry calls attempt until it succeeds, fails with an error that is not transient, or openTimeout has passed or ctx is
// done; it returns the latest result. It waits for a value of retryTicks before each further attempt; nil: for
// openRetryInterval.
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
