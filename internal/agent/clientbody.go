package agent

// How a request's body is read from its client.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"martenbeam/internal/agent/upstream"
)

// How slow a client's body may be.
const (
	clientStallTimeout = 1500 * time.Millisecond // without a byte of the body
	minClientRate      = 48 << 10                // bytes per second; clients send 64 kB
)

// minThroughputReader reads a client's body and fails if it arrives slower than any proper client sends. Only time spent
// waiting for the client counts, not time in which the backend does not read.
type minThroughputReader struct {
	source    io.Reader
	control   *http.ResponseController
	allowance time.Duration
	maxGap    time.Duration // for the next byte
	waited    time.Duration
	received  int64
}

// ClearDeadline ends the deadline for the client.
func (r *minThroughputReader) ClearDeadline() error { return r.control.SetReadDeadline(time.Time{}) }

// Read implements io.Reader.
func (r *minThroughputReader) Read(b []byte) (int, error) {
	readStart := time.Now()
	remaining := r.allowance + time.Duration(r.received)*time.Second/minClientRate - r.waited
	if err := r.control.SetReadDeadline(readStart.Add(min(remaining, r.maxGap))); err != nil {
		return 0, err
	}
	n, err := r.source.Read(b)
	r.waited += time.Since(readStart)
	if r.received += int64(n); r.received > upstream.MaxStreamBytes {
		return 0, &http.MaxBytesError{Limit: upstream.MaxStreamBytes}
	}
	return n, err
}

// readBody reads a body, or the first bytes of one that is streamed; more reports the latter.
func (f *frontend) readBody(w http.ResponseWriter, httpReq *http.Request) (body []byte, more bool, failure *inputError) {
	if httpReq.ContentLength == 0 {
		return nil, false, nil
	}
	if httpReq.ContentLength > upstream.MaxStreamBytes {
		return nil, false, bodyError(&http.MaxBytesError{Limit: upstream.MaxStreamBytes})
	}
	if httpReq.ContentLength > upstream.MaxBufferedBody {
		if c := clientConnOf(httpReq); c != nil {
			upstream.LimitKernelBuffers(c.Conn)
		}
	}
	bodyReader := &minThroughputReader{source: httpReq.Body, control: http.NewResponseController(w),
		allowance: f.bodyTimeLeft(httpReq), maxGap: f.maxBodyGap}
	body, err := io.ReadAll(io.LimitReader(bodyReader, upstream.MaxBufferedBody+1))
	if more = len(body) > upstream.MaxBufferedBody; err == nil && !more { // left running it would look like a disconnected client
		err = bodyReader.ClearDeadline()
	}
	if err != nil {
		return nil, false, bodyError(err)
	}
	return body, more, nil
}

func bodyError(err error) *inputError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &inputError{http.StatusRequestEntityTooLarge, "the body is larger than 32 MiB"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &inputError{http.StatusRequestTimeout, "the body comes too slowly"}
	}
	return badRequest("the body can't be read")
}
