package discovery

// This file detects heartbeats in the bytes of a stream.

import (
	"bytes"
	"io"
)

// maxValueBytes bounds one JSON value of a stream, in bytes.
const maxValueBytes = 4 << 20

// heartbeatReader reads a stream and calls onHeartbeat after each read that returns only white space, if no value has
// begun: discovery sends white space between values as its heartbeat. The bytes of an incomplete value do not count as
// a heartbeat. Once more than maxValueBytes have been read since the last complete value, Read fails with
// errValueTooLong.
type heartbeatReader struct {
	source         io.Reader
	onHeartbeat    func()
	bytesRead      int64
	valueEnd       int64 // offset of the end of the last complete value
	whitespaceOnly bool  // only white space has been read since valueEnd
}

// Read implements io.Reader for the JSON decoder.
func (r *heartbeatReader) Read(p []byte) (int, error) {
	if r.bytesRead-r.valueEnd > maxValueBytes {
		return 0, errValueTooLong
	}
	n, err := r.source.Read(p[:min(len(p), 64<<10)])
	r.bytesRead += int64(n)
	r.whitespaceOnly = r.whitespaceOnly && isWhitespace(p[:n])
	if r.whitespaceOnly && n > 0 {
		r.onHeartbeat()
	}
	return n, err
}

// valueEnded records that a value ended at offset and that the bytes in buffered have been read after it.
func (r *heartbeatReader) valueEnded(offset int64, buffered []byte) {
	r.valueEnd, r.whitespaceOnly = offset, isWhitespace(buffered)
}

// isWhitespace reports whether p is JSON white space only.
func isWhitespace(p []byte) bool { return len(bytes.Trim(p, " \t\r\n")) == 0 }
