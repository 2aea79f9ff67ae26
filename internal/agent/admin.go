package agent

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

	"brookferry/internal/agent/clientconn"
	"brookferry/internal/agent/handover"
	"brookferry/internal/agent/listening"
	"brookferry/internal/systime"
)

// admin is the operators' door: one call a connection, a 2xx answer is yes, a 4xx or 5xx no.
type admin struct {
	log      *slog.Logger
	loop     *loop
	front    *front
	listener net.Listener
	server   *http.Server
	waiting  *clientconn.Waiting
	readers  sync.WaitGroup                             // of connections: each ends with its socket
	record   func(context.Context, handover.Call) error // where a successor finds it; may be nil
	within   time.Duration                              // an answer is given
}

const (
	doorTimeout = 5 * time.Second        // for a call to come whole
	callWithin  = 600 * time.Millisecond // an answer is due within 1 s of the call, and recording it takes a moment
	maxCall     = 4 << 10                // bytes of a call's body
)

func newAdmin(ctx context.Context, cfg *Config, l *loop, f *front, log *slog.Logger) (*admin, error) {
	a := &admin{log: log, loop: l, front: f, waiting: clientconn.NewWaiting(), within: callWithin}
	ln, err := listening.TCP(ctx, cfg.Mgmt)
	if err != nil {
		return nil, fmt.Errorf("mgmt: %w", err)
	}
	limited := listening.Limit(ln, doorSockets)
	limited.Failed = func(err error) { log.Warn("accepting operators' calls fails", "error", err) }
	limited.Full = a.waiting.MakeRoom // who calls and says nothing must not keep out those who would
	a.listener = limited
	a.server = &http.Server{
		Handler:        a,
		ReadTimeout:    doorTimeout,
		WriteTimeout:   doorTimeout + 2*callWithin,
		MaxHeaderBytes: maxCall,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      a.waiting.Track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, c)
		},
	}
	a.server.SetKeepAlivesEnabled(false)
	return a, nil
}

type callerKey struct{}

// run answers calls until ctx ends, and then those that have come whole.
func (a *admin) run(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		bound, cancel := context.WithTimeout(context.Background(), a.within)
		defer cancel()
		if a.server.Shutdown(bound) != nil { // callers who say nothing are not waited for
			a.server.Close()
		}
	}()
	if err := a.server.Serve(clientconn.Listener{Listener: a.listener, Tasks: &a.readers}); !errors.Is(err, http.ErrServerClosed) {
		a.log.Error("the operators' door is shut", "error", err)
	}
	<-closed
	a.readers.Wait()
}

// calls are the paths that may be called, with their methods.
var calls = map[string]string{
	"/_ready":           http.MethodGet,
	"/_backends/detach": http.MethodPut,
	"/_backends/attach": http.MethodPut,
	"/_lameduck/on":     http.MethodPut,
	"/_lameduck/off":    http.MethodPut,
}

// ServeHTTP answers one call. It acts once the call has come whole.
func (a *admin) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	method, known := calls[hr.URL.Path]
	if !known {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if hr.Method != method {
		w.Header().Set("Allow", method)
		http.Error(w, "this call takes "+method, http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, maxCall))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, "the call is too large", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "the call can't be read", http.StatusBadRequest)
		return
	}
	if c, ok := hr.Context().Value(callerKey{}).(net.Conn); ok && !a.waiting.Claim(c) {
		panic(http.ErrAbortHandler) // closed to make room before it was whole
	}
	switch hr.URL.Path {
	case "/_ready":
		if !a.front.taking.Load() {
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
			return
		}
	case "/_lameduck/on", "/_lameduck/off":
		on := hr.URL.Path == "/_lameduck/on"
		ctx, cancel := context.WithTimeout(hr.Context(), a.within)
		defer cancel()
		recorded := a.keep(ctx, handover.Call{Out: on}) // first: what the record lacks is taken back here
		a.front.setLame(on)
		a.log.Info("lame duck", "on", on)
		a.answer(w, recorded)
		return
	default:
		a.move(w, hr.Context(), body, hr.URL.Path == "/_backends/detach")
		return
	}
	a.yes(w)
}

func (a *admin) yes(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, "yes\n") // a caller that is gone needs no answer
}

// move takes a call about a backend to the module, and says what it said.
func (a *admin) move(w http.ResponseWriter, ctx context.Context, body []byte, detach bool) {
	var told struct{ Target *string }
	if err := json.Unmarshal(body, &told); err != nil || told.Target == nil || *told.Target == "" {
		http.Error(w, `the call's body must be {"target":"ID"}`, http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, a.within)
	defer cancel()
	taken, err := a.loop.call(ctx, &call{backend: *told.Target, detach: detach})
	switch {
	case err != nil:
		a.log.Warn("a call found no answer in time", "backend", *told.Target, "detach", detach, "error", err)
		http.Error(w, "no answer in time, call again", http.StatusServiceUnavailable)
	case !taken:
		a.log.Info("a call for a backend that nobody has", "backend", *told.Target, "detach", detach)
		http.Error(w, "no backend has this id", http.StatusNotFound)
	default:
		a.log.Info("backend called", "backend", *told.Target, "detached", detach)
		a.answer(w, a.keep(ctx, handover.Call{Backend: *told.Target, Out: detach}))
	}
}

// keep records a call that holds here for a successor, and reports whether it could by ctx's end.
func (a *admin) keep(ctx context.Context, c handover.Call) bool {
	if a.record == nil {
		return true
	}
	c.At = systime.SinceBoot()
	err := a.record(ctx, c)
	if err != nil {
		a.log.Error("a call is not recorded for a successor yet", "backend", c.Backend, "out", c.Out, "error", err)
	}
	return err == nil
}

// answer says yes to a call that holds over an upgrade, and no to one that could not be recorded in time. That one goes on to
// hold here, and is recorded as soon as it can be.
func (a *admin) answer(w http.ResponseWriter, recorded bool) {
	if recorded {
		a.yes(w)
		return
	}
	http.Error(w, "the call holds in this process, but can't be recorded for the next one: call again", http.StatusServiceUnavailable)
}
