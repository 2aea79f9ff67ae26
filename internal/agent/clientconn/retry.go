package clientconn

// This file retries reads and writes that fail with transient errors.

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// ioRetry is the retry state of one connection's reads, or of one Write. Only one goroutine may use it.
type ioRetry struct {
	failingSince time.Time // zero: the latest call did not fail
	backoff      backoff.ExponentialBackOff
}

const (
	maxRetryTime               = 3 * time.Second // consecutive failures over a longer time mean that the connection is broken
	initialBackoff, maxBackoff = time.Millisecond, 20 * time.Millisecond
)

// closedErrnos are the errors that only a closed connection returns.
var closedErrnos = []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EBADF}

// shouldRetry reports whether a call that returned err should be retried, and sleeps for the backoff before it returns
// true. It retries every system call error except closedErrnos: a resource shortage is transient, and if the connection
// is broken, a later call returns EOF or one of closedErrnos.
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
