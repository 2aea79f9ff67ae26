// Package admin is where operators call an agent: over HTTP, at an address of its own.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/listener"
	"martenbeam/internal/bootclock"
)

// Agent is what the calls are about.
type Agent interface {
	// Ready reports whether clients are taken.
	Ready() bool
	// Move has a backend detached, or attached again, and reports whether it has it. It fails once ctx ends.
	SetDisabled(ctx context.Context, backend string, detach bool) (taken bool, err error)
	// Drain empties the agent of clients, or takes them again.
	SetLameDuck(on bool)
}

// Server answers operators' calls: one a connection, a 2xx answer is yes, a 4xx or 5xx no.
type Server struct {
	Record        func(context.Context, handover.Override) error // where a successor finds a call; may be nil. Set before Run
	AnswerTimeout time.Duration                                  // an answer is given

	log       *slog.Logger
	agent     Agent
	listener  net.Listener
	server    *http.Server
	idleConns *clientconn.IdleConns
	readers   sync.WaitGroup // of connections: each ends with its socket
}

const (
	readTimeout     = 5 * time.Second // for a call to come whole
	maxRequestBytes = 4 << 10         // bytes of a call's body

	// DefaultAnswerTimeout leaves of the second in which an answer is due the moment that recording a call may take past it.
	DefaultAnswerTimeout = 600 * time.Millisecond
)

// New listens at an address, for at most so many calls at once. It waits for an address that another process still has, until
// ctx ends.
func New(ctx context.Context, addr string, maxConns int, agent Agent, log *slog.Logger) (*Server, error) {
	s := &Server{log: log, agent: agent, idleConns: clientconn.NewIdleConns(), AnswerTimeout: DefaultAnswerTimeout}
	ln, err := listener.ListenTCP(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	limited := listener.Limit(ln, maxConns)
	limited.OnAcceptError = func(err error) { log.Warn("accepting operators' calls fails", "error", err) }
	limited.OnFull = s.idleConns.EvictIdle // who calls and says nothing must not keep out those who would
	s.listener = limited
	s.server = &http.Server{
		Handler:        s,
		ReadTimeout:    readTimeout,
		WriteTimeout:   readTimeout + 2*DefaultAnswerTimeout,
		MaxHeaderBytes: maxRequestBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      s.idleConns.Track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	s.server.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is where operators call.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

type connKey struct{}

// Run answers calls until ctx ends, and then those that have come whole.
func (s *Server) Run(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		bound, cancel := context.WithTimeout(context.Background(), s.AnswerTimeout)
		defer cancel()
		if s.server.Shutdown(bound) != nil { // callers who say nothing are not waited for
			s.server.Close()
		}
	}()
	if err := s.server.Serve(clientconn.Listener{Listener: s.listener, Tasks: &s.readers}); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("operators' calls are answered no more", "error", err)
	}
	<-closed
	s.readers.Wait()
}

// calls are the paths that may be called, with their methods.
var methodByPath = map[string]string{
	"/_ready":           http.MethodGet,
	"/_backends/detach": http.MethodPut,
	"/_backends/attach": http.MethodPut,
	"/_lameduck/on":     http.MethodPut,
	"/_lameduck/off":    http.MethodPut,
}

// ServeHTTP answers one call. It acts once the call has come whole.
func (s *Server) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	method, known := methodByPath[request.URL.Path]
	if !known {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if request.Method != method {
		w.Header().Set("Allow", method)
		http.Error(w, "this call takes "+method, http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "the call can't be read", http.StatusBadRequest)
		return
	}
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok && !s.idleConns.Claim(c) {
		panic(http.ErrAbortHandler) // closed to make room before it was whole
	}
	switch request.URL.Path {
	case "/_ready":
		if !s.agent.Ready() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
			return
		}
	case "/_lameduck/on", "/_lameduck/off":
		on := request.URL.Path == "/_lameduck/on"
		ctx, cancel := context.WithTimeout(request.Context(), s.AnswerTimeout)
		defer cancel()
		recorded := s.record(ctx, handover.Override{Disabled: on}) // first: what the record lacks is taken back here
		s.agent.SetLameDuck(on)
		s.log.Info("lame duck", "on", on)
		s.respond(w, recorded)
		return
	default:
		s.setDisabled(w, request.Context(), body, request.URL.Path == "/_backends/detach")
		return
	}
	s.respondOK(w)
}

func (s *Server) respondOK(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, "yes\n") // a caller that is gone needs no answer
}

// setDisabled takes a call about a backend to the module, and says what it said.
func (s *Server) setDisabled(w http.ResponseWriter, ctx context.Context, body []byte, disable bool) {
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
		s.log.Warn("a call found no answer in time", "backend", *call.Target, "detach", disable, "error", err)
		http.Error(w, "no answer in time, call again", http.StatusServiceUnavailable)
	case !found:
		s.log.Info("a call for a backend that nobody has", "backend", *call.Target, "detach", disable)
		http.Error(w, "no backend has this id", http.StatusNotFound)
	default:
		s.log.Info("backend called", "backend", *call.Target, "detached", disable)
		s.respond(w, s.record(ctx, handover.Override{Backend: *call.Target, Disabled: disable}))
	}
}

// record records a call that holds here for a successor, and reports whether it could by ctx's end.
func (s *Server) record(ctx context.Context, call handover.Override) bool {
	if s.Record == nil {
		return true
	}
	call.IssuedAt = bootclock.SinceBoot()
	err := s.Record(ctx, call)
	if err != nil {
		s.log.Error("a call is not recorded for a successor yet", "backend", call.Backend, "out", call.Disabled, "error", err)
	}
	return err == nil
}

// respond says yes to a call that holds over an upgrade, and no to one that could not be recorded in time. That one goes on to
// hold here, and is recorded as soon as it can be.
func (s *Server) respond(w http.ResponseWriter, recorded bool) {
	if recorded {
		s.respondOK(w)
		return
	}
	http.Error(w, "the call holds in this process, but can't be recorded for the next one: call again", http.StatusServiceUnavailable)
}
