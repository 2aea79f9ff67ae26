package agent

import (
	"errors"
	"syscall"
	"time"
)

// failures follows errors in a row of the reads or writes of one connection.
type failures struct {
	since time.Time
	wait  time.Duration
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
		f.since, f.wait = time.Now(), failureWaitFirst
	}
	if time.Since(f.since) > failsWithin {
		return false
	}
	time.Sleep(f.wait)
	f.wait = min(2*f.wait, failureWaitMost)
	return true
}
