package clientconn

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// framing reads along with net/http: where requests begin and end, and which give both a Content-Length and a
// Transfer-Encoding. net/http takes the second and drops the first without a word, while whoever
// sent the request may have meant the first: what stands inside that body would then pass for a
// request of its own (RFC 9112, 6.3 and 11.2).
type framing struct {
	ambiguous       atomic.Bool
	line            []byte // the present header line, as far as names and lengths go
	length, chunked bool   // the present header has such a field
	size            int64  // of its body
	skip            int64  // bytes of body before the next header
	blind           bool   // nothing that follows is taken for a request
	begun           bool   // the present header has a line
	inside          bool   // a request, of which some bytes have come
	whole           int    // requests that have come whole; one whose body comes in chunks with its header
}

// longestField is as much of a header line as tells its name and a length.
const longestField = 64

// follow takes what was read: header lines, each up to its line feed, and the bodies between.
func (c *framing) follow(p []byte) {
	for len(p) > 0 && !c.blind {
		if c.skip > 0 {
			n := min(c.skip, int64(len(p)))
			c.skip -= n
			p = p[n:]
			c.complete()
			continue
		}
		c.inside = true
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		c.line = append(c.line, part[:min(len(part), longestField-len(c.line))]...)
		if p = rest; whole {
			c.field(bytes.TrimSuffix(c.line, []byte("\r")))
			c.line = c.line[:0]
		}
	}
}

// field takes a header line; an empty one ends the header.
func (c *framing) field(line []byte) {
	if len(line) > 0 {
		c.begun = true
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
	if c.inside = c.begun; !c.begun { // an empty line before a request is none of it
		return
	}
	if c.begun = false; c.chunked { // the front closes the connection after it: a body in chunks is not followed
		c.blind = true
		c.ambiguous.Store(c.length)
	}
	c.skip, c.size, c.length = c.size, 0, false
	if c.chunked {
		c.skip = 0
	}
	c.complete()
}

// complete notes the end of a request.
func (c *framing) complete() {
	if c.skip == 0 {
		c.inside = false
		c.whole++
	}
}
