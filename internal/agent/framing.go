package agent

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// framedConn reads along with net/http and finds requests that give both a Content-Length and a
// Transfer-Encoding. net/http takes the second and drops the first without a word, while whoever
// sent the request may have meant the first: what stands inside that body would then pass for a
// request of its own (RFC 9112, 6.3 and 11.2).
type framedConn struct {
	net.Conn
	ambiguous atomic.Bool
	since     time.Time    // it was accepted
	first     atomic.Int64 // when the first byte of the present request came (Unix, ns); 0: none has
	later     atomic.Bool  // a request has come whole before

	// Only reads touch these, and net/http makes one at a time.
	line            []byte // the present header line, as far as names and lengths go
	length, chunked bool   // the present header has such a field
	size            int64  // of its body
	skip            int64  // bytes of body before the next header
	blind           bool   // nothing that follows is taken for a request
}

// longestField is as much of a header line as tells its name and a length.
const longestField = 64

func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.first.CompareAndSwap(0, time.Now().UnixNano())
	}
	c.follow(p[:n])
	return n, err
}

// reading reports whether part of a request has come.
func (c *framedConn) reading() bool { return c.first.Load() != 0 }

// requestSince is when the present request began to come: the first one with its connection.
func (c *framedConn) requestSince() time.Time {
	if first := c.first.Load(); c.later.Load() && first != 0 {
		return time.Unix(0, first)
	} else if c.later.Load() {
		return time.Now() // it came with the one before
	}
	return c.since
}

// CloseWrite lets net/http end its sending before it closes, so that a reset does not overtake a
// last answer.
func (c *framedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn lets the front look for unread bytes.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// follow takes what was read: header lines, each up to its line feed, and the bodies between.
func (c *framedConn) follow(p []byte) {
	for len(p) > 0 && !c.blind {
		if c.skip > 0 {
			n := min(c.skip, int64(len(p)))
			c.skip -= n
			p = p[n:]
			continue
		}
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		c.line = append(c.line, part[:min(len(part), longestField-len(c.line))]...)
		if p = rest; whole {
			c.field(bytes.TrimSuffix(c.line, []byte("\r")))
			c.line = c.line[:0]
		}
	}
}

// field takes a header line; an empty one ends the header.
func (c *framedConn) field(line []byte) {
	if len(line) > 0 {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			c.chunked = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			c.length = true
			// net/http itself answers a length that is none, and closes.
			c.size, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		}
		return
	}
	if c.chunked { // the front closes the connection after it: a body in chunks is not followed
		c.blind = true
		c.ambiguous.Store(c.length)
	}
	c.skip, c.size, c.length = c.size, 0, false
}

// framedListener hands out framed connections.
type framedListener struct{ net.Listener }

func (l framedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{Conn: c, since: time.Now()}, nil
}
