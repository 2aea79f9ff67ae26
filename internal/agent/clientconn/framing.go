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
	ambiguous                             atomic.Bool
	headerLine                            []byte // the present header line, as far as names and lengths go
	hasContentLength, hasTransferEncoding bool   // the present header has such a field
	contentLength                         int64  // of its body
	bodyRemaining                         int64  // bytes of body before the next header
	untracked                             bool   // nothing that follows is taken for a request
	headerStarted                         bool   // the present header has a line
	inRequest                             bool   // a request, of which some bytes have come
	requests                              int    // requests that have come whole; one whose body comes in chunks with its header
}

// maxHeaderPrefix is as much of a header line as tells its name and a length.
const maxHeaderPrefix = 64

// observe takes what was read: header lines, each up to its line feed, and the bodies between.
func (f *framing) observe(p []byte) {
	for len(p) > 0 && !f.untracked {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(p)))
			f.bodyRemaining -= n
			p = p[n:]
			f.finishBody()
			continue
		}
		f.inRequest = true
		part, rest, lineComplete := bytes.Cut(p, []byte("\n"))
		f.headerLine = append(f.headerLine, part[:min(len(part), maxHeaderPrefix-len(f.headerLine))]...)
		p = rest
		if lineComplete {
			f.headerField(bytes.TrimSuffix(f.headerLine, []byte("\r")))
			f.headerLine = f.headerLine[:0]
		}
	}
}

// headerField takes a header line; an empty one ends the header.
func (f *framing) headerField(line []byte) {
	if len(line) > 0 {
		f.headerStarted = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.hasTransferEncoding = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.hasContentLength = true
			// net/http itself answers a length that is none, and closes.
			f.contentLength, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		}
		return
	}
	f.inRequest = f.headerStarted
	if !f.headerStarted { // an empty line before a request is none of it
		return
	}
	f.headerStarted = false
	f.finishHeader()
}

func (f *framing) finishHeader() {
	f.bodyRemaining = f.contentLength
	if f.hasTransferEncoding { // the front closes the connection after it: a body in chunks is not followed
		f.untracked = true
		f.ambiguous.Store(f.hasContentLength)
		f.bodyRemaining = 0
	}
	f.contentLength, f.hasContentLength = 0, false
	f.finishBody()
}

// finishBody notes the end of a request.
func (f *framing) finishBody() {
	if f.bodyRemaining == 0 {
		f.inRequest = false
		f.requests++
	}
}
