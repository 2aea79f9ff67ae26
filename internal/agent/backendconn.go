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
	errStray      = errors.New("bytes that no request asked for")
	errPeerClosed = errors.New("closed by the backend while it rested")
	errTooLate    = errors.New("its repeat is no longer dropped")
)

// backendConn is a connection to a backend, under net/http's. It holds what may be told of each request with certainty:
// whether its bytes went out, and that what comes back is not older than them.
//
// net/http's own word for what was written can come after RoundTrip has returned; a count under a lock is exact once
// the connection is closed, since nothing can be written after that. And net/http takes bytes for an answer that came
// before the request was written, if it had been handed the request by then.
type backendConn struct {
	net.Conn
	raw syscall.RawConn // nil: not a socket

	write  sync.Mutex // held while the system writes
	wrote  int        // bytes of the present request
	failed bool       // a write ended short: the request's last byte was not written
	last   time.Time  // nothing of it is written after; zero: no bound

	mu      sync.Mutex
	parked  sync.Cond    // L: mu
	reading bool         // net/http waits for bytes
	closed  bool         // by this side
	ended   bool         // by the backend, or broken
	begun   bool         // the first byte of the present request goes out, or went
	stray   bool         // bytes came before that: nothing that comes here is to be trusted
	clear   func() error // asked before the first byte: why it may not go out; nil: nothing is against it
	refusal error        // what it said
	handed  func() bool  // whether the last byte is among what is written next; nil: nobody asks, or it has been
	heard   bool         // bytes of a final answer came
	early   bool         // they did before the last byte went out
}

func newBackendConn(c net.Conn) *backendConn {
	b := &backendConn{Conn: c}
	b.parked.L = &b.mu
	if s, ok := c.(syscall.Conn); ok {
		b.raw, _ = s.SyscallConn() // fails with the connection alone
	}
	return b
}

// begin readies the connection for a request, of which nothing goes out where clear says why, or once last is over. handed tells
// when its last byte is about to be written; nil: the request is written at once.
func (c *backendConn) begin(clear func() error, last time.Time, handed func() bool) {
	c.write.Lock()
	c.wrote, c.failed = 0, false
	if !last.IsZero() || !c.last.IsZero() {
		_ = c.Conn.SetWriteDeadline(last) // fails with the connection alone; a write that waits ends with it
	}
	c.last = last
	c.write.Unlock()
	c.mu.Lock()
	c.begun, c.clear, c.refusal = false, clear, nil
	c.handed, c.heard, c.early = handed, false, false
	c.mu.Unlock()
}

func (c *backendConn) Write(p []byte) (int, error) {
	c.write.Lock()
	defer c.write.Unlock()
	err := c.first()
	if err == nil && !c.last.IsZero() && !time.Now().Before(c.last) {
		err = errTooLate
	}
	if err != nil {
		c.failed = true
		c.mu.Lock()
		c.refusal = err
		c.mu.Unlock()
		return 0, err
	}
	c.beforeLast()
	n, err := c.Conn.Write(p)
	c.wrote += n
	c.failed = c.failed || err != nil
	return n, err
}

// first is asked before each write, and holds back a request's first byte where something is against it.
func (c *backendConn) first() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return nil
	}
	if clear := c.clear; clear != nil {
		c.mu.Unlock() // it takes locks that are held where connections are closed
		err := clear()
		if c.mu.Lock(); err != nil {
			return err
		}
	}
	if c.closed {
		return net.ErrClosed
	}
	if c.raw != nil && !c.stray { // last: nothing that came before this is an answer to the request
		var n int
		var err error
		p := make([]byte, 1)
		if e := c.raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) }); e == nil && err == nil && n == 0 {
			return errPeerClosed
		}
		c.stray = n > 0
	}
	if c.stray {
		return errStray
	}
	c.begun = true
	return nil
}

// beforeLast notes, before a request's last byte is written, whether an answer has come by then: a backend starts a request with
// that byte.
func (c *backendConn) beforeLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handed == nil || !c.handed() {
		return
	}
	c.handed = nil
	if c.early = c.heard; c.early || c.raw == nil {
		return
	}
	p := make([]byte, finalAt+1)
	_ = c.raw.Control(func(fd uintptr) { // fails with the connection alone
		if n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == nil {
			c.early = final(p[:max(0, n)])
		}
	})
}

// finalAt is where the first digit of an answer's status stands: "HTTP/1.1 200".
const finalAt = len("HTTP/1.1 ")

// final reports whether bytes begin an answer that is no informational one (RFC 9110, 15.2).
func final(p []byte) bool { return len(p) > finalAt && p[finalAt] != '1' }

// answeredEarly reports whether an answer came before the request's last byte went out.
func (c *backendConn) answeredEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.early
}

// refused is why a request was held back; nil: it was not.
func (c *backendConn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

func (c *backendConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.parked.Broadcast()
	c.mu.Unlock()
	n, err := c.receive(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.ended = c.ended || err != nil
	if c.stray {
		return 0, errStray
	}
	return n, err
}

// receive reads, and marks what comes before a request's first byte. On a socket nothing lies between the two.
func (c *backendConn) receive(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.stray = c.stray || n > 0 && !c.begun
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
		c.stray = c.stray || n > 0 && !c.begun
		c.heard = c.heard || n > 0 && final(p[:n])
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
func (c *backendConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.parked.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// rest waits until net/http has come back to wait for bytes after a whole answer, or has closed the connection: where it
// might be kept, it does so if more came than the answer. From here on every byte is a stray one.
func (c *backendConn) rest(kept bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.parked.Wait()
	}
	c.begun = false
	c.stray = c.stray || kept && c.closed && !c.ended
}

// strayed reports whether bytes came that no request had asked for.
func (c *backendConn) strayed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stray
}

// neverWhole closes the connection and reports whether the request is known not to have been
// written to its last byte. Writes of one request are in order and end with the first failure.
func (c *backendConn) neverWhole() bool {
	c.Close() // frees a Write that holds the lock
	c.write.Lock()
	defer c.write.Unlock()
	return c.wrote == 0 || c.failed
}
