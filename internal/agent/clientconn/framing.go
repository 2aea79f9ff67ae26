package clientconn

// This file finds the boundaries of requests in the bytes that the server reads.

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// framing tracks the bytes that net/http has read: where requests begin and end, and whether a request has both a
// Content-Length and a Transfer-Encoding. net/http applies the Transfer-Encoding and drops the Content-Length without an
// error, while the sender may have applied the Content-Length: part of the sender's body would then be parsed as a
// separate request (RFC 9112, 6.3 and 11.2).
//
// The Conn's mu guards all fields except ambiguous, which the request's handler reads without holding mu.
type framing struct {
	ambiguous                             atomic.Bool
	headerLine                            []byte // the current header line, at most maxHeaderPrefix bytes of it
	hasContentLength, hasTransferEncoding bool   // in the current header
	contentLength                         int64  // in the current header, in bytes
	bodyRemaining                         int64  // bytes of body before the next header
	untracked                             bool   // the rest of the connection is not parsed
	headerStarted                         bool   // the current header has a line that is not empty
	inRequest                             bool   // part of a request has been read, but not all of it
	requestsRead                          int    // number read completely, except for a chunked body
}

// maxHeaderPrefix is the number of bytes that are kept of a header line: enough for a Content-Length with its value.
const maxHeaderPrefix = 64

// observe parses p, the bytes that the server reads next. The split into calls may be arbitrary.
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
		f.headerLine = appendPrefix(f.headerLine, part)
		p = rest
		if lineComplete {
			f.parseHeaderLine(bytes.TrimSuffix(f.headerLine, []byte("\r")))
			f.headerLine = f.headerLine[:0]
		}
	}
}

// parseHeaderLine parses a header line without its line ending. An empty line ends the header.
func (f *framing) parseHeaderLine(line []byte) {
	if len(line) > 0 {
		f.headerStarted = true
		name, value := cutField(line)
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.hasTransferEncoding = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			f.hasContentLength = true
			// net/http rejects a length that is not a number, and closes the connection.
			f.contentLength, _ = strconv.ParseInt(string(value), 10, 64)
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
	if f.hasTransferEncoding { // chunks are not parsed, because the server closes the connection after this request
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
		f.requestsRead++
	}
}
