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
	since time.Time       // it was accepted
	gone  context.Context // ends with the client's side of the connection, or with this one
	left  context.CancelFunc

	mu       sync.Mutex
	changed  sync.Cond
	ahead    []byte // read, and not yet taken by the server
	err      error  // after that
	ended    bool   // the task has read the last
	closing  bool   // this side has closed: what still comes is dropped
	awaiting bool   // the server owes an answer: what comes now belongs to no request that it has
	flooded  bool   // more came then than is kept
	written  bool   // an answer, or part of one
	until    time.Time
	timer    *time.Timer
	first    time.Time // the first byte of the present request came; zero: none has
	came     time.Time // the latest byte that was kept
	done     int       // requests that have their answer
	framing
}

const (
	readPart  = 4 << 10  // bytes read at once, and kept unless an answer is owed
	aheadMost = 16 << 10 // and kept then: clients send one request at a time
	// A connection is closed over bytes that came and were not read by a reset, which takes the last answer with it. So
	// this side ends its sending, and drops what comes until the client closes, as net/http does after an unread body.
	lingerMost = 500 * time.Millisecond
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
	l.Tasks.Go(c.receive)
	return c, nil
}

// New returns a connection over a socket, which is to be received from.
func New(socket net.Conn) *Conn {
	c := &Conn{Conn: socket, since: time.Now()}
	c.gone, c.left = context.WithCancel(context.Background())
	c.changed.L = &c.mu
	return c
}

// receive reads the socket until its end.
func (c *Conn) receive() {
	p := make([]byte, readPart)
	var failing failures
	for {
		n, err := c.Conn.Read(p)
		if n == 0 && failing.passing(err) {
			continue
		}
		if !c.keep(p[:n], err) {
			return
		}
	}
}

// keep takes what was read, and waits for room. It reports false after the last.
func (c *Conn) keep(p []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) > 0 && !c.closing && !c.flooded {
		if c.flooded = c.awaiting && len(c.ahead)+len(p) > aheadMost; !c.flooded {
			c.ahead = append(c.ahead, p...)
			c.came = time.Now().Add(-c.waited())
			c.begin()
		}
	}
	if err != nil {
		c.ended = true
		c.end(err)
		if c.closing {
			c.Conn.Close()
		}
		return false
	}
	c.changed.Broadcast()
	for len(c.ahead) >= readPart && !c.closing && !c.awaiting {
		c.awaitRoom()
	}
	return true
}

// hangUpEvery is how often it is looked whether a client has gone of whom bytes lie unread.
const hangUpEvery = 25 * time.Millisecond

// awaitRoom waits for a change, and looks now and then whether the client has gone: while the task reads nothing, nothing
// tells of that. The lock is held.
func (c *Conn) awaitRoom() {
	look := time.AfterFunc(hangUpEvery, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer look.Stop()
	c.changed.Wait()
	if tcpinfo.HungUp(c.Conn) {
		c.left()
	}
}

// waited is how long the latest bytes lay in the kernel before their connection was accepted, as far as that can be told. The
// lock is held.
func (c *Conn) waited() time.Duration {
	q, ok := c.Conn.(interface{ Queued() time.Duration })
	if !ok || !c.came.IsZero() || q.Queued() == 0 {
		return 0
	}
	return min(q.Queued(), tcpinfo.SinceReceived(c.Conn))
}

// begin notes when a request began to come. The lock is held.
func (c *Conn) begin() {
	if !c.awaiting && c.first.IsZero() {
		c.first = time.Now()
	}
}

// end has nothing more of the client taken. The lock is held.
func (c *Conn) end(err error) {
	if c.err == nil {
		c.err = err
	}
	c.left()
	c.changed.Broadcast()
}

// Read hands the server what has come. Of a client that has gone it gets no further request.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case !c.until.IsZero() && !time.Now().Before(c.until):
			return 0, os.ErrDeadlineExceeded
		case c.err != nil && (len(c.ahead) == 0 || c.awaiting || c.done > 0 || c.closing):
			return 0, c.err
		case len(c.ahead) > 0:
			n := copy(p, c.ahead)
			if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
				c.ahead = nil
			}
			c.follow(p[:n])
			c.changed.Broadcast()
			return n, nil
		case c.flooded:
			return 0, errFlooded
		}
		c.changed.Wait()
	}
}

