package clientconn

// This file is what handlers and the owners of idle connections say and ask about a connection's requests.

import "time"

// Ambiguous reports whether a request had both a Content-Length and a Transfer-Encoding, so that its end is in doubt.
func (c *Conn) Ambiguous() bool { return c.ambiguous.Load() }

// MarkRequestComplete says that the present request has arrived completely, with its body. The request's handler calls
// it.
func (c *Conn) MarkRequestComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending = true
	c.changed.Broadcast()
}

// MarkResponseComplete says that the present request is answered. It is called before the connection may be closed as
// idle.
func (c *Conn) MarkResponseComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsePending, c.firstByteAt = false, time.Time{}
	c.responses++
	if len(c.readAhead) > 0 {
		c.markRequestStart()
	}
}

// Overflowed reports whether the connection has to end with the present response, since bytes that arrived after the
// request were dropped.
func (c *Conn) Overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflowed
}

// RequestInProgress reports whether a request, or part of one, has arrived and is unanswered.
func (c *Conn) RequestInProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestInProgress()
}

// requestInProgress is RequestInProgress for a caller that holds mu.
func (c *Conn) requestInProgress() bool { return c.mayHaveRequest() || c.inRequest }

// MayHaveRequest reports whether a complete request may have arrived that is unanswered: one is known, or there are
// bytes that the server has not read.
func (c *Conn) MayHaveRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayHaveRequest()
}

// mayHaveRequest is MayHaveRequest for a caller that holds mu.
func (c *Conn) mayHaveRequest() bool {
	return len(c.readAhead) > 0 || c.requests > c.responses || hasUnreadBytes(c.Conn)
}

// LastByteAt is when the latest byte arrived that was kept; zero: none has.
func (c *Conn) LastByteAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastByteAt
}

// RequestStartedAt is when the present request began: the first one with the accepted connection, each later one with
// its first byte.
func (c *Conn) RequestStartedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.responses == 0:
		return c.acceptedAt
	case c.firstByteAt.IsZero():
		return time.Now() // the server had it already: it arrived in one read with the request before
	}
	return c.firstByteAt
}
