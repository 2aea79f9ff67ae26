package clientconn

// This file reads the socket into the connection's buffer, and hands the buffer to net/http.

import (
	"errors"
	"net"
	"os"
	"sync"
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

// scratchBuffers are the buffers for single reads, so that a connection that waits for bytes holds none.
var scratchBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// readLoop reads the socket until a read fails with an error that is not retried.
func (c *Conn) readLoop() {
	var retry ioRetry
	for {
		n, err := c.readSocket()
		if n == 0 && retry.shouldRetry(err) {
			continue
		}
		if !c.finishRead(err) || !c.awaitSpace() {
			return
		}
	}
}

// readSocket waits for bytes and stores them.
func (c *Conn) readSocket() (n int, err error) {
	if c.raw == nil {
		return c.readConn()
	}
	return rawconn.ReadWith(c.raw, &c.mu, func(read rawconn.ReadFunc) {
		scratch := scratchBuffers.Get().(*[readBufferSize]byte)
		defer scratchBuffers.Put(scratch)
		n, _ := read(scratch[:c.readSize()])
		c.store(scratch[:n])
	})
}

// readConn is readSocket for a connection that is no socket.
func (c *Conn) readConn() (n int, err error) {
	c.mu.Lock()
	buffer := make([]byte, c.readSize())
	c.mu.Unlock()
	n, err = c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store(buffer[:n])
	return n, err
}

// capacity returns how many bytes may be buffered. The caller holds mu.
func (c *Conn) capacity() int {
	if c.gate != nil && c.phase != serving {
		return c.arrivalLimit()
	}
	return readBufferSize
}

// readSize returns how many bytes the next read may return, which is due now. The caller holds mu.
func (c *Conn) readSize() int {
	c.readRequested = readBufferSize
	if !c.closing && !c.overflowed {
		c.readRequested = min(readBufferSize, max(1, c.capacity()-len(c.readAhead)))
	}
	return c.readRequested
}

// isFull reports whether no more bytes may be read for now. The caller holds mu.
func (c *Conn) isFull() bool {
	return !c.closing && !c.overflowed && len(c.readAhead) >= c.capacity()
}

// store buffers what one read returned. The caller holds mu.
func (c *Conn) store(p []byte) {
	if len(p) == 0 {
		return
	}
	if c.closing || c.overflowed {
		c.discarded += len(p)
		return
	}
	c.readAhead = appendTight(c.readAhead, p)
	c.lastByteAt = c.arrivalTime()
	c.readLate = c.readLate && len(p) == c.readRequested // else the kernel has no more of the bytes that have waited
	c.markRequestStart()
	c.observeArrival(p)
	c.changed.Broadcast()
}

// arrivalTime returns when the bytes arrived that were just read: they may have waited in the kernel, before the connection was
// accepted or while the read loop did not read. The caller holds mu.
func (c *Conn) arrivalTime() time.Time {
	waited := c.queuedBeforeAccept()
	if c.readLate {
		waited = max(waited, tcpinfo.SinceLastData(c.Conn))
	}
	return time.Now().Add(-waited)
}

// minReadAhead is the smallest buffer for bytes that have arrived, in bytes.
const minReadAhead = 512

// appendTight appends p to buffer. The buffer grows to at most twice its length.
func appendTight(buffer, p []byte) []byte {
	if size := len(buffer) + len(p); size > cap(buffer) {
		buffer = append(make([]byte, 0, max(minReadAhead, size, min(2*len(buffer), size+readBufferSize))), buffer...)
	}
	return append(buffer, p...)
}

// finishRead handles what a read that returned err has stored. It reports false after the last read.
func (c *Conn) finishRead(err error) bool {
	c.mu.Lock()
	if err != nil {
		c.readDone = true
		c.stopReading(err)
	}
	ready := c.becomeReady()
	c.readLate = c.readLate || ready // the admission may have to wait
	abandoned := err != nil && (c.closing || c.gate != nil && !ready && c.phase == arriving)
	c.mu.Unlock()
	switch {
	case ready:
		c.admit()
	case abandoned:
		_ = c.closeNow() // the read has failed before
	}
	return err == nil
}

// awaitSpace waits until another read is due: the buffer has space, and not too much was discarded. It reports false if the
// connection is closed.
func (c *Conn) awaitSpace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarded >= discardBurst {
		c.discarded = 0
		c.mu.Unlock()
		time.Sleep(disconnectCheckInterval)
		c.mu.Lock()
	}
	for c.isFull() {
		c.readLate = true
		if c.gate == nil || c.phase != arriving {
			c.waitForSpace()
			continue
		}
		c.mu.Unlock()
		c.growArrival()
		c.mu.Lock()
	}
	return true
}

// waitForSpace waits for a change of the connection's state for at most disconnectCheckInterval, and then checks whether the
// client has disconnected or sends far more than one request at a time. No read would report a disconnect, because the read loop
// is paused. The caller holds mu.
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
	if unread, known := tcpinfo.UnreadBytes(c.Conn); known && c.responsePending && len(c.readAhead)+unread > maxReadAhead {
		c.overflowed = true
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
			return c.takeReadAhead(p), nil
		case c.overflowed:
			return 0, errOverflowed
		}
		c.changed.Wait()
	}
}

// takeReadAhead moves buffered bytes to p, and returns how many. The caller holds mu.
func (c *Conn) takeReadAhead(p []byte) int {
	n := copy(p, c.readAhead)
	c.readAhead = c.readAhead[n:]
	if len(c.readAhead) == 0 {
		c.readAhead = nil
	}
	c.observe(p[:n])
	c.changed.Broadcast()
	return n
}

// SetReadDeadline sets the deadline of the server's reads; zero: none. It does not apply to the read loop's reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(t)
	return nil
}

// setReadDeadline is SetReadDeadline for a caller that holds mu. On a connection of a Gate the deadline also applies to the
// arrival of a request.
func (c *Conn) setReadDeadline(t time.Time) {
	c.readDeadline = t
	switch {
	case t.IsZero():
		if c.deadlineTimer != nil {
			c.deadlineTimer.Stop()
		}
	case c.deadlineTimer == nil:
		c.deadlineTimer = time.AfterFunc(time.Until(t), c.deadlinePassed)
	default:
		c.deadlineTimer.Reset(time.Until(t))
	}
	c.changed.Broadcast()
}

// deadlinePassed ends the read that waits, or the arrival of a request.
func (c *Conn) deadlinePassed() {
	c.mu.Lock()
	c.changed.Broadcast()
	c.mu.Unlock()
	c.expire()
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
