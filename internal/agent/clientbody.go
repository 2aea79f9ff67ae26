package agent

// Reads the body of a client's request.

import (
	"bytes"
	"context"
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
	first  []byte
	more   bool                   // the rest has to be streamed
	memory *membudget.Reservation // for the request with its body, or for streaming it; nil: none
	waited time.Duration          // for memory, while bytes arrived unread
}

// unreservedBody is the largest body that takes no memory besides that of its request, in bytes.
const unreservedBody = 4 << 10

// memoryWaitShare is the share of a request's time, as a divisor, in which its body may wait for memory.
const memoryWaitShare = 4

// errBodyDoesNotFit is the failure of a request whose body found no memory in time. Nothing of the request was executed.
var errBodyDoesNotFit = &inputError{http.StatusServiceUnavailable, "no memory for the body"}

// readBody reads the complete body if it has at most upstream.MaxBufferedBody bytes, and otherwise its first part. Nothing over
// unreservedBody is read until the body's memory is reserved. A body of unknown length that does not end within the first part is
// streamed too.
func (f *frontend) readBody(w http.ResponseWriter, httpReq *http.Request, timeout time.Duration) (*clientBody, *inputError) {
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
	var first []byte
	if length < 0 {
		var err error
		if first, err = readSmallBody(reader); err != nil {
			return nil, bodyError(err)
		}
		if len(first) <= unreservedBody {
			return completeBody(&clientBody{first: first}, reader)
		}
	}
	waitStart := time.Now()
	f.loop.pool.Memory.Add(int64(len(first))) // until the reservation contains it
	memory, fits := f.reserveBody(httpReq, timeout)
	f.loop.pool.Memory.Remove(int64(len(first)))
	if !fits {
		return nil, errBodyDoesNotFit
	}
	waited := time.Since(waitStart)
	reader.allowance -= waited
	body, err := readFirstPart(reader, length, first, memory)
	if err != nil {
		memory.Release()
		return nil, bodyError(err)
	}
	body.waited = waited
	return completeBody(body, reader)
}

// readSmallBody reads a body of unknown length up to its end, or the first unreservedBody+1 bytes of a longer one.
func readSmallBody(source io.Reader) ([]byte, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, unreservedBody+1+bytes.MinRead)) // large enough for ReadFrom not to allocate another
	_, err := buffer.ReadFrom(io.LimitReader(source, unreservedBody+1))
	return buffer.Bytes(), err
}

// completeBody returns a body after it, or its first part, has been read.
func completeBody(body *clientBody, reader *minThroughputReader) (*clientBody, *inputError) {
	if body.more {
		return body, nil
	}
	if err := reader.ClearDeadline(); err != nil { // an expired deadline looks like a disconnect
		body.memory.Release()
		return nil, bodyError(err)
	}
	return body, nil
}

// reserveBody reserves the memory for a body. While too little is left, the client waits for part of its request's time, but
// not longer than for a small body. fits is false if the memory was not free in time.
func (f *frontend) reserveBody(httpReq *http.Request, timeout time.Duration) (memory *membudget.Reservation, fits bool) {
	class, bytes := membudget.Buffer, httpReq.ContentLength
	switch {
	case bytes > 0 && bytes <= unreservedBody:
		return nil, true
	case bytes < 0 || bytes > upstream.MaxBufferedBody:
		class, bytes = membudget.Stream, upstream.UploadMemory
	}
	bytes += membudget.RequestMemory // of the same class, so that large requests leave memory for small ones
	ctx, cancel := context.WithTimeout(httpReq.Context(), min(timeout/memoryWaitShare, f.bodyTimeLeft(httpReq)))
	defer cancel()
	memory = f.loop.pool.Memory.Reserve(ctx, class, bytes)
	return memory, memory != nil
}

// readFirstPart reads a body of length bytes (below 0: unknown) completely, or its first part if it has to be streamed. first has
// been read already.
func readFirstPart(source io.Reader, length int64, first []byte, memory *membudget.Reservation) (*clientBody, error) {
	if length >= 0 && length <= upstream.MaxBufferedBody {
		complete := make([]byte, length)
		_, err := io.ReadFull(source, complete)
		return &clientBody{first: complete, memory: memory}, err
	}
	limit := int64(upstream.MinBufferedBody)
	if memory.TryGrow(upstream.MaxBufferedBody) {
		limit = upstream.MaxBufferedBody
	}
	rest, err := io.ReadAll(io.LimitReader(source, limit+1-int64(len(first))))
	first = append(first, rest...)
	return &clientBody{first: first, more: int64(len(first)) > limit, memory: memory}, err
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
