package agent

// The frontend: the server for clients.

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/residency/gate"
)

// frontend is the server for clients: it reads and checks their requests, posts them to the event loop and writes the
// replies. It decides nothing but which requests it can't take.
type frontend struct {
	cfg          *Config
	loop         *eventLoop
	server       *http.Server
	maxOpen      atomic.Int64 // bound on open requests; at more connections than this, each reply closes its connection
	openRequests atomic.Int64
	classIndex   map[string]int
	bodyTimeout  time.Duration // for a small body to arrive, from the request's first byte on; a constant outside tests
	maxBodyGap   time.Duration // for the body's next byte; a constant outside tests

	accepting     atomic.Bool  // for admin calls: clients are served
	drainDeadline atomic.Int64 // on the event loop's clock: when all accepted requests have to be answered; 0: not stopping

	residency gate.Enforcer // nil: no residency policy

	idleConns *clientconn.IdleConns

	mu        sync.Mutex
	connCount int
	readers   sync.WaitGroup // a goroutine for each connection, which ends with its socket
}

// Anyone may connect. A peer that sends no complete request is owed an error or a close within 3 s of connecting. An idle
// connection may be closed after 2 s; it holds one of few descriptors, so it is closed soon after.
const (
	headerTimeout = 2200 * time.Millisecond // for the next request's header; also the idle timeout
	bodyTimeout   = 2700 * time.Millisecond // for a body, from its first byte on, with an allowance for slow clients (minClientRate)
	maxBodyGap    = 1200 * time.Millisecond // without a byte of the body
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
		// No ReadTimeout: it would expire while the reply is awaited and look like a disconnected client.
		WriteTimeout:   2*cfg.maxDeadline() + headerTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.trackConn,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			client, ok := c.(*clientconn.Conn)
			if !ok {
				return ctx
			}
			ctx, cancel := context.WithCancel(context.WithValue(ctx, clientConnKey{}, client))
			context.AfterFunc(client.Context(), cancel)
			return ctx
		},
	}
	return f
}

// setLimit changes how many requests may be open, and how many connections are kept, at once.
func (f *frontend) setLimit(limit int) {
	if f.cfg.Site.MaxOpen > 0 {
		limit = min(limit, f.cfg.Site.MaxOpen)
	}
	f.maxOpen.Store(int64(limit))
}

type clientConnKey struct{}

// clientConnOf returns the connection on which a request arrived; nil: not one that this frontend accepted.
func clientConnOf(httpReq *http.Request) *clientconn.Conn {
	c, _ := httpReq.Context().Value(clientConnKey{}).(*clientconn.Conn)
	return c
}

// lastByteAt returns when a request's most recent byte arrived.
func lastByteAt(httpReq *http.Request) time.Time {
	if c := clientConnOf(httpReq); c != nil {
		return c.LastByteAt()
	}
	return time.Now()
}

// serve accepts connections until the listener is closed. It always returns an error, as http.Server.Serve does.
func (f *frontend) serve(l net.Listener) error {
	return f.server.Serve(clientconn.Listener{Listener: l, Readers: &f.readers})
}

// trackConn counts open connections and keeps the set of those that may be closed as idle.
func (f *frontend) trackConn(c net.Conn, state http.ConnState) {
	if c, ok := c.(*clientconn.Conn); ok && state == http.StateIdle {
		c.MarkResponseComplete() // before it is in the set
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

// atCapacity reports whether more connections are open than are to be kept.
func (f *frontend) atCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.connCount) > f.maxOpen.Load()
}

// hasConnections reports whether any connection is open.
func (f *frontend) hasConnections() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connCount > 0
}

