package clientconn

import (
	"net"
	"time"
)

// Close ends the connection. Where an answer was written the client can still read it: the task drops what comes, and
// closes the socket.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.shouldLinger()
	c.markClosing()
	c.mu.Unlock()
	return c.closeSocket(linger)
}

// shouldLinger reports whether the other side may not have read an answer yet. The lock is held.
func (c *Conn) shouldLinger() bool { return c.written && !c.readDone && !c.closing }

// closeSocket closes the socket, or has the task close it.
func (c *Conn) closeSocket(linger bool) error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); linger && ok && half.CloseWrite() == nil &&
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		return nil
	}
	return c.Conn.Close()
}

// abortUnlessRequested closes the connection at once, unless a whole request may have come. It reports whether it has.
func (c *Conn) abortUnlessRequested() bool {
	c.mu.Lock()
	if c.mayHaveRequest() {
		c.mu.Unlock()
		return false
	}
	c.markClosing()
	c.mu.Unlock()
	c.Conn.Close()
	return true
}

// closeUnlessInRequest ends the connection, unless part of a request has come. It reports whether it has.
func (c *Conn) closeUnlessInRequest() bool {
	c.mu.Lock()
	if c.requestInProgress() {
		c.mu.Unlock()
		return false
	}
	linger := c.shouldLinger()
	c.markClosing()
	c.mu.Unlock()
	_ = c.closeSocket(linger) // closed by its client already if it fails
	return true
}

// markClosing has this side closed. The lock is held.
func (c *Conn) markClosing() {
	c.closing = true
	c.stopReading(net.ErrClosed)
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
}

// CloseWrite lets net/http end its sending before it closes, so that a reset does not overtake a
// last answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
