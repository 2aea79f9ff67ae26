package upstream

// This file tracks which bytes of each request and response passed on a connection to a backend.

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/rawconn"
)

// trackedConn is a connection to a backend below net/http's client. For each request it determines with certainty whether
// the request was written to its last byte, and whether the bytes received arrived after the request was started.
//
// net/http reports neither fact. It may call the trace hook for a written request after RoundTrip has returned, while a
// count under a lock is exact once the connection is closed, since nothing is written after the close. If bytes arrive
// after RoundTrip is called and before the request is written, net/http treats these bytes as the response.
type trackedConn struct {
	net.Conn
	raw     syscall.RawConn // nil: Conn is not a socket
	buffers *Buffers

	writeMu     sync.Mutex // held during the write system call
	written     int        // bytes of the current request
	writeFailed bool       // a write failed, so the request's last byte was not written
	writeBy     time.Time  // no byte of the current request is written after this; zero: no bound

	mu               sync.Mutex
	stateChanged     sync.Cond    // L is mu; signals reading and closed
	reading          bool         // net/http waits in Read
	closed           bool         // by the agent
	remoteClosed     bool         // the backend closed or broke the connection
	requestStarted   bool         // the first byte of the current request is about to be written, or was
	unsolicited      bool         // bytes arrived while no request was in progress: no later byte can be attributed to a request
	checkSendable    func() error // called before the first byte; an error keeps the request from being written
	blockedReason    error        // why the current request was not written
	lastByteNext     func() bool  // reports whether the next write carries the last byte; nil: the body is not streamed, or the last byte was written
	responseReceived bool         // a byte of a final (not 1xx) response arrived
	head             responseHead // of the response
	headErr          error        // why the response can't be read further
	earlyResponse    bool         // a byte of a final response arrived before the request's last byte was written
}

func newTrackedConn(conn net.Conn, buffers *Buffers) *trackedConn {
	tracked := &trackedConn{Conn: conn, raw: rawconn.Of(conn), buffers: buffers}
	tracked.stateChanged.L = &tracked.mu
	return tracked
}

// startRequest prepares the connection for the next request. Nothing of the request is written if checkSendable returns an
// error, and no byte after writeBy. lastByteNext reports whether the next write carries the request's last byte; nil for a
// request whose body is not streamed. The memory of the response's header is added to memory; nil: it is not reserved.
func (c *trackedConn) startRequest(checkSendable func() error, writeBy time.Time, lastByteNext func() bool,
	memory *membudget.Reservation) {
	c.writeMu.Lock()
	c.written, c.writeFailed = 0, false
	if !writeBy.IsZero() || !c.writeBy.IsZero() {
		_ = c.Conn.SetWriteDeadline(writeBy) // fails only on a broken connection; a blocked write ends at the deadline
	}
	c.writeBy = writeBy
	c.writeMu.Unlock()
	c.mu.Lock()
	c.requestStarted, c.checkSendable, c.blockedReason = false, checkSendable, nil
	c.lastByteNext, c.responseReceived, c.earlyResponse = lastByteNext, false, false
	c.head, c.headErr = responseHead{memory: memory}, nil
	c.mu.Unlock()
}

// Write writes bytes of the current request, unless beforeFirstByte returns an error or writeBy has passed.
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

// ReadFrom writes the bytes of r through a buffer of the budget. net/http would otherwise allocate one of 32 KiB for each body.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	buffer, free := c.buffers.Get()
	defer free()
	return io.CopyBuffer(struct{ io.Writer }{c}, r, buffer) // without ReadFrom, which CopyBuffer would call
}

// beforeFirstByte is called before each write. Before the first write of a request it returns an error if the request must
// not be written. Its last check is for bytes that have already arrived, which can't be a response to this request.
func (c *trackedConn) beforeFirstByte() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted {
		return nil
	}
	if checkSendable := c.checkSendable; checkSendable != nil {
		c.mu.Unlock() // checkSendable takes locks under which connections are closed
		err := checkSendable()
		if c.mu.Lock(); err != nil {
			return err
		}
	}
	if c.closed {
		return net.ErrClosed
	}
	if c.raw != nil && !c.unsolicited { // after all other checks: bytes that arrived before this point are not a response to the request
		var n int
		var err error
		p := make([]byte, 1)
		controlErr := c.raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) })
		if controlErr == nil && err == nil && n == 0 {
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

// beforeLastByte records whether a response has arrived before the request's last byte is written. Backends execute a
// request only after its last byte, so an earlier response does not come from its execution.
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
	_ = c.raw.Control(func(fd uintptr) { // fails only on a broken connection
		if n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil {
			c.earlyResponse = isFinalResponse(p[:max(0, n)])
		}
	})
}

// statusOffset is the index of the status code's first digit in "HTTP/1.1 200".
const statusOffset = len("HTTP/1.1 ")

// isFinalResponse reports whether p begins a response other than an informational one (RFC 9110, 15.2).
func isFinalResponse(p []byte) bool { return len(p) > statusOffset && p[statusOffset] != '1' }

// respondedEarly reports whether a final response arrived before the request's last byte was written.
func (c *trackedConn) respondedEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlyResponse
}

// writeRejection returns why Write rejected bytes of the current request; nil: Write rejected none.
func (c *trackedConn) writeRejection() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blockedReason
}

// lacksMemory reports whether no memory was left for the header of the current response.
func (c *trackedConn) lacksMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr != nil
}

// Read reads bytes of a response. It fails once unsolicited bytes have arrived.
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
	if c.headErr != nil {
		return 0, c.headErr
	}
	return n, err
}

// readSocket reads, and sets unsolicited if the bytes arrived before a request's first byte. On a socket the read system
// call and the assignment are under one lock, so that no request can start between them.
func (c *trackedConn) readSocket(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.unsolicited = c.unsolicited || n > 0 && !c.requestStarted
		c.headErr = errors.Join(c.headErr, c.head.observe(p[:n]))
		c.mu.Unlock()
		return n, err
	}
	return rawconn.Read(c.raw, p, &c.mu, func(n int) {
		c.unsolicited = c.unsolicited || n > 0 && !c.requestStarted
		c.responseReceived = c.responseReceived || n > 0 && isFinalResponse(p[:n])
		c.headErr = errors.Join(c.headErr, c.head.observe(p[:n]))
	})
}

// Close closes the connection and unblocks awaitIdle.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.stateChanged.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitIdle waits until net/http reads again after a complete response, or has closed the connection. net/http closes a
// reusable connection if bytes arrived beyond the end of the response. After awaitIdle, bytes are unsolicited until the
// next request, and the connection refers to nothing of the last one.
func (c *trackedConn) awaitIdle(reusable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.stateChanged.Wait()
	}
	c.requestStarted, c.checkSendable, c.lastByteNext = false, nil, nil
	c.head = responseHead{}
	c.unsolicited = c.unsolicited || reusable && c.closed && !c.remoteClosed
}

// hasUnsolicited reports whether bytes arrived while no request was in progress.
func (c *trackedConn) hasUnsolicited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unsolicited
}

// closeIncomplete closes the connection and reports whether the request was certainly not written to its last byte. The
// writes of one request are in order and end with the first failure.
func (c *trackedConn) closeIncomplete() bool {
	c.Close() // unblocks a Write that holds writeMu
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.written == 0 || c.writeFailed
}