var errFlooded = errors.New("the client sends more than one request at a time")

// SetReadDeadline bounds the server's reads, not those of the task.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
	switch {
	case t.IsZero():
		if c.timer != nil {
			c.timer.Stop()
		}
	case c.timer == nil:
		c.timer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
	default:
		c.timer.Reset(time.Until(t))
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
	var failing failures
	for written := 0; ; {
		n, err := c.Conn.Write(p[written:])
		if written += n; !failing.passing(err) {
			return written, err
		}
	}
}

// Close ends the connection. Where an answer was written the client can still read it: the task drops what comes, and
// closes the socket.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.lingers()
	c.shut()
	c.mu.Unlock()
	return c.release(linger)
}

// lingers reports whether the other side may not have read an answer yet. The lock is held.
func (c *Conn) lingers() bool { return c.written && !c.ended && !c.closing }

// release closes the socket, or has the task close it.
func (c *Conn) release(linger bool) error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); linger && ok && half.CloseWrite() == nil &&
		c.Conn.SetReadDeadline(time.Now().Add(lingerMost)) == nil {
		return nil
	}
	return c.Conn.Close()
}

// abortUnlessAsked closes the connection at once, unless a whole request may have come. It reports whether it has.
func (c *Conn) abortUnlessAsked() bool {
	c.mu.Lock()
	if c.mayBeWhole() {
		c.mu.Unlock()
		return false
	}
	c.shut()
	c.mu.Unlock()
	c.Conn.Close()
	return true
}

// closeUnlessReading ends the connection, unless part of a request has come. It reports whether it has.
func (c *Conn) closeUnlessReading() bool {
	c.mu.Lock()
	if c.partRead() {
		c.mu.Unlock()
		return false
	}
	linger := c.lingers()
	c.shut()
	c.mu.Unlock()
	_ = c.release(linger) // closed by its client already if it fails
	return true
}

// shut has this side closed. The lock is held.
func (c *Conn) shut() {
	c.closing = true
	c.end(net.ErrClosed)
	if c.timer != nil {
		c.timer.Stop()
	}
}

// Gone ends with the client's side of the connection, or with this one.
func (c *Conn) Gone() context.Context { return c.gone }

// Ambiguous reports whether a request gave both a Content-Length and a Transfer-Encoding: where it ends is in doubt.
func (c *Conn) Ambiguous() bool { return c.ambiguous.Load() }

// Await says that the present request has come whole.
func (c *Conn) Await() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = true
	c.changed.Broadcast()
}

// Rest says that the present request has its answer.
func (c *Conn) Rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.first = false, time.Time{}
	c.done++
	if len(c.ahead) > 0 {
		c.begin()
	}
}

// Over reports whether the connection ends with the present answer, since what came behind it was not kept.
func (c *Conn) Over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flooded
}

// Reading reports whether part of a request has come that has no answer.
func (c *Conn) Reading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partRead()
}

// partRead is reading. The lock is held.
func (c *Conn) partRead() bool { return c.mayBeWhole() || c.inside }

// Asked reports whether a whole request may have come that has no answer.
func (c *Conn) Asked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayBeWhole()
}

// mayBeWhole is asked: of what the server has not been handed nothing is known. The lock is held.
func (c *Conn) mayBeWhole() bool { return len(c.ahead) > 0 || c.whole > c.done || unread(c.Conn) }

// LastByte is when the latest byte came of what was read.
func (c *Conn) LastByte() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came
}

// RequestSince is when the present request began to come: the first one with its connection.
func (c *Conn) RequestSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.done == 0:
		return c.since
	case c.first.IsZero():
		return time.Now() // it came with the one before
	}
	return c.first
}

// CloseWrite lets net/http end its sending before it closes, so that a reset does not overtake a
// last answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// unread reports whether bytes lie on a connection that nobody has read.
func unread(c net.Conn) bool {
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
