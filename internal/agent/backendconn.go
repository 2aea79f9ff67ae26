package agent

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

var (
	errUnsolicitedBytes = errors.New("bytes that no request asked for")
	errClosedWhileIdle  = errors.New("closed by the backend while it rested")
	errRetryWindowOver  = errors.New("its repeat is no longer dropped")
)

// trackedConn is a connection to a backend, under net/http's. It holds what may be told of each request with certainty:
// whether its bytes went out, and that what comes back is not older than them.
//
// net/http's own word for what was written can come after RoundTrip has returned; a count under a lock is exact once
// the connection is closed, since nothing can be written after that. And net/http takes bytes for an answer that came
// before the request was written, if it had been handed the request by then.
type trackedConn struct {
	net.Conn
	raw syscall.RawConn // nil: not a socket

	writeMu     sync.Mutex // held while the system writes
	written     int        // bytes of the present request
	writeFailed bool       // a write ended short: the request's last byte was not written
	writeBy     time.Time  // nothing of it is written after; zero: no bound

	mu               sync.Mutex
	stateChanged     sync.Cond    // L: mu
	reading          bool         // net/http waits for bytes
	closed           bool         // by this side
	remoteClosed     bool         // by the backend, or broken
	requestStarted   bool         // the first byte of the present request goes out, or went
	unsolicited      bool         // bytes came before that: nothing that comes here is to be trusted
	checkSendable    func() error // asked before the first byte: why it may not go out; nil: nothing is against it
	blockedReason    error        // what it said
	lastByteNext     func() bool  // whether the last byte is among what is written next; nil: nobody asks, or it has been
	responseReceived bool         // bytes of a final answer came
	earlyResponse    bool         // they did before the last byte went out
}

func newTrackedConn(conn net.Conn) *trackedConn {
	tracked := &trackedConn{Conn: conn}
	tracked.stateChanged.L = &tracked.mu
	if s, ok := conn.(syscall.Conn); ok {
		tracked.raw, _ = s.SyscallConn() // fails with the connection alone
	}
	return tracked
}

// startRequest readies the connection for a request, of which nothing goes out where clear says why, or once last is over. handed tells
// when its last byte is about to be written; nil: the request is written at once.
func (c *trackedConn) startRequest(checkSendable func() error, writeBy time.Time, lastByteNext func() bool) {
	c.writeMu.Lock()
	c.written, c.writeFailed = 0, false
	if !writeBy.IsZero() || !c.writeBy.IsZero() {
		_ = c.Conn.SetWriteDeadline(writeBy) // fails with the connection alone; a write that waits ends with it
	}
	c.writeBy = writeBy
	c.writeMu.Unlock()
	c.mu.Lock()
	c.requestStarted, c.checkSendable, c.blockedReason = false, checkSendable, nil
	c.lastByteNext, c.responseReceived, c.earlyResponse = lastByteNext, false, false
	c.mu.Unlock()
}

func (c *trackedConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	err := c.beforeFirstByte()
	if err == nil && !c.writeBy.IsZero() && !time.Now().Before(c.writeBy) {
		err = errRetryWindowOver
	}
	if err != nil {
		c.writeFailed = true
		c.mu.Lock()
		c.blockedReason = err
		c.mu.Unlock()
		return 0, err
	}
	c.beforeLastByte()
	n, err := c.Conn.Write(p)
	c.written += n
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// beforeFirstByte is asked before each write, and holds back a request's first byte where something is against it.
func (c *trackedConn) beforeFirstByte() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted {
		return nil
	}
	if checkSendable := c.checkSendable; checkSendable != nil {
		c.mu.Unlock() // it takes locks that are held where connections are closed
		err := checkSendable()
		if c.mu.Lock(); err != nil {
			return err
		}
	}
	if c.closed {
		return net.ErrClosed
	}
	if c.raw != nil && !c.unsolicited { // last: nothing that came before this is an answer to the request
		var n int
		var err error
		p := make([]byte, 1)
		if controlErr := c.raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) }); controlErr == nil && err == nil && n == 0 {
			return errClosedWhileIdle
		}
		c.unsolicited = n > 0
	}
	if c.unsolicited {
		return errUnsolicitedBytes
	}
	c.requestStarted = true
	return nil
}

// beforeLastByte notes, before a request's last byte is written, whether an answer has come by then: a backend starts a request with
// that byte.
func (c *trackedConn) beforeLastByte() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastByteNext == nil || !c.lastByteNext() {
		return
	}
	c.lastByteNext = nil
	if c.earlyResponse = c.responseReceived; c.earlyResponse || c.raw == nil {
		return
	}
	p := make([]byte, statusOffset+1)
	_ = c.raw.Control(func(fd uintptr) { // fails with the connection alone
		if n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil {
			c.earlyResponse = isFinalResponse(p[:max(0, n)])
		}
	})
}

// statusOffset is where the first digit of an answer's status stands: "HTTP/1.1 200".
const statusOffset = len("HTTP/1.1 ")

// isFinalResponse reports whether bytes begin an answer that is no informational one (RFC 9110, 15.2).
func isFinalResponse(p []byte) bool { return len(p) > statusOffset && p[statusOffset] != '1' }

// respondedEarly reports whether an answer came before the request's last byte went out.
func (c *trackedConn) respondedEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlyResponse
}

// blocked is why a request was held back; nil: it was not.
func (c *trackedConn) blocked() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedReason
}

func (c *trackedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	n, err := c.readSocket(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.remoteClosed = c.remoteClosed || err != nil
	if c.unsolicited {
		return 0, errUnsolicitedBytes
	}
	return n, err
}

// readSocket reads, and marks what comes before a request's first byte. On a socket nothing lies between the two.
func (c *trackedConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.unsolicited = c.unsolicited || n > 0 && !c.requestStarted
		c.mu.Unlock()
		return n, err
	}
	waited := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, err = syscall.Read(int(fd), p); errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(fd), p)
		}
		if errors.Is(err, syscall.EAGAIN) {
			return false
		}
		c.unsolicited = c.unsolicited || n > 0 && !c.requestStarted
		c.responseReceived = c.responseReceived || n > 0 && isFinalResponse(p[:n])
		return true
	})
	switch {
	case waited != nil:
		return 0, waited
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Close ends the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitIdle waits until net/http has come back to wait for bytes after a whole answer, or has closed the connection: where it
// might be kept, it does so if more came than the answer. From here on every byte is a stray one.
func (c *trackedConn) awaitIdle(reusable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.stateChanged.Wait()
	}
	c.requestStarted = false
	c.unsolicited = c.unsolicited || reusable && c.closed && !c.remoteClosed
}

// hasUnsolicited reports whether bytes came that no request had asked for.
func (c *trackedConn) hasUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// closeIncomplete closes the connection and reports whether the request is known not to have been
// written to its last byte. Writes of one request are in order and end with the first failure.
func (c *trackedConn) closeIncomplete() bool {
	c.Close() // frees a Write that holds the lock
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written == 0 || c.writeFailed
}
