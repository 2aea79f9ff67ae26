// Package admin is the agent's administration server: operators call it over HTTP, at an address of its own. A call
// asks whether the agent is ready, disables or enables a backend, or makes the agent a lame duck. Its paths, words and
// JSON keys are an interface to the operators' tools.
//
// Who owns what: the server owns its listener and its connections, each with a read loop that Run waits for. It has no
// state of the agent's: a call is carried out by the Agent, and recorded by Record before it is answered with yes.
// Calls are answered by net/http's goroutines, several at a time; an answer is as of the call, and given within
// AnswerTimeout of it.
package admin

// This file is the server: its listener, its limits and its shutdown.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/listener"
)

// Agent is what the calls act upon. Its methods may be called from any goroutine.
type Agent interface {
	// Ready reports whether clients are accepted.
	Ready() bool
	// SetDisabled disables a backend, or enables it again, and reports whether there is one of this id. The error is
	// ctx's.
	SetDisabled(ctx context.Context, backend string, disabled bool) (found bool, err error)
	// SetLameDuck drains the agent of clients, or accepts them again.
	SetLameDuck(on bool)
}

// Server answers operators' calls, one for each connection: a 2xx response is yes, a 4xx or 5xx is no.
type Server struct {
	// Both are set before Run.

	// Record keeps a call for the process that follows this one; may be nil. It fails once its context is done.
	Record func(context.Context, handover.Override) error
	// AnswerTimeout bounds how long a call is carried out and recorded, and how long Run waits for open calls at its
	// end.
	AnswerTimeout time.Duration

	log       *slog.Logger
	agent     Agent
	listener  net.Listener
	server    *http.Server
	idleConns *clientconn.IdleConns
	readers   sync.WaitGroup // the connections' read loops: each ends with its socket
}

const (
	readTimeout     = 5 * time.Second // for a complete call to arrive
	maxRequestBytes = 4 << 10         // of a call's header, and of its body

	// DefaultAnswerTimeout is New's AnswerTimeout. A response is due within a second: the rest is for a record that is
	// being written when the time is up.
	DefaultAnswerTimeout = 600 * time.Millisecond
)

// New listens at addr, with at most maxConns connections open at once. While another process has the address it
// retries, until ctx is done or ListenTCP's limit has passed.
func New(ctx context.Context, addr string, maxConns int, agent Agent, log *slog.Logger) (*Server, error) {
	s := &Server{log: log, agent: agent, idleConns: clientconn.NewIdleConns(), AnswerTimeout: DefaultAnswerTimeout}
	ln, err := listener.ListenTCP(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	limited := listener.Limit(ln, maxConns)
	limited.OnAcceptError = func(err error) { log.Warn("admin accept failed", "error", err) }
	limited.OnFull = s.idleConns.EvictIdle // a caller that sends nothing must not keep others out
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

// Addr is the address that operators call.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Run answers calls until ctx is done, and then those that have arrived completely. It is called once.
func (s *Server) Run(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		bound, cancel := context.WithTimeout(context.Background(), s.AnswerTimeout)
		defer cancel()
		if s.server.Shutdown(bound) != nil { // callers that send nothing are not waited for
			s.server.Close()
		}
	}()
	if err := s.server.Serve(clientconn.Listener{Listener: s.listener, Readers: &s.readers}); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin server stopped", "error", err)
	}
	<-closed
	s.readers.Wait()
}
