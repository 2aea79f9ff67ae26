package clientconn

import (
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// ioRetry follows errors in a row of the reads or writes of one connection.
type ioRetry struct {
	failingSince time.Time // zero: the latest call did not fail
	backoff      backoff.ExponentialBackOff
}

const (
	maxRetryTime               = 3 * time.Second // after that the connection is taken for broken
	initialBackoff, maxBackoff = time.Millisecond, 20 * time.Millisecond
)

// shouldRetry reports whether a call that failed is to be made again, and waits a moment before that. What is short may be had
// again, and a connection that is broken says so again: by its end, or by one of the errors that nothing follows.
func (r *ioRetry) shouldRetry(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE || errno == syscall.ECONNRESET || errno == syscall.ENOTCONN || errno == syscall.EBADF {
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
