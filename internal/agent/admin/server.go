// Package admin is the agent's administration server. Operators call it over HTTP at a separate address. A call checks
// whether the agent is ready, disables or enables a backend, or switches the lame duck state. The paths, response texts
// and JSON keys are an interface to the operators' tools.
//
// Ownership: the server owns its listener and its connections, each with a read loop that Run waits for. It keeps no
// state of the agent: the Agent carries out a call, and Record records it before the server responds with success.
// net/http's goroutines serve several calls at the same time. A response reflects the state at the time of the call.
// AnswerTimeout bounds the time between the arrival of a call and its response, except for a write of the record that is in
// progress when AnswerTimeout expires.
package admin

// This file implements the server's listener, limits and shutdown.

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

// Agent is the agent that the calls query and change. Its methods may be called from any goroutine.
type Agent interface {
	// Ready reports whether clients are accepted.
	Ready() bool
	// SetDisabled disables a backend, or enables it again, and reports whether the agent has a backend with this id. The
	// error is that of ctx.
	SetDisabled(ctx context.Context, backend string, disabled bool) (found bool, err error)
	// SetLameDuck starts draining the agent, or makes it accept clients again.
	SetLameDuck(on bool)
}

// Server serves operators' calls, one per connection: a 2xx response means success, a 4xx or 5xx response failure.
type Server struct {
	// Record and AnswerTimeout must be set before Run.

	// Record stores a call for the successor of this process; may be nil. It returns an error once its context is
	// done.
	Record func(context.Context, handover.Override) error
	// AnswerTimeout bounds the time to carry out and record a call, and how long Run waits for calls in progress during
	// shutdown.
	AnswerTimeout time.Duration

	log       *slog.Logger
	agent     Agent
	listener  net.Listener
	server    *http.Server
	idleConns *clientconn.IdleConns
	readers   sync.WaitGroup // the connections' read loops; each ends when its socket is closed
}

const (
	readTimeout     = 5 * time.Second // limit for a complete call to arrive
	maxRequestBytes = 4 << 10         // limit for a call's header, and for its body

	// DefaultAnswerTimeout is the AnswerTimeout that New sets. A response is due within a second; the remaining time is
	// for a record that is being written when AnswerTimeout expires.
	DefaultAnswerTimeout = 600 * time.Millisecond
)

// New returns a server that listens on addr, with at most maxConns connections open at once. While another process uses
// the address, New retries until ctx is done or ListenTCP times out.
func New(ctx context.Context, addr string, maxConns int, agent Agent, log *slog.Logger) (*Server, error) {
	s := &Server{log: log, agent: agent, idleConns: clientconn.NewIdleConns(), AnswerTimeout: DefaultAnswerTimeout}
	ln, err := listener.ListenTCP(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	limited := listener.Limit(ln, maxConns)
	limited.OnAcceptError = func(err error) { log.Warn("admin accept failed", "error", err) }
	limited.OnFull = s.idleConns.EvictIdle // callers that send nothing must not keep other callers from connecting
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

// Addr returns the address on which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// connKey is the key of the connection in a request's context.
type connKey struct{}

// Run serves calls until ctx is done. It then finishes the calls that have arrived completely, for up to
// AnswerTimeout, closes the remaining connections, and returns. It may be called only once.
func (s *Server) Run(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), s.AnswerTimeout)
		defer cancel()
		if s.server.Shutdown(shutdownCtx) != nil { // timed out: do not wait for callers that send nothing
			s.server.Close()
		}
	}()
	if err := s.server.Serve(clientconn.Listener{Listener: s.listener, Readers: &s.readers}); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("admin server stopped", "error", err)
	}
	<-closed
	s.readers.Wait()
}
