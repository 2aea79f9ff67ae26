package lab

// The file of the histories of requests.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"martenbeam/internal/lab/check"
)

// recorder writes the histories of finished requests as lines of JSON. After its first error, which flush returns, it writes
// nothing more.
type recorder struct {
	w   *bufio.Writer
	enc *json.Encoder
	err error
}

func newRecorder(w io.Writer) *recorder {
	if w == nil {
		return &recorder{}
	}
	b := bufio.NewWriterSize(w, 1<<16)
	return &recorder{w: b, enc: json.NewEncoder(b)}
}

func (r *recorder) request(q *check.Request) {
	if r.enc != nil && r.err == nil {
		r.err = r.enc.Encode(q)
	}
}

// flush writes the buffered data, and returns the first error of the recorder.
func (r *recorder) flush() error {
	if r.w == nil || r.err != nil {
		return r.err
	}
	return r.w.Flush()
}

// Flush writes the buffered histories of requests, and returns the first error of writing them.
func (l *Lab) Flush() error { return l.recorder.flush() }

// WriteHistory prints the history of a request, one event a line.
func WriteHistory(w io.Writer, q *check.Request) {
	fmt.Fprintf(w, "request %s, try %d of %s, by agent %d, given up %v after it was sent\n", q.ID, q.Attempt, q.FirstID, q.Agent, q.Timeout.Round(time.Millisecond))
	for _, e := range q.History {
		fmt.Fprintf(w, "  %10.3f s  %-12s %s\n", e.At.Seconds(), e.Who, e.What)
	}
}
