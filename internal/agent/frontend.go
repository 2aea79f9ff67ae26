package agent

// The frontend: the server for clients.

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/requestids"
	"martenbeam/internal/residency/gate"
)

// frontend is the server for clients: it reads and checks their requests, posts them to the event loop and writes the
// replies. It answers only invalid requests and requests over the limit without the balancer, which decides on all others.
type frontend struct {
	cfg          *Config
	loop         *eventLoop
	server       *http.Server
	gate         *clientconn.Gate // passes requests that have arrived to server
	maxOpen      atomic.Int64     // bound on open requests; with more open connections than maxOpen, each reply closes its connection
	openRequests atomic.Int64
	rejections   rejectionCounts
	classIndex   map[string]int
	minDeadline  time.Duration // the shortest deadline of any class of requests
	maxBodyGap   time.Duration // longest wait for the body's next byte; tests change it

	accepting     atomic.Bool   // for admin calls: the agent accepts clients' requests
	drainDeadline atomic.Int64  // when all replies are due, in nanoseconds on the event loop's clock; 0: not stopping
	drainStarted  chan struct{} // closed once drainDeadline is set

	residency gate.Enforcer   // nil: no residency policy
	ids       *requestids.Set // of the requests that may have been executed

	idleConns *clientconn.IdleConns

	connCount atomic.Int64
}

// Any host may connect. A client that sends no complete request has to get an error or a close within 3 s of connecting. An
// idle connection may be closed after 2 s, and is closed soon after, because descriptors are few.
const (
	headerTimeout = 2200 * time.Millisecond // for the next request's header; also the idle timeout
	bodyTimeout   = 2700 * time.Millisecond // for a body, from the request's first byte on, with an allowance (minClientRate)
	maxBodyGap    = 1200 * time.Millisecond // longest wait for the next byte of the body
)

func newFrontend(cfg *Config, l *eventLoop, log *slog.Logger) *frontend {
	f := &frontend{cfg: cfg, loop: l, classIndex: map[string]int{},
		minDeadline: cfg.minDeadline(), maxBodyGap: maxBodyGap, idleConns: clientconn.NewIdleConns(), drainStarted: make(chan struct{})}
	f.gate = f.newGate()
	f.ids = requestids.New(cfg.sharedDir())
	f.setLimit(maxClientConns(cfg.shareableDescriptors()))
	for i, name := range cfg.Site.Classes {
		f.classIndex[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       headerTimeout,
		// No ReadTimeout: it would expire while the handler waits for the reply and look like a disconnected client.
		WriteTimeout:   2*cfg.maxDeadline() + headerTimeout,
		MaxHeaderBytes: cfg.maxHeader(),
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.trackExchange,
		ConnContext:    exchangeContext,
	}
	return f
}

// setLimit sets how many requests may be open at once, and how many connections the frontend keeps open after a reply.
// Site.MaxOpen, if set, caps both.
func (f *frontend) setLimit(limit int) {
	if f.cfg.Site.MaxOpen > 0 {
		limit = min(limit, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(limit))
}

// serve accepts connections until the listener is closed. It always returns the error of an accept. Connections that are open then
// are served until close.
func (f *frontend) serve(l net.Listener) error {
	go func() { _ = f.server.Serve(f.gate) }() // ends with close
	return f.gate.AcceptFrom(l)
}

// close closes the listener and all connections.
func (f *frontend) close() error {
	defer f.ids.Close()
	return errors.Join(f.gate.Close(), f.server.Close())
}

// ServeHTTP serves one request. The frontend uses no http.ServeMux, which would redirect paths that are not clean.
func (f *frontend) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	if httpReq.ContentLength != 0 {
		// The deadline also applies to a body that the handler ignores: net/http reads it to its end before the response.
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.bodyTimeLeft(httpReq))); err != nil {
			http.Error(w, "can't read the body", http.StatusInternalServerError)
			return
		}
	}
	if httpReq.URL.Path == "/_health" {
		f.serveHealth(w)
		return
	}
	f.closeAfterReply(w)
	r := f.readRequest(w, httpReq)
	if r == nil {
		return
	}
	defer r.memory.Release()
	client := clientConnOf(httpReq)
	if client != nil && !f.idleConns.Claim(client) {
		panic(http.ErrAbortHandler) // the connection has been closed as idle
	}
	// This check is needed because the context of a pipelined request ends slightly after its client has disconnected.
	if client != nil && client.Context().Err() != nil {
		f.writeReply(w, httpReq, reply{})
		return
	}
	if !f.admit(w) {
		return
	}
	defer f.openRequests.Add(-1)
	if !f.ids.Accept(r.id) {
		f.rejectDuplicate(w, httpReq, r)
		return
	}
	if r.upstream.Upload == nil {
		f.serveBuffered(w, httpReq, r, client)
	} else {
		f.serveUpload(w, httpReq, r)
	}
}

