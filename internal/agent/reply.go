package agent

// Writes replies to clients.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/agent/upstream"
)

// writeReply writes the final reply. If it can't write the complete reply, net/http closes the connection before
// Content-Length bytes are sent, so that the client detects the truncation.
func (f *frontend) writeReply(w http.ResponseWriter, httpReq *http.Request, r reply) {
	defer r.response.Release()
	switch {
	case r.response != nil && r.response.Stream != nil:
		f.streamResponse(w, httpReq, r.response)
	case r.response != nil:
		copyHeader(w, r.response)
		w.Header().Set("Content-Length", strconv.Itoa(len(r.response.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(r.response.Body) // fails only if the client has disconnected
	case r.rejected:
		if r.residency {
			w.Header().Set("X-Refused-For", "residency")
		}
		f.reject(w, r.retryAfter)
	case r.duplicate:
		http.Error(w, "a request with this X-Trace-Id was accepted before", http.StatusConflict)
	case r.timedOut:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

func copyHeader(w http.ResponseWriter, resp *upstream.Response) {
	h := w.Header()
	for name, values := range resp.Header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
}

// streamResponse forwards a streaming response as it arrives. If the response can't be completed, streamResponse closes the
// connection before the end of the response, so that the client detects the truncation.
func (f *frontend) streamResponse(w http.ResponseWriter, httpReq *http.Request, resp *upstream.Response) {
	stream := resp.Stream
	defer stream.Finish(upstream.ErrRequestEnded)
	stopWatching := context.AfterFunc(httpReq.Context(), func() { stream.Cancel(upstream.ErrCancelled) })
	defer stopWatching()
	if c := clientConnOf(httpReq); c != nil {
		upstream.LimitKernelBuffers(c.Conn)
	}
	copyHeader(w, resp)
	if stream.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(stream.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	buf, free := f.loop.pool.Buffers.Get()
	defer free()
	if !relay(httpReq.Context(), w, stream, resp.Body, buf) {
		panic(http.ErrAbortHandler)
	}
}

// minUpstreamRate is the lowest rate of a response in bytes per second. Every working backend sends far faster.
const minUpstreamRate = 1 << 10

// isTooSlow reports whether a backend sends at less than minUpstreamRate on average, not counting StallTimeout. Without this
// bound a trickling response might never end, because the client's deadline applies only to the first bytes of a streaming
// response, so that a response is not truncated while it is still arriving.
func isTooSlow(waited time.Duration, received int64) bool {
	return waited > upstream.StallTimeout+time.Duration(received)*time.Second/minUpstreamRate
}

// relay writes first and then the bytes that it reads from stream into buf, until the response is complete. It returns false
// if the connection to the client has to be aborted because the client does not read, the backend failed, or the response
// is too slow or too large.
func relay(client context.Context, w http.ResponseWriter, stream *upstream.Stream, first, buf []byte) bool {
	control := http.NewResponseController(w)
	waited, received := time.Duration(0), int64(0) // time spent waiting for the backend, and bytes received from it
	for chunk, readErr := first, error(nil); ; {
		err := control.SetWriteDeadline(time.Now().Add(upstream.StallTimeout))
		if err == nil {
			_, err = w.Write(chunk)
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return false
		}
		if readErr != nil {
			stream.Finish(nil)
			return true
		}
		if received += int64(len(chunk)); received > upstream.MaxStreamBytes || isTooSlow(waited, received) {
			stream.Finish(upstream.ErrStalled)
			return false
		}
		stalled := time.AfterFunc(upstream.StallTimeout, func() { stream.Cancel(upstream.ErrStalled) })
		readStart := time.Now()
		n, err := stream.Read(buf)
		waited += time.Since(readStart)
		stalled.Stop()
		if err != nil && !errors.Is(err, io.EOF) {
			if client.Err() != nil {
				err = upstream.ErrRequestEnded // the client has disconnected, which is not a failure of the backend
			}
			stream.Finish(err)
			return false
		}
		chunk, readErr = buf[:n], err
	}
}

// reject replies with a status that permits a retry, and with Retry-After if the site shows this header to clients.
func (f *frontend) reject(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 && f.cfg.Settings.RetryAfter {
		retryAfter = min(retryAfter, f.cfg.Settings.MaxRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, rejectionText, http.StatusServiceUnavailable)
}

// rejectionText is the body of a rejection.
const rejectionText = "refused, try again"

// memoryRetryAfter is the time after which a client may send a request again for which no memory was left.
const memoryRetryAfter = time.Second
