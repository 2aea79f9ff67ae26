package clientconn

// This file closes connections, either at once or after the client has had time to read the last response.

import (
	"net"
	"net/http"
	"time"
)

// Close closes the connection. If the client may not have read a response yet, Close shuts down only the sending side;
// the read loop then discards what arrives for up to lingerTimeout, and closes the socket.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.shouldLinger()
	c.markClosing()
	c.mu.Unlock()
	if c.gate != nil {
		c.gate.IdleConns.Track(c, http.StateClosed) // it must not be evicted while its client may still have to read a response
	}
	return c.closeSocket(linger)
}

// shouldLinger reports whether the client may still have to read a response: part of a response was written, the read loop
// has not ended, and this side has not closed the connection. The caller holds mu.
func (c *Conn) shouldLinger() bool { return c.written && !c.readDone && !c.closing }

// closeSocket closes the socket. If linger is set, closeSocket shuts down only the sending side, and the read loop closes
// the socket later; if the shutdown fails, closeSocket closes the socket at once. The caller does not hold mu.
func (c *Conn) closeSocket(linger bool) error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); linger && ok && half.CloseWrite() == nil &&
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		return nil
	}
	return c.closeNow()
}

// closeNow closes the socket. The caller does not hold mu.
func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.socketClosed = true
	c.releaseArrival()
	c.changed.Broadcast()
	return err
}

// isClosing reports whether this side has closed the connection.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// awaitClosed waits until the socket is closed. After the read loop has ended, a client that has closed only its sending side may
// still read a response.
func (c *Conn) awaitClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.socketClosed {
		c.changed.Wait()
	}
}

// abortUnlessRequestArrived closes the connection at once, without lingering, unless a complete request may have arrived. It
// reports whether it closed the connection.
func (c *Conn) abortUnlessRequestArrived() bool {
	c.mu.Lock()
	if c.mayHaveRequest() {
		c.mu.Unlock()
		return false
	}
	c.markClosing()
	c.mu.Unlock()
	_ = c.closeNow() // an error means that it is closed already
	return true
}

// closeUnlessInRequest closes the connection unless part of a request has arrived. It reports whether it closed the
// connection.
func (c *Conn) closeUnlessInRequest() bool {
	c.mu.Lock()
	if c.requestInProgress() {
		c.mu.Unlock()
		return false
	}
	linger := c.shouldLinger()
	c.markClosing()
	c.mu.Unlock()
	_ = c.closeSocket(linger) // an error means that the client has closed the connection already
	return true
}

// markClosing makes the server's further reads fail and cancels the connection's context. The caller holds mu.
func (c *Conn) markClosing() {
	c.closing = true
	c.readAhead = nil
	// net/http answers a read error other than these with a status, which would race with the close.
	c.stopReading(&net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed})
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
	}
}

// CloseWrite shuts down the sending side. net/http calls it before Close, so that a reset does not overtake the last
// response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
