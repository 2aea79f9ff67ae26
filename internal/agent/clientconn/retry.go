package clientconn

// This file retries reads and writes whose errors may pass.

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// ioRetry is the retry state of one connection's reads, or of one Write. It belongs to one goroutine.
type ioRetry struct {
	failingSince time.Time // zero: the latest call did not fail
	backoff      backoff.ExponentialBackOff
}

const (
	maxRetryTime               = 3 * time.Second // of failures in a row; after that the connection counts as broken
	initialBackoff, maxBackoff = time.Millisecond, 20 * time.Millisecond
)

// closedErrnos are the errors that only a closed connection returns.
var closedErrnos = []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EBADF}

// shouldRetry reports whether a call that returned err is to be made again, and sleeps for the backoff before it
// returns true. Every error of a system call is retried but those that only a closed connection returns: a shortage may
// pass, and a broken connection says so again, by its end or by one of those errors.
func (r *ioRetry) shouldRetry(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) || slices.Contains(closedErrnos, errno) {
		*r = ioRetry{}
		return false
	}
	if r.failingSince.IsZero() {
		r.failingSince = time.Now()
		r.backoff = backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: 2, MaxInterval: maxBackoff}
	}
	if time.Since(r.failingSince) > maxRetryTime {
		return false
	}
	time.Sleep(r.backoff.NextBackOff())
	return true
}
