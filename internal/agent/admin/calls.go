package admin

// This file implements the calls.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"martenbeam/internal/agent/handover"
	"martenbeam/internal/bootclock"
)

// methodByPath maps the path of each call to its HTTP method.
var methodByPath = map[string]string{
	"/_ready":           http.MethodGet,
	"/_backends/detach": http.MethodPut,
	"/_backends/attach": http.MethodPut,
	"/_lameduck/on":     http.MethodPut,
	"/_lameduck/off":    http.MethodPut,
}

// ServeHTTP carries out one call and responds to it. The call takes effect only after it has arrived completely.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, ok := readCall(w, request)
	if !ok {
		return
	}
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok && !s.idleConns.Claim(c) {
		panic(http.ErrAbortHandler) // the connection was evicted before the call was complete
	}
	switch path := request.URL.Path; path {
	case "/_ready":
		if !s.agent.Ready() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
			return
		}
		s.respondOK(w)
	case "/_lameduck/on", "/_lameduck/off":
		s.setLameDuck(request.Context(), w, path == "/_lameduck/on")
	default:
		s.setDisabled(request.Context(), w, body, path == "/_backends/detach")
	}
}

// readCall reads a call's body. If the call can't be carried out, readCall sends the error response and returns false.
func readCall(w http.ResponseWriter, request *http.Request) (body []byte, ok bool) {
	method, known := methodByPath[request.URL.Path]
	if !known {
		http.Error(w, "no such call", http.StatusNotFound)
		return nil, false
	}
	if request.Method != method {
		w.Header().Set("Allow", method)
		http.Error(w, "this call takes "+method, http.StatusMethodNotAllowed)
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	if err != nil {
		http.Error(w, "the call can't be read", http.StatusBadRequest)
		return nil, false
	}
	return body, true
}

// respondOK sends the response of a successful call, with the body "yes".
func (s *Server) respondOK(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, "yes\n") // a caller that has disconnected needs no response
}

// setLameDuck switches the agent's lame duck state on or off, and responds.
func (s *Server) setLameDuck(ctx context.Context, w http.ResponseWriter, on bool) {
	ctx, cancel := context.WithTimeout(ctx, s.AnswerTimeout)
	defer cancel()
	// Record first: the agent reverts a lame duck state that is neither recorded nor waiting to be recorded.
	recorded := s.record(ctx, handover.Override{Disabled: on})
	s.agent.SetLameDuck(on)
	s.log.Info("lame duck state set", "on", on)
	s.respond(w, recorded)
}

// setDisabled disables or enables the backend that the call names, and responds.
func (s *Server) setDisabled(ctx context.Context, w http.ResponseWriter, body []byte, disable bool) {
	var call struct {
		Target *string `json:"Target"`
	}
	if err := json.Unmarshal(body, &call); err != nil || call.Target == nil || *call.Target == "" {
		http.Error(w, `the call's body must be {"target":"ID"}`, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.AnswerTimeout)
	defer cancel()
	found, err := s.agent.SetDisabled(ctx, *call.Target, disable)
	switch {
	case err != nil:
		s.log.Warn("admin call timed out", "backend", *call.Target, "detach", disable, "error", err)
		http.Error(w, "no answer in time, call again", http.StatusServiceUnavailable)
	case !found:
		s.log.Info("admin call for an unknown backend", "backend", *call.Target, "detach", disable)
		http.Error(w, "no backend has this id", http.StatusNotFound)
	default:
		s.log.Info("backend override set", "backend", *call.Target, "detached", disable)
		s.respond(w, s.record(ctx, handover.Override{Backend: *call.Target, Disabled: disable}))
	}
}

// record stores a call for the successor of this process. It reports false if the call could not be stored before ctx was
// done.
func (s *Server) record(ctx context.Context, override handover.Override) bool {
	if s.Record == nil {
		return true
	}
	override.IssuedAt = bootclock.SinceBoot()
	err := s.Record(ctx, override)
	if err != nil {
		s.log.Error("recording an admin call failed", "backend", override.Backend, "out", override.Disabled, "error", err)
	}
	return err == nil
}

// respond sends a success response if the call was recorded, and an error response if the call could not be recorded in
// time. An unrecorded call stays in effect in this process, and is recorded as soon as possible.
func (s *Server) respond(w http.ResponseWriter, recorded bool) {
	if recorded {
		s.respondOK(w)
		return
	}
	http.Error(w, "the call holds in this process, but can't be recorded for the next one: call again", http.StatusServiceUnavailable)
}
