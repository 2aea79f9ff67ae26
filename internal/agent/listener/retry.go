package listener

// This file retries functions that open a socket or a file at startup, while they fail with transient errors.

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	openTimeout       = 8 * time.Second // bounds Retry: a restarted process must be ready within 10 s
	openRetryInterval = 20 * time.Millisecond
)

// transientErrnos are the system call errors that may be transient: resource shortages, addresses that another process
// still uses, networks that are down and disks that fail. All other errors are treated as permanent.
var transientErrnos = []syscall.Errno{
	syscall.EINTR, syscall.EAGAIN, syscall.EBUSY,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EDQUOT, syscall.ENOLCK,
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ETIMEDOUT, syscall.EIO,
}

// IsTransient reports whether err wraps a system call error that may be transient.
func IsTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(transientErrnos, errno)
}

// Retry calls attempt until attempt succeeds or fails with an error that is not transient, openTimeout has passed, or ctx
// is done. It returns the latest result of attempt. Before each further call it waits for a value of retryTicks, or for
// openRetryInterval if retryTicks is nil.
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
