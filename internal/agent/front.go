package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/residency/gate"
)

// frontend takes clients' requests and gives them the loop's answers.
type frontend struct {
	cfg          *Config
	loop         *eventLoop
	server       *http.Server
	maxOpen      atomic.Int64 // requests open at once, and connections past which none is kept
	openRequests atomic.Int64
	classIndex   map[string]int
	bodyTimeout  time.Duration // within which a small body must come, from the request's first byte on
	maxBodyGap   time.Duration // within which its next byte must

	accepting     atomic.Bool  // accepts clients
	drainDeadline atomic.Int64 // a stop began, and what is taken has to be answered by then, on the loop's clock; 0: none

	residency gate.Enforcer // nil: no policy

	idleConns *clientconn.IdleConns

	mu        sync.Mutex
	connCount int
	readers   sync.WaitGroup // of connections: each ends with its socket
}

// Anyone may connect, and a peer that sends no whole request is owed an error or a close within
// 3 s of connecting. A connection that stands open without a request may be closed after 2 s; it
// holds one of the few descriptors, so it is closed soon after.
const (
	headerTimeout = 2200 * time.Millisecond // for the next request's header to come whole
	bodyTimeout   = 2700 * time.Millisecond // and for its body, from its first byte on, besides what a slow client needs
	maxBodyGap    = 1200 * time.Millisecond // without a byte of it
	maxHeader     = 32 << 10
)

func newFrontend(cfg *Config, l *eventLoop, log *slog.Logger) *frontend {
	f := &frontend{cfg: cfg, loop: l, classIndex: map[string]int{},
		bodyTimeout: bodyTimeout, maxBodyGap: maxBodyGap, idleConns: clientconn.NewIdleConns()}
	f.setLimit(maxClientConns(cfg.shareableDescriptors()))
	for i, name := range cfg.Site.Classes {
		f.classIndex[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       headerTimeout,
		// No ReadTimeout: it would go on running while the answer is awaited and pass for a hang-up.
		WriteTimeout:   2*cfg.maxDeadline() + headerTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			client, ok := c.(*clientconn.Conn)
			if !ok {
				return ctx
			}
			ctx, end := context.WithCancel(context.WithValue(ctx, clientConnKey{}, client))
			context.AfterFunc(client.Context(), end)
			return ctx
		},
	}
	return f
}

// setLimit changes how many requests may be open at once, and how many connections are kept.
func (f *frontend) setLimit(limit int) {
	if f.cfg.Site.MaxOpen > 0 {
		limit = min(limit, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(limit))
}

type clientConnKey struct{}

// clientConnOf is the connection that a request came on; nil: none of this front's.
func clientConnOf(httpReq *http.Request) *clientconn.Conn {
	c, _ := httpReq.Context().Value(clientConnKey{}).(*clientconn.Conn)
	return c
}

// lastByteAt is when a request's latest byte came.
func lastByteAt(httpReq *http.Request) time.Time {
	if c := clientConnOf(httpReq); c != nil {
		return c.LastByteAt()
	}
	return time.Now()
}

// serve takes connections until the listener is closed.
func (f *frontend) serve(l net.Listener) error {
	return f.server.Serve(clientconn.Listener{Listener: l, Tasks: &f.readers})
}

// trackConn counts connections as they come and go.
func (f *frontend) trackConn(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientconn.Conn); ok && state == http.StateIdle {
		c.MarkResponseComplete() // before it may be closed as idle
	}
	f.idleConns.Track(c, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch state {
	case http.StateNew:
		f.connCount++
	case http.StateClosed:
		f.connCount--
	}
}

// While an agent is emptied, a connection goes once it has been idle for drainIdleTimeout: after the time in
// which new ones still come, and well before the clients' next requests are counted against it.
const (
	drainIdleTimeout   = 600 * time.Millisecond
	drainCheckInterval = 50 * time.Millisecond
)

// draining reports whether clients are to go elsewhere: each answer ends its connection.
func (f *frontend) draining() bool { return f.loop.lameDuck.Load() || f.drainDeadline.Load() != 0 }

// drainBy has each answer end its connection from here on, and be given by a time.
func (f *frontend) drainBy(deadline time.Time) {
	f.drainDeadline.Store(int64(f.loop.clock.at(deadline)))
}

// setLameDuck empties the agent of clients, or takes them again.
func (f *frontend) setLameDuck(on bool) { f.loop.lameDuck.Store(on) }

// closeIdleWhileDraining closes idle connections while the agent is emptied, until ctx ends.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	var drainingSince time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		switch {
		case !f.draining():
			drainingSince = time.Time{}
		case drainingSince.IsZero():
			drainingSince = time.Now()
		case time.Since(drainingSince) >= drainIdleTimeout && f.drainDeadline.Load() == 0:
			f.idleConns.CloseIdle(drainIdleTimeout, drainIdleTimeout)
		}
	}
}

// atCapacity reports whether more connections are open than are to be kept.
func (f *frontend) atCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.connCount) > f.maxOpen.Load()
}

