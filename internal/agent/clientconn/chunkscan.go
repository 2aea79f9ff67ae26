package clientconn

// This file finds the end of a chunked body in bytes that have arrived.

import (
	"bytes"
	"strconv"
)

// chunkScan finds the end of a chunked body (RFC 9112, 7.1). The split of the bytes into calls may be arbitrary.
type chunkScan struct {
	line      []byte // the current line, at most maxHeaderPrefix bytes of it
	remaining int64  // bytes of the current chunk and its line ending that have not arrived
	inTrailer bool   // the last chunk has arrived
	complete  bool
	malformed bool
}

// scan parses the bytes that arrived next.
func (s *chunkScan) scan(p []byte) {
	for len(p) > 0 && !s.complete && !s.malformed {
		if s.remaining > 0 {
			n := min(s.remaining, int64(len(p)))
			s.remaining -= n
			p = p[n:]
			continue
		}
		part, rest, lineComplete := bytes.Cut(p, []byte("\n"))
		s.line = appendPrefix(s.line, part)
		p = rest
		if lineComplete {
			s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
			s.line = s.line[:0]
		}
	}
}

// lineEnding is the number of bytes after the data of a chunk.
const lineEnding = 2

// endLine parses the size of a chunk, or a line of the trailer.
func (s *chunkScan) endLine(line []byte) {
	if s.inTrailer {
		s.complete = len(line) == 0
		return
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseInt(string(bytes.TrimSpace(digits)), 16, 32)
	switch {
	case err != nil || size < 0:
		s.malformed = true
	case size == 0:
		s.inTrailer = true
	default:
		s.remaining = size + lineEnding
	}
}
