package discovery

// This file detects signs of life in the bytes of a stream.

import (
	"bytes"
	"io"
)

// maxValueBytes bounds one JSON value of a stream, in bytes.
const maxValueBytes = 4 << 20

// livenessReader reads a stream and calls onAlive for white space between values, which is discovery's heartbeat. The
// bytes of a value that is incomplete are no sign of life. Once more than maxValueBytes have been read since the last
// complete value, Read fails with errTooLong.
type livenessReader struct {
	source    io.Reader
	onAlive   func()
	bytesRead int64
	valueEnd  int64 // offset of the end of the last complete value
	blank     bool  // only white space has been read since
}

// Read implements io.Reader for the JSON decoder.
func (r *livenessReader) Read(p []byte) (int, error) {
	if r.bytesRead-r.valueEnd > maxValueBytes {
		return 0, errTooLong
	}
	n, err := r.source.Read(p[:min(len(p), 64<<10)])
	r.bytesRead += int64(n)
	r.blank = r.blank && isBlank(p[:n])
	if r.blank && n > 0 {
		r.onAlive()
	}
	return n, err
}

// valueEnded notes that a value ended at an offset, and that the bytes in buffered have been read after it.
func (r *livenessReader) valueEnded(offset int64, buffered []byte) {
	r.valueEnd, r.blank = offset, isBlank(buffered)
}

// isBlank reports whether p is JSON white space only.
func isBlank(p []byte) bool { return len(bytes.Trim(p, " \t\r\n")) == 0 }