// admit counts an open request. It rejects a request over the limit, before any of it is executed, and returns false.
func (f *frontend) admit(w http.ResponseWriter) bool {
	if f.openRequests.Add(1) > f.maxOpen.Load() {
		f.openRequests.Add(-1)
		f.rejections.overOpen.Add(1)
		f.reject(w, 0)
		return false
	}
	return true
}

// serveHealth answers a health check with status 200 if the agent has an endpoint list and is not draining, else with 503.
func (f *frontend) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // frequent health checks must not use up the connections for clients
	status := http.StatusOK
	if !f.loop.ready.Load() || f.draining() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// readRequest reads and checks a request. It answers an invalid request with an error and returns nil.
func (f *frontend) readRequest(w http.ResponseWriter, httpReq *http.Request) *request {
	err := checkFraming(httpReq)
	var r *request
	if err == nil {
		r, err = f.parseRequest(w, httpReq)
	}
	if err != nil || len(httpReq.TransferEncoding) > 0 {
		// The end of this request may be ambiguous, so no further request is read from the connection.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		http.Error(w, err.text, err.status)
		return nil
	}
	return r
}

// rejectDuplicate answers a request whose id another request had that may have been executed.
func (f *frontend) rejectDuplicate(w http.ResponseWriter, httpReq *http.Request, r *request) {
	if r.upstream.Upload != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	f.rejections.duplicate.Add(1)
	f.writeReply(w, httpReq, reply{duplicate: true})
}

// forgetUnlessExecuted lets the id of a request come again that no backend has executed.
func (f *frontend) forgetUnlessExecuted(r *request, answer reply) {
	if answer.rejected || answer.notSent {
		f.ids.Forget(r.id)
	}
}

// serveBuffered serves a request whose body has arrived completely.
func (f *frontend) serveBuffered(w http.ResponseWriter, httpReq *http.Request, r *request, client *clientconn.Conn) {
	if client != nil {
		client.MarkRequestComplete()
	}
	answer := f.awaitReply(httpReq, r)
	f.forgetUnlessExecuted(r, answer)
	f.closeAfterReply(w)
	if client != nil && client.Overflowed() {
		w.Header().Set("Connection", "close")
	}
	f.writeReply(w, httpReq, answer)
}

// bodyTimeLeft returns the time left for a small body. A client may take 2 s for a header and split its bytes anywhere. A
// client that never sends a complete request is disconnected within 3 s of connecting.
func (f *frontend) bodyTimeLeft(httpReq *http.Request) time.Duration {
	if c := clientConnOf(httpReq); c != nil {
		return f.gate.BodyTimeout - time.Since(c.RequestStartedAt())
	}
	return f.gate.BodyTimeout
}

// awaitReply posts a request whose body is complete to the event loop and waits for the reply. It returns a failure if the
// event loop stops first.
func (f *frontend) awaitReply(httpReq *http.Request, r *request) reply {
	f.loop.post(requestArrived{r})
	deadlineTimer := time.NewTimer(f.untilOverdue(r.deadline))
	defer deadlineTimer.Stop()
	disconnected := httpReq.Context().Done()
	for {
		select {
		case answer := <-r.reply:
			return answer
		case <-disconnected:
			f.loop.post(clientDisconnected{r})
			disconnected = nil
		case <-deadlineTimer.C:
			f.loop.post(deadlineExceeded{r})
		case <-f.loop.stopped:
			return reply{}
		}
	}
}

// untilOverdue returns the time until the frontend stops waiting for the balancer's reply to a request. A request that
// arrives less than a tick before its deadline is answered by the balancer's next step. Half of the answer grace leaves time
// for this step after the deadline.
func (f *frontend) untilOverdue(deadline time.Time) time.Duration {
	return time.Until(deadline) + f.cfg.Settings.AnswerGrace/2
}

// replyDeadline returns the deadline of a request whose last byte arrived at a time. While the agent stops, all replies are due
// by the end of its drain, because the platform kills the process soon after it.
func (f *frontend) replyDeadline(lastByteAt time.Time, timeout time.Duration) time.Time {
	deadline := lastByteAt.Add(timeout)
	if end, stopping := f.drainEnd(); stopping && end.Before(deadline) {
		return end
	}
	return deadline
}
