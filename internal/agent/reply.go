package agent

// How final answers are written to clients.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// writeReply writes a final answer. If it can't be written whole, net/http closes the connection
// short of its Content-Length, so that the client can tell.
func (f *frontend) writeReply(w http.ResponseWriter, httpReq *http.Request, r reply) {
	switch {
	case r.response != nil && r.response.stream != nil:
		f.streamResponse(w, httpReq, r.response)
	case r.response != nil:
		copyHeader(w, r.response)
		w.Header().Set("Content-Length", strconv.Itoa(len(r.response.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(r.response.body) // a client that is gone needs no answer
	case r.rejected:
		if r.residency {
			w.Header().Set("X-Refused-For", "residency")
		}
		f.reject(w, r.retryAfter)
	case r.duplicate:
		http.Error(w, "a request with this X-Trace-Id is open", http.StatusConflict)
	case r.timedOut:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

func copyHeader(w http.ResponseWriter, resp *response) {
	h := w.Header()
	for name, values := range resp.header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// streamResponse passes a large answer on as it comes. Where it can't be finished the connection ends short of
// it, so that the client can tell.
func (f *frontend) streamResponse(w http.ResponseWriter, httpReq *http.Request, resp *response) {
	stream, control := resp.stream, http.NewResponseController(w)
	defer stream.finish(errRequestEnded)
	stopWatching := context.AfterFunc(httpReq.Context(), func() { stream.cancel(errCancelled) })
	defer stopWatching()
	if c := clientConnOf(httpReq); c != nil {
		limitKernelBuffers(c.Conn)
	}
	copyHeader(w, resp)
	if stream.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(stream.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	buf, free := f.loop.pool.bufferBudget.get()
	defer free()
	waited, passed := time.Duration(0), int64(0) // for the backend, and from it
	for chunk, readErr := resp.body, error(nil); ; {
		err := control.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		if err == nil {
			_, err = w.Write(chunk)
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if readErr != nil {
			stream.finish(nil)
			return
		}
		if passed += int64(len(chunk)); passed > maxStreamBytes || isTooSlow(waited, passed) {
			stream.finish(errStalled)
			panic(http.ErrAbortHandler)
		}
		stalled := time.AfterFunc(streamStallTimeout, func() { stream.cancel(errStalled) })
		readStart := time.Now()
		n, err := stream.source.Read(buf)
		waited += time.Since(readStart)
		stalled.Stop()
		if err != nil && !errors.Is(err, io.EOF) {
			if httpReq.Context().Err() != nil {
				err = errRequestEnded // the client has gone: the backend is not to blame
			}
			stream.finish(err)
			panic(http.ErrAbortHandler)
		}
		chunk, readErr = buf[:n], err
	}
}

// reject says that trying again is harmless, and when to, where clients are shown that.
func (f *frontend) reject(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 && f.cfg.Settings.RetryAfter {
		retryAfter = min(retryAfter, f.cfg.Settings.MaxRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
