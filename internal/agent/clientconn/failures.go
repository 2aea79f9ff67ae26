package clientconn

import (
	"errors"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// failures follows errors in a row of the reads or writes of one connection.
type failures struct {
	since time.Time // zero: the latest call did not fail
	waits backoff.ExponentialBackOff
}

const (
	failsWithin                       = 3 * time.Second // after that the connection is taken for broken
	failureWaitFirst, failureWaitMost = time.Millisecond, 20 * time.Millisecond
)

// passing reports whether a call that failed is to be made again, and waits a moment before that. What is short may be had
// again, and a connection that is broken says so again: by its end, or by one of the errors that nothing follows.
func (f *failures) passing(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE || errno == syscall.ECONNRESET || errno == syscall.ENOTCONN || errno == syscall.EBADF {
		*f = failures{}
		return false
	}
	if f.since.IsZero() {
		f.since = time.Now()
		f.waits = backoff.ExponentialBackOff{InitialInterval: failureWaitFirst, Multiplier: 2, MaxInterval: failureWaitMost}
	}
	if time.Since(f.since) > failsWithin {
		return false
	}
	time.Sleep(f.waits.NextBackOff())
	return true
}
