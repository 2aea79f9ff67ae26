package clientconn

import "time"

// Ambiguous reports whether a request gave both a Content-Length and a Transfer-Encoding: where it ends is in doubt.
func (c *Conn) Ambiguous() bool { return c.ambiguous.Load() }

// MarkRequestComplete says that the present request has come whole.
func (c *Conn) MarkRequestComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending = true
	c.changed.Broadcast()
}

// MarkResponseComplete says that the present request has its answer.
func (c *Conn) MarkResponseComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending, c.firstByteAt = false, time.Time{}
	c.responses++
	if len(c.readAhead) > 0 {
		c.markRequestStart()
	}
}

// Overflowed reports whether the connection ends with the present answer, since what came behind it was not kept.
func (c *Conn) Overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflowed
}

// RequestInProgress reports whether part of a request has come that has no answer.
func (c *Conn) RequestInProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestInProgress()
}

// requestInProgress is reading. The lock is held.
func (c *Conn) requestInProgress() bool { return c.mayHaveRequest() || c.inRequest }

// MayHaveRequest reports whether a whole request may have come that has no answer.
func (c *Conn) MayHaveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRequest()
}

// mayHaveRequest is asked: of what the server has not been handed nothing is known. The lock is held.
func (c *Conn) mayHaveRequest() bool {
	return len(c.readAhead) > 0 || c.requests > c.responses || hasUnreadBytes(c.Conn)
}

// LastByteAt is when the latest byte came of what was read.
func (c *Conn) LastByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastByteAt
}

// RequestStartedAt is when the present request began to come: the first one with its connection.
func (c *Conn) RequestStartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.responses == 0:
		return c.acceptedAt
	case c.firstByteAt.IsZero():
		return time.Now() // it came with the one before
	}
	return c.firstByteAt
}
