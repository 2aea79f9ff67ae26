package clientconn

// This file has the methods by which handlers and the owners of idle connections update and query the state of a
// connection's requests.

import "time"

// Ambiguous reports whether a request had both a Content-Length and a Transfer-Encoding, so that its end is ambiguous.
func (c *Conn) Ambiguous() bool { return c.ambiguous.Load() }

// MarkRequestComplete records that the current request has arrived completely, with its body. The request's handler
// calls it.
func (c *Conn) MarkRequestComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending = true
	c.changed.Broadcast()
}

// MarkResponseComplete records that the current request has been answered. It must be called before the connection may
// be closed as idle.
func (c *Conn) MarkResponseComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending, c.firstByteAt = false, time.Time{}
	c.requestsAnswered++
	if len(c.readAhead) > 0 {
		c.markRequestStart()
	}
}

// Overflowed reports whether bytes that arrived after the current request were discarded, so that the connection must be
// closed after the current response.
func (c *Conn) Overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflowed
}

// RequestInProgress reports whether an unanswered request, or part of one, has arrived.
func (c *Conn) RequestInProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestInProgress()
}

// requestInProgress is RequestInProgress for a caller that holds mu.
func (c *Conn) requestInProgress() bool {
	return c.mayHaveRequest() || c.inRequest || len(c.readAhead) > 0
}

// MayHaveRequest reports whether a complete, unanswered request may have arrived: the server has read one, or there are
// bytes that have not been looked at.
func (c *Conn) MayHaveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRequest()
}

// mayHaveRequest is MayHaveRequest for a caller that holds mu.
func (c *Conn) mayHaveRequest() bool {
	incomplete := c.gate != nil && c.phase == arriving
	return len(c.readAhead) > 0 && !incomplete || c.requestsRead > c.requestsAnswered || hasUnreadBytes(c.Conn)
}

// LastByteAt returns when the latest byte arrived that was buffered; zero if none has arrived.
func (c *Conn) LastByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastByteAt
}

// RequestStartedAt returns when the current request began: the first request when the connection was accepted, each later
// request when its first byte arrived.
func (c *Conn) RequestStartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStartedAt()
}

// requestStartedAt is RequestStartedAt for a caller that holds mu.
func (c *Conn) requestStartedAt() time.Time {
	switch {
	case c.requestsAnswered == 0:
		return c.acceptedAt
	case c.firstByteAt.IsZero():
		return time.Now() // the server has read the first byte together with the previous request, so its arrival was not recorded
	}
	return c.firstByteAt
}
