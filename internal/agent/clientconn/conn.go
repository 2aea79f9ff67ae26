// Package clientconn is the clients' side of connections: each is read by a task of its own, ahead of the server, and is owned by
// the request that has come whole on it or by who closes it.
package clientconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"martenbeam/internal/tcpinfo"
)

// Conn is a connection of a client, under net/http's. A task of its own is the only one that reads the socket, ahead of the server:
// net/http reads no further than one byte behind a request, and would not see that a client has gone who has sent
// more than that.
type Conn struct {
	net.Conn
	acceptedAt time.Time       // it was accepted
	ctx        context.Context // ends with the client's side of the connection, or with this one
	cancelCtx  context.CancelFunc

	mu              sync.Mutex
	changed         sync.Cond
	readAhead       []byte // read, and not yet taken by the server
	readErr         error  // after that
	readDone        bool   // the task has read the last
	closing         bool   // this side has closed: what still comes is dropped
	responsePending bool   // the server owes an answer: what comes now belongs to no request that it has
	overflowed      bool   // more came then than is kept
	written         bool   // an answer, or part of one
	readDeadline    time.Time
	deadlineTimer   *time.Timer
	firstByteAt     time.Time // the first byte of the present request came; zero: none has
	lastByteAt      time.Time // the latest byte that was kept
	responses       int       // requests that have their answer
	framing
}

const (
	readBufferSize = 4 << 10  // bytes read at once, and kept unless an answer is owed
	maxReadAhead   = 16 << 10 // and kept then: clients send one request at a time
	// A connection is closed over bytes that came and were not read by a reset, which takes the last answer with it. So
	// this side ends its sending, and drops what comes until the client closes, as net/http does after an unread body.
	lingerTimeout = 500 * time.Millisecond
)

// Listener hands out clients' connections, each with the task that reads it.
type Listener struct {
	net.Listener
	Tasks *sync.WaitGroup
}

func (l Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := New(socket)
	l.Tasks.Go(c.readLoop)
	return c, nil
}

// New returns a connection over a socket, which is to be received from.
func New(socket net.Conn) *Conn {
	c := &Conn{Conn: socket, acceptedAt: time.Now()}
	c.ctx, c.cancelCtx = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	return c
}

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
		if c.overflowed = c.responsePending && len(c.readAhead)+len(p) > maxReadAhead; !c.overflowed {
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
			if c.readAhead = c.readAhead[n:]; len(c.readAhead) == 0 {
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

func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
	var retry ioRetry
	for written := 0; ; {
		n, err := c.Conn.Write(p[written:])
		if written += n; !retry.shouldRetry(err) {
			return written, err
		}
	}
}

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

// Context ends with the client's side of the connection, or with this one.
func (c *Conn) Context() context.Context { return c.ctx }

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

// CloseWrite lets net/http end its sending before it closes, so that a reset does not overtake a
// last answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
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
