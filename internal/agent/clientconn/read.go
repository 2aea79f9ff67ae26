package clientconn

// This file reads the socket into the connection's buffer, and hands the buffer to net/http.

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"martenbeam/internal/rawconn"
	"martenbeam/internal/tcpinfo"
)

// errOverflowed is the error of the server's reads after an overflow: bytes were discarded, so the bytes that follow can't
// be parsed.
var errOverflowed = errors.New("the client sends more than one request at a time")

// disconnectCheckInterval is how often the read loop checks whether the client has disconnected while the loop is paused
// because the buffer is full.
const disconnectCheckInterval = 25 * time.Millisecond

// readLoop reads the socket until a read fails with an error that is not retried.
func (c *Conn) readLoop() {
	buffer := make([]byte, readBufferSize)
	var retry ioRetry
	for {
		n, err := c.readSocket(buffer)
		if n == 0 && retry.shouldRetry(err) {
			continue
		}
		if !c.awaitSpace(err) {
			return
		}
	}
}

// readSocket waits for bytes and stores them.
func (c *Conn) readSocket(buffer []byte) (n int, err error) {
	if c.raw != nil {
		return rawconn.Read(c.raw, buffer, &c.mu, func(n int) { c.store(buffer[:n]) })
	}
	n, err = c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store(buffer[:n])
	return n, err
}

// store buffers what one read returned. The caller holds mu.
func (c *Conn) store(p []byte) {
	if len(p) == 0 || c.closing || c.overflowed {
		return
	}
	if c.responsePending && len(c.readAhead)+len(p) > maxReadAhead {
		c.overflowed = true
		return
	}
	c.readAhead = append(c.readAhead, p...)
	c.lastByteAt = time.Now().Add(-c.queuedBeforeAccept())
	c.markRequestStart()
	c.changed.Broadcast()
}

// awaitSpace waits until the buffer has space for another read after a read that returned err. It reports false after the last
// read.
func (c *Conn) awaitSpace(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.readDone = true
		c.stopReading(err)
		if c.closing {
			c.Conn.Close()
		}
		return false
	}
	c.changed.Broadcast()
	for len(c.readAhead) >= readBufferSize && !c.closing && !c.responsePending {
		c.waitForSpace()
	}
	return true
}

// waitForSpace waits for a change of the connection's state for at most disconnectCheckInterval, and then checks whether the
// client has disconnected. No read would report a disconnect, because the read loop is paused. The caller holds mu.
func (c *Conn) waitForSpace() {
	checkTimer := time.AfterFunc(disconnectCheckInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer checkTimer.Stop()
	c.changed.Wait()
	if tcpinfo.PeerClosed(c.Conn) {
		c.cancelCtx()
	}
}

// queuedBeforeAccept estimates how long the connection's first bytes were queued in the kernel before the connection was
// accepted. It returns 0 if the connection was not queued or the socket does not report its time in the queue, and for all
// bytes after the first read. The caller holds mu.
func (c *Conn) queuedBeforeAccept() time.Duration {
	queued, ok := c.Conn.(interface{ Queued() time.Duration })
	if !ok || !c.lastByteAt.IsZero() || queued.Queued() == 0 {
		return 0
	}
	return min(queued.Queued(), tcpinfo.SinceLastData(c.Conn))
}

// markRequestStart records the arrival of the first byte of a request. The caller holds mu.
func (c *Conn) markRequestStart() {
	if !c.responsePending && c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
}

// stopReading sets the error that ends the server's reads, unless one is set already, and cancels the connection's
// context. The caller holds mu.
func (c *Conn) stopReading(err error) {
	if c.readErr == nil {
		c.readErr = err
	}
	c.cancelCtx()
	c.changed.Broadcast()
}

// Read returns buffered bytes, and waits while there are none. After the client has disconnected, Read still returns the
// bytes of the connection's first request, but not of a later one, because nobody would read the response.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil && (len(c.readAhead) == 0 || c.responsePending || c.requestsAnswered > 0 || c.closing):
			return 0, c.readErr
		case len(c.readAhead) > 0:
			n := copy(p, c.readAhead)
			c.readAhead = c.readAhead[n:]
			if len(c.readAhead) == 0 {
				c.readAhead = nil
			}
			c.observe(p[:n])
			c.changed.Broadcast()
			return n, nil
		case c.overflowed:
			return 0, errOverflowed
		}
		c.changed.Wait()
	}
}

// SetReadDeadline sets the deadline of the server's reads; zero: none. It does not apply to the read loop's reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	switch {
	case t.IsZero():
		if c.deadlineTimer != nil {
			c.deadlineTimer.Stop()
		}
	case c.deadlineTimer == nil:
		c.deadlineTimer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	default:
		c.deadlineTimer.Reset(time.Until(t))
	}
	c.changed.Broadcast()
	return nil
}

// SetDeadline sets the deadline of the server's reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// hasUnreadBytes reports whether the kernel's receive buffer of a connection has unread bytes.
func hasUnreadBytes(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { // RawConn.Read would wait for the read loop's pending read
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