// ServeHTTP serves one request. There is no http.ServeMux: it would redirect paths that are not clean.
func (f *frontend) ServeHTTP(w http.ResponseWriter, httpReq *http.Request) {
	if httpReq.ContentLength != 0 {
		// Also for a body that is not read: net/http reads it to its end before it writes the response.
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
	client := clientConnOf(httpReq)
	if client != nil && !f.idleConns.Claim(client) {
		panic(http.ErrAbortHandler)
	}
	// Also for a pipelined request whose client has disconnected since: the context of a request ends a moment later.
	if client != nil && client.Context().Err() != nil {
		f.writeReply(w, httpReq, reply{})
		return
	}
	// Beyond the limit a request is rejected before anything has been executed.
	if f.openRequests.Add(1) > f.maxOpen.Load() {
		f.openRequests.Add(-1)
		f.reject(w, 0)
		return
	}
	defer f.openRequests.Add(-1)
	if r.upstream.Upload == nil {
		f.serveBuffered(w, httpReq, r, client)
	} else {
		f.serveUpload(w, httpReq, r)
	}
}

// serveHealth answers a health check: ready if the agent has an endpoint list and does not drain.
func (f *frontend) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Connection", "close") // frequent health checks must not take clients' connections
	status := http.StatusOK
	if !f.loop.ready.Load() || f.draining() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// readRequest reads and checks a request. It answers an invalid one and returns nil.
func (f *frontend) readRequest(w http.ResponseWriter, httpReq *http.Request) *request {
	err := checkFraming(httpReq)
	var r *request
	if err == nil {
		r, err = f.parseRequest(w, httpReq)
	}
	if err != nil || len(httpReq.TransferEncoding) > 0 {
		// The end of this request may be ambiguous: what follows on the connection is not read.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		http.Error(w, err.text, err.status)
		return nil
	}
	return r
}

// serveBuffered serves a request whose body has arrived.
func (f *frontend) serveBuffered(w http.ResponseWriter, httpReq *http.Request, r *request, client *clientconn.Conn) {
	if client != nil {
		client.MarkRequestComplete()
	}
	answer := f.awaitReply(httpReq, r)
	f.closeAfterReply(w)
	if client != nil && client.Overflowed() {
		w.Header().Set("Connection", "close")
	}
	f.writeReply(w, httpReq, answer)
}

// serveUpload serves a request whose body is streamed. The body is read in a goroutine that has ended when this returns.
func (f *frontend) serveUpload(w http.ResponseWriter, httpReq *http.Request, r *request) {
	upload, readerDone := r.upstream.Upload, make(chan struct{})
	go func() {
		defer close(readerDone)
		upload.Pump(&minThroughputReader{source: httpReq.Body, control: http.NewResponseController(w),
			allowance: max(f.maxBodyGap, clientStallTimeout), maxGap: max(f.maxBodyGap, clientStallTimeout),
			received: int64(len(r.upstream.Body))}, f.loop.pool.Buffers)
	}()
	answer := f.awaitReply(httpReq, r)
	f.closeAfterReply(w)
	f.finishUpload(w, upload)
	<-readerDone
	select {
	case <-upload.Failed():
		failure := bodyError(upload.Err())
		http.Error(w, failure.text, failure.status)
	default:
		f.writeReply(w, httpReq, answer)
	}
}

// finishUpload stops a streamed body that is not complete, and renews the write deadline, of which the upload may have
// used most.
func (f *frontend) finishUpload(w http.ResponseWriter, upload *upstream.Upload) {
	control := http.NewResponseController(w)
	if !upload.IsComplete() {
		w.Header().Set("Connection", "close")   // the rest of the body is not read
		_ = control.SetReadDeadline(time.Now()) // fails only on a broken connection
	}
	upload.Stop(upstream.ErrRequestEnded)
	_ = control.SetWriteDeadline(time.Now().Add(f.server.WriteTimeout))
}

// bodyTimeLeft returns the time left for a small body. Clients may take 2 s for a header and split what they send
// anywhere; a peer that never sends a complete request is disconnected within 3 s of connecting.
func (f *frontend) bodyTimeLeft(httpReq *http.Request) time.Duration {
	if c := clientConnOf(httpReq); c != nil {
		return f.bodyTimeout - time.Since(c.RequestStartedAt())
	}
	return f.bodyTimeout
}

// closeAfterReply makes the reply close its connection if too many are open, or the agent drains.
func (f *frontend) closeAfterReply(w http.ResponseWriter) {
	if f.atCapacity() || f.draining() {
		w.Header().Set("Connection", "close")
	}
}

// awaitReply posts a request to the event loop and waits for the reply.
func (f *frontend) awaitReply(httpReq *http.Request, r *request) reply {
	f.loop.post(requestArrived{r})
	// A request with less than a tick left is answered by the first step that sees it: half of the grace after the
	// deadline is left for that.
	deadlineTimer := time.NewTimer(time.Until(r.deadline) + f.cfg.Settings.AnswerGrace/2)
	defer deadlineTimer.Stop()
	disconnected := httpReq.Context().Done()
	var bodyCompleted, bodyFailed <-chan struct{}
	upload := r.upstream.Upload
	if upload != nil { // its deadline counts from the body's last byte
		bodyCompleted, bodyFailed = upload.Completed(), upload.Failed()
		deadlineTimer.Stop()
	}
	for {
		select {
		case answer := <-r.reply:
			return answer
		case <-bodyCompleted:
			f.loop.post(bodyComplete{r})
			deadlineTimer.Reset(time.Until(upload.CompletedAt().Add(r.timeout)) + f.cfg.Settings.AnswerGrace/2)
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
