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

// answer writes a final answer. If it can't be written whole, net/http closes the connection
// short of its Content-Length, so that the client can tell.
func (f *front) answer(w http.ResponseWriter, hr *http.Request, a reply) {
	switch {
	case a.served != nil && a.served.rest != nil:
		f.relay(w, hr, a.served)
	case a.served != nil:
		copyHeader(w, a.served)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.served.body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.served.body) // a client that is gone needs no answer
	case a.refused:
		if a.residency {
			w.Header().Set("X-Refused-For", "residency")
		}
		f.refuse(w, a.retryAfter)
	case a.duplicate:
		http.Error(w, "a request with this X-Trace-Id is open", http.StatusConflict)
	case a.timedOut:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
}

func copyHeader(w http.ResponseWriter, a *answer) {
	h := w.Header()
	for name, values := range a.header {
		if !slices.Contains(hopHeaders, name) {
			h[name] = values
		}
	}
	if _, set := h["Content-Type"]; !set {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// relay passes a large answer on as it comes. Where it can't be finished the connection ends short of
// it, so that the client can tell.
func (f *front) relay(w http.ResponseWriter, hr *http.Request, a *answer) {
	s, rc := a.rest, http.NewResponseController(w)
	defer s.end(errEnded)
	gone := context.AfterFunc(hr.Context(), func() { s.cancel(errCancelled) })
	defer gone()
	if c := clientOf(hr); c != nil {
		boundKernel(c.Conn)
	}
	copyHeader(w, a)
	if s.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	buf, free := f.loop.backends.buffers.get()
	defer free()
	waited, passed := time.Duration(0), int64(0) // for the backend, and from it
	for part, last := a.body, error(nil); ; {
		err := rc.SetWriteDeadline(time.Now().Add(streamStall))
		if err == nil {
			_, err = w.Write(part)
		}
		if err == nil {
			err = rc.Flush()
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if last != nil {
			s.end(nil)
			return
		}
		if passed += int64(len(part)); passed > largest || slow(waited, passed) {
			s.end(errStalled)
			panic(http.ErrAbortHandler)
		}
		stalled := time.AfterFunc(streamStall, func() { s.cancel(errStalled) })
		began := time.Now()
		n, err := s.in.Read(buf)
		waited += time.Since(began)
		stalled.Stop()
		if err != nil && !errors.Is(err, io.EOF) {
			if hr.Context().Err() != nil {
				err = errEnded // the client has gone: the backend is not to blame
			}
			s.end(err)
			panic(http.ErrAbortHandler)
		}
		part, last = buf[:n], err
	}
}

// refuse says that trying again is harmless, and when to, where clients are shown that.
func (f *front) refuse(w http.ResponseWriter, after time.Duration) {
	if after > 0 && f.cfg.Settings.RetryAfter {
		after = min(after, f.cfg.Settings.MaxRetryAfter)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, "refused, try again", http.StatusServiceUnavailable)
}
