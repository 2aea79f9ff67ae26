package clientconn

// This file finds the end of a request in bytes that have arrived, before net/http reads them.

import (
	"bytes"
	"strconv"
	"time"
)

// Head describes the header of a request that has arrived completely, and how its body is delimited.
type Head struct {
	Path          string        // the path of the request line, or its beginning
	Size          int           // bytes of the header, with the request line and the empty lines around it
	Fields        int           // lines after the request line
	ContentLength int64         // bytes of the body; 0 if it is chunked
	Chunked       bool          // the body has a Transfer-Encoding
	BodyArrived   bool          // the complete body has arrived too
	Timeout       time.Duration // X-Expires-In; 0: not stated, or not a positive number
}

// headScan finds the end of the next request's header. The split of the bytes into calls may be arbitrary.
type headScan struct {
	Head
	line           []byte // the current line, at most maxHeaderPrefix bytes of it
	lineEnd        []byte // the last bytes of the request line, as many as supportedVersion has
	started        bool   // the header has a line that is not empty
	unsupported    bool   // the request line does not end with supportedVersion, so net/http or its handler rejects the request
	complete       bool   // the empty line after the header was found
	awaitsContinue bool   // the client may wait for a response before it sends the body
}

// scan parses p up to the end of the header, and returns how many bytes that were.
func (s *headScan) scan(p []byte) (n int) {
	for len(p) > 0 && !s.complete {
		part, rest, lineComplete := bytes.Cut(p, []byte("\n"))
		s.line = appendPrefix(s.line, part)
		if !s.started {
			s.lineEnd = appendSuffix(s.lineEnd, bytes.TrimSuffix(part, []byte("\r")))
		}
		n += len(p) - len(rest)
		p = rest
		if lineComplete {
			s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
			s.line = s.line[:0]
		}
	}
	s.Size += n
	return n
}

// endLine parses a line without its line ending.
func (s *headScan) endLine(line []byte) {
	switch {
	case len(line) == 0:
		s.complete = s.started // empty lines before a request do not belong to it
	case !s.started:
		s.started, s.unsupported = true, string(s.lineEnd) != supportedVersion
		s.Path = pathOf(line)
		s.lineEnd = nil
	default:
		s.Fields++
		s.parseField(line)
	}
}

// parseField notes a field that says how the body is delimited, or how long the client waits.
func (s *headScan) parseField(line []byte) {
	name, value := cutField(line)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		s.ContentLength, _ = strconv.ParseInt(string(value), 10, 64) // net/http rejects a length that is not a number
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.Chunked = true
	case bytes.EqualFold(name, []byte("Expect")):
		s.awaitsContinue = true
	case bytes.EqualFold(name, []byte("X-Expires-In")):
		if seconds, err := strconv.ParseFloat(string(value), 64); err == nil && seconds > 0 {
			s.Timeout = time.Duration(min(seconds, maxStatedTimeout.Seconds()) * float64(time.Second))
		}
	}
}

// maxStatedTimeout bounds the time that a client may state, so that its duration does not overflow.
const maxStatedTimeout = time.Hour

// appendPrefix appends part to a line, of which at most maxHeaderPrefix bytes are kept.
func appendPrefix(line, part []byte) []byte {
	return append(line, part[:min(len(part), maxHeaderPrefix-len(line))]...)
}

// supportedVersion is the version of a request that may be served.
const supportedVersion = "HTTP/1.1"

// appendSuffix appends part to the end of a line, of which as many bytes are kept as supportedVersion has.
func appendSuffix(end, part []byte) []byte {
	end = append(end, part[max(0, len(part)-len(supportedVersion)):]...)
	return end[max(0, len(end)-len(supportedVersion)):]
}

// pathOf returns the path of a request line without its query, as far as the line's prefix has it.
func pathOf(line []byte) string {
	_, target, _ := bytes.Cut(line, []byte(" "))
	end := bytes.IndexAny(target, " ?")
	if end < 0 {
		end = len(target)
	}
	return string(target[:end])
}

// cutField returns the name and the value of a header field.
func cutField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte(":"))
	return bytes.TrimSpace(name), bytes.TrimSpace(value)
}

// arrival is what has arrived of the next request on a connection.
type arrival struct {
	headScan
	chunks    chunkScan
	bodyBytes int64
}

// add parses bytes that have arrived.
func (a *arrival) add(p []byte) {
	if p = p[a.scan(p):]; len(p) == 0 {
		return
	}
	a.bodyBytes += int64(len(p))
	if a.Chunked {
		a.chunks.scan(p)
	}
}

// isReady reports whether the request is to be served: it has arrived completely, or has a body that is read as it is served,
// since it is longer than is awaited, its client waits for a response before it sends it,
// or the request is to be rejected.
func (a *arrival) isReady() bool {
	switch {
	case !a.complete:
		return false
	case a.unsupported:
		return true
	case a.Chunked:
		a.BodyArrived = a.chunks.complete
		return a.BodyArrived || a.chunks.malformed || a.bodyBytes > maxAwaitedChunks || a.awaitsContinue
	}
	a.BodyArrived = a.bodyBytes >= a.ContentLength
	return a.BodyArrived || a.ContentLength > MaxAwaitedBody || a.awaitsContinue
}

// wireSize returns the number of bytes of the request; below 0: unknown.
func (a *arrival) wireSize() int64 {
	if a.Chunked {
		return -1
	}
	return int64(a.Size) + max(0, a.ContentLength)
}
