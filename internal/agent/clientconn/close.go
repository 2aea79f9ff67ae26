package clientconn

// This file closes connections, at once or after their client has had time to read the last response.

import (
	"net"
	"time"
)

// Close ends the connection. A response that was written can still be read by the client: then the read loop drops what
// arrives for up to lingerTimeout, and closes the socket.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.shouldLinger()
	c.markClosing()
	c.mu.Unlock()
	return c.closeSocket(linger)
}

// shouldLinger reports whether the client may not have read a response yet. The caller holds mu.
func (c *Conn) shouldLinger() bool { return c.written && !c.readDone && !c.closing }

// closeSocket closes the socket, or leaves that to the read loop where the connection lingers. The caller does not hold
// mu.
func (c *Conn) closeSocket(linger bool) error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); linger && ok && half.CloseWrite() == nil &&
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		return nil
	}
	return c.Conn.Close()
}

// abortUnlessRequested closes the connection at once, without lingering, unless a complete request may have arrived. It
// reports whether it has closed it.
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

// closeUnlessInRequest closes the connection unless part of a request has arrived. It reports whether it has closed it.
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

// markClosing ends the server's reads and the connection's context. The caller holds mu.
func (c *Conn) markClosing() {
	c.closing = true
	c.stopReading(net.ErrClosed)
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
}

// CloseWrite ends the sending. net/http calls it before it closes, so that a reset does not overtake the last response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
