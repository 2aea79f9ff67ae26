package clientconn

// This file finds the bounds of requests in what the server reads.

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// framing follows what net/http has read: where requests begin and end, and which of them have both a Content-Length
// and a Transfer-Encoding. net/http obeys the second and silently drops the first, while the sender may have meant the
// first: what is inside that body would then pass for a request of its own (RFC 9112, 6.3 and 11.2).
//
// It is guarded by the mu of its Conn, but for ambiguous, which the request's handler reads without it.
type framing struct {
	ambiguous                             atomic.Bool
	headerLine                            []byte // the present header line, at most maxHeaderPrefix bytes of it
	hasContentLength, hasTransferEncoding bool   // in the present header
	contentLength                         int64  // in the present header, in bytes
	bodyRemaining                         int64  // bytes of body before the next header
	untracked                             bool   // what follows is not parsed any more
	headerStarted                         bool   // the present header has a line that is not empty
	inRequest                             bool   // part of a request has been read, and not all of it
	requests                              int    // read completely, but for a chunked body
}

// maxHeaderPrefix is how much of a header line is kept, in bytes: enough for a Content-Length with its value.
const maxHeaderPrefix = 64

// observe follows bytes in the order in which the server reads them, in pieces of any size.
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

// headerField parses a header line without its line end. An empty one ends the header.
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
			// net/http rejects a length that is not a number, and closes the connection.
			f.contentLength, _ = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		}
		return
	}
	f.inRequest = f.headerStarted
	if !f.headerStarted { // an empty line before a request does not belong to it
		return
	}
	f.headerStarted = false
	f.finishHeader()
}

// finishHeader begins the body that the header announces, or ends the request if there is none.
func (f *framing) finishHeader() {
	f.bodyRemaining = f.contentLength
	if f.hasTransferEncoding { // chunks are not parsed: the server closes the connection after this request
		f.untracked = true
		f.ambiguous.Store(f.hasContentLength)
		f.bodyRemaining = 0
	}
	f.contentLength, f.hasContentLength = 0, false
	f.finishBody()
}

// finishBody counts the request once its body has been read.
func (f *framing) finishBody() {
	if f.bodyRemaining == 0 {
		f.inRequest = false
		f.requests++
	}
}
