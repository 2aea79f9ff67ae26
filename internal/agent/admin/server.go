// Package admin is where operators call an agent: over HTTP, at an address of its own.
package admin

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
