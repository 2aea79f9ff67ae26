package clientconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"martenbeam/internal/tcpinfo"
)

// readLoop reads the socket until its end.
func (c *Conn) readLoop() {
	buffer := make([]byte, readBufferSize)
	var retry ioRetry
	for {
		n, err := c.Conn.Read(buffer)
		if n == 0 && retry.shouldRetry(err) {
			continue
		}
		if !c.store(buffer[:n], err) {
			return
		}
	}
}

// store takes what was read, and waits for room. It reports false after the last.
func (c *Conn) store(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 && !c.closing && !c.overflowed {
		c.overflowed = c.responsePending && len(c.readAhead)+len(p) > maxReadAhead
		if !c.overflowed {
			c.readAhead = append(c.readAhead, p...)
			c.lastByteAt = time.Now().Add(-c.queuedBeforeAccept())
			c.markRequestStart()
		}
	}
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

// hangUpCheckInterval is how often it is looked whether a client has gone of whom bytes lie unread.
const hangUpCheckInterval = 25 * time.Millisecond

// waitForSpace waits for a change, and looks now and then whether the client has gone: while the task reads nothing, nothing
// tells of that. The lock is held.
func (c *Conn) waitForSpace() {
	check := time.AfterFunc(hangUpCheckInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer check.Stop()
	c.changed.Wait()
	if tcpinfo.PeerClosed(c.Conn) {
		c.cancelCtx()
	}
}

// queuedBeforeAccept is how long the latest bytes lay in the kernel before their connection was accepted, as far as that can be told. The
// lock is held.
func (c *Conn) queuedBeforeAccept() time.Duration {
	q, ok := c.Conn.(interface{ Queued() time.Duration })
	if !ok || !c.lastByteAt.IsZero() || q.Queued() == 0 {
		return 0
	}
	return min(q.Queued(), tcpinfo.SinceLastData(c.Conn))
}

// markRequestStart notes when a request began to come. The lock is held.
func (c *Conn) markRequestStart() {
	if !c.responsePending && c.firstByteAt.IsZero() {
		c.firstByteAt = time.Now()
	}
}

// stopReading has nothing more of the client taken. The lock is held.
func (c *Conn) stopReading(err error) {
	if c.readErr == nil {
		c.readErr = err
	}
	c.cancelCtx()
	c.changed.Broadcast()
}

// Read hands the server what has come. Of a client that has gone it gets no further request.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case c.readErr != nil && (len(c.readAhead) == 0 || c.responsePending || c.responses > 0 || c.closing):
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

var errOverflowed = errors.New("the client sends more than one request at a time")

// SetReadDeadline bounds the server's reads, not those of the task.
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

func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// hasUnreadBytes reports whether bytes lie on a connection that nobody has read.
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
	err = raw.Control(func(fd uintptr) { // not Read: the task waits in one
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