// hasConnections reports whether a connection is open.
func (f *frontend) hasConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connCount > 0
}

// ServeHTTP takes one request. There is no mux: it would answer unclean paths with redirects.
func (f *frontend) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	if httpReq.ContentLength != 0 {
		// Also for a body that nobody reads: net/http waits for it before it writes the answer.
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.bodyTimeLeft(httpReq))); err != nil {
			http.Error(w, "can't read the body", http.StatusInternalServerError)
			return
		}
	}
	if httpReq.URL.Path == "/_health" {
		w.Header().Set("Connection", "close") // whoever asks in numbers must not keep clients out
		status := http.StatusOK
		if !f.loop.ready.Load() || f.draining() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	f.closeAfterReply(w)
	err := checkFraming(httpReq)
	var r *request
	if err == nil {
		r, err = f.parseRequest(w, httpReq)
	}
	if err != nil || len(httpReq.TransferEncoding) > 0 {
		// Where this request ended may be in doubt: what follows on its connection is not read.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		http.Error(w, err.text, err.status)
		return
	}
	client := clientConnOf(httpReq)
	if client != nil && !f.idleConns.Claim(client) {
		panic(http.ErrAbortHandler)
	}
	// Also where it came with others, and the client has gone since: the request's own context ends a moment later.
	if client != nil && client.Context().Err() != nil {
		f.writeReply(w, httpReq, reply{})
		return
	}
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.openRequests.Add(1) > f.maxOpen.Load() {
		f.openRequests.Add(-1)
		f.reject(w, 0)
		return
	}
	defer f.openRequests.Add(-1)
	upload := r.upstream.upload
	if upload == nil {
		if client != nil {
			client.MarkRequestComplete()
		}
		answer := f.awaitReply(httpReq, r)
		f.closeAfterReply(w)
		if client != nil && client.Overflowed() {
			w.Header().Set("Connection", "close")
		}
		f.writeReply(w, httpReq, answer)
		return
	}
	pumped := make(chan struct{})
	go func() {
		defer close(pumped)
		upload.pump(&minThroughputReader{source: httpReq.Body, control: http.NewResponseController(w), allowance: max(f.maxBodyGap, clientStallTimeout),
			maxGap: max(f.maxBodyGap, clientStallTimeout), received: int64(len(r.upstream.body))}, f.loop.pool.bufferBudget)
	}()
	answer := f.awaitReply(httpReq, r)
	f.closeAfterReply(w)
	f.finishUpload(w, upload)
	<-pumped
	select {
	case <-upload.failed:
		failure := bodyError(upload.err)
		http.Error(w, failure.text, failure.status)
	default:
		f.writeReply(w, httpReq, answer)
	}
}

// finishUpload ends what still comes of a large body, and gives its answer time: most of the server's may
// have gone.
func (f *frontend) finishUpload(w http.ResponseWriter, upload *upload) {
	control := http.NewResponseController(w)
	if !upload.complete() {
		w.Header().Set("Connection", "close")   // its end is not read
		_ = control.SetReadDeadline(time.Now()) // fails with the connection alone
	}
	upload.stop(errRequestEnded)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.WriteTimeout))
}

// bodyTimeLeft is what is left for a small body. Clients may take 2 s for a header, and cut what they send
// anywhere; a peer that never sends a whole request is sent away 3 s after it has connected.
func (f *frontend) bodyTimeLeft(httpReq *http.Request) time.Duration {
	if c := clientConnOf(httpReq); c != nil {
		return f.bodyTimeout - time.Since(c.RequestStartedAt())
	}
	return f.bodyTimeout
}

// closeAfterReply has a connection end with its answer where too many are kept, or none are to be.
func (f *frontend) closeAfterReply(w http.ResponseWriter) {
	if f.atCapacity() || f.draining() {
		w.Header().Set("Connection", "close")
	}
}

// awaitReply posts a request and waits for its answer.
func (f *frontend) awaitReply(httpReq *http.Request, r *request) reply {
	f.loop.post(requestArrived{r})
	// A request that comes with less than a tick left is answered by the step that first sees it;
	// the grace after the deadline is there for this.
	deadlineTimer := time.NewTimer(time.Until(r.deadline) + f.cfg.Settings.AnswerGrace/2)
	defer deadlineTimer.Stop()
	disconnected := httpReq.Context().Done()
	var bodyCompleted, bodyFailed <-chan struct{}
	upload := r.upstream.upload
	if upload != nil { // its time runs from its last byte
		bodyCompleted, bodyFailed = upload.completed, upload.failed
		deadlineTimer.Stop()
	}
	for {
		select {
		case answer := <-r.reply:
			return answer
		case <-bodyCompleted:
			f.loop.post(bodyComplete{r})
			deadlineTimer.Reset(time.Until(upload.completedAt.Add(r.timeout)) + f.cfg.Settings.AnswerGrace/2)
			bodyCompleted = nil
		case <-bodyFailed:
			f.loop.post(clientDisconnected{r})
			bodyFailed = nil
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
