package agent

// Reads the body of a client's request.

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"martenbeam/internal/agent/membudget"
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

// clientBody is the body of a request, or the first part of a body that is streamed.
type clientBody struct {
	first []byte
	more  bool // the rest has to be streamed
}

// readBody reads the complete body if it has at most upstream.MaxBufferedBody bytes, and otherwise its first part. A body of unknown
// length that does not end within the first part is streamed too. memory is the reservation of the request.
func (f *frontend) readBody(w http.ResponseWriter, httpReq *http.Request, memory *membudget.Reservation) (*clientBody, *inputError) {
	length := httpReq.ContentLength
	switch {
	case length == 0:
		return &clientBody{}, nil
	case length > upstream.MaxStreamBytes:
		return nil, bodyError(&http.MaxBytesError{Limit: upstream.MaxStreamBytes})
	}
	if client := clientConnOf(httpReq); client != nil && (length < 0 || length > upstream.MaxBufferedBody) {
		upstream.LimitKernelBuffers(client.Conn)
	}
	reader := &minThroughputReader{source: httpReq.Body, control: http.NewResponseController(w),
		allowance: f.bodyTimeLeft(httpReq), maxGap: f.maxBodyGap}
	body, err := readFirstPart(reader, length, memory)
	if err != nil {
		return nil, bodyError(err)
	}
	if !body.more {
		if err := reader.ClearDeadline(); err != nil { // an expired deadline looks like a disconnect
			return nil, bodyError(err)
		}
	}
	return body, nil
}

// readFirstPart reads a body of length bytes (below 0: unknown) completely, or its first part if it has to be streamed.
func readFirstPart(source io.Reader, length int64, memory *membudget.Reservation) (*clientBody, error) {
	if length >= 0 && length <= upstream.MaxBufferedBody {
		complete := make([]byte, length)
		_, err := io.ReadFull(source, complete)
		return &clientBody{first: complete}, err
	}
	limit := int64(upstream.MinBufferedBody)
	if memory.TryGrow(upstream.MaxBufferedBody) {
		limit = upstream.MaxBufferedBody
	}
	first, err := io.ReadAll(io.LimitReader(source, limit+1))
	return &clientBody{first: first, more: int64(len(first)) > limit}, err
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
