package agent

// Reads the body of a client's request.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"martenbeam/internal/agent/upstream"
)

// Bounds on how slowly a client may send a body.
const (
	clientStallTimeout = 1500 * time.Millisecond // longest wait for the next byte of a streamed body
	minClientRate      = 48 << 10                // bytes per second; clients send 64 kB per second
)

// minThroughputReader reads a client's body and fails if the body arrives at less than minClientRate, not counting allowance,
// or if no byte arrives within maxGap. Only time spent waiting for the client counts, not time in which the backend does not
// read.
type minThroughputReader struct {
	source    io.Reader
	control   *http.ResponseController
	allowance time.Duration // time granted in addition to the time that the body takes at minClientRate
	maxGap    time.Duration // longest wait for the next byte
	waited    time.Duration
	received  int64
}

// ClearDeadline removes the read deadline of the client's connection.
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

// readBody reads the complete body if it has at most upstream.MaxBufferedBody bytes, and otherwise its first bytes. more
// reports that the rest of the body has to be streamed.
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
	if more = len(body) > upstream.MaxBufferedBody; err == nil && !more { // an expired deadline looks like a disconnect
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
