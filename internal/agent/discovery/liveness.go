package discovery

import (
	"bytes"
	"io"
)

// maxValueBytes bounds one value of the stream, in bytes: a longer one is no list.
const maxValueBytes = 4 << 20

// livenessReader is the stream of a watch's bytes. An empty line between values is a sign of life, and so is a whole value; the
// bytes of one that never ends are none. What is read may not run further ahead of the last whole value than maxValueBytes.
type livenessReader struct {
	source    io.Reader
	onAlive   func()
	bytesRead int64
	valueEnd  int64 // up to the end of the last value
	blank     bool  // nothing but white space has come since
}

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

// valueEnded notes the end of a value, at an offset, with what has been read behind it.
func (r *livenessReader) valueEnded(offset int64, buffered []byte) {
	r.valueEnd, r.blank = offset, isBlank(buffered)
}

func isBlank(p []byte) bool { return len(bytes.Trim(p, " \t\r\n")) == 0 }
