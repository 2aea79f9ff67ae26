package listener

import (
	"context"
	"errors"
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
