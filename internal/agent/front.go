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

// front takes clients' requests and gives them the loop's answers.
type front struct {
	cfg     *Config
	loop    *loop
	server  *http.Server
	most    atomic.Int64 // requests open at once, and connections past which none is kept
	open    atomic.Int64
	classes map[string]int
	body    time.Duration // within which a small body must come, from the request's first byte on
	gap     time.Duration // within which its next byte must

	taking atomic.Bool  // accepts clients
	stopAt atomic.Int64 // a stop began, and what is taken has to be answered by then, on the loop's clock; 0: none

	residency gate.Keeper // nil: no policy

	waiting *clientconn.IdleConns

	mu      sync.Mutex
	conns   int
	readers sync.WaitGroup // of connections: each ends with its socket
}

// Anyone may connect, and a peer that sends no whole request is owed an error or a close within
// 3 s of connecting. A connection that stands open without a request may be closed after 2 s; it
// holds one of the few descriptors, so it is closed soon after.
const (
	quietTimeout = 2200 * time.Millisecond // for the next request's header to come whole
	bodyTimeout  = 2700 * time.Millisecond // and for its body, from its first byte on, besides what a slow client needs
	bodyGap      = 1200 * time.Millisecond // without a byte of it
	maxHeader    = 32 << 10
)

func newFront(cfg *Config, l *loop, log *slog.Logger) *front {
	f := &front{cfg: cfg, loop: l, classes: map[string]int{},
		body: bodyTimeout, gap: bodyGap, waiting: clientconn.NewIdleConns()}
	f.allow(clientSockets(cfg.shareable()))
	for i, name := range cfg.Site.Classes {
		f.classes[name] = i
	}
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: quietTimeout,
		IdleTimeout:       quietTimeout,
		// No ReadTimeout: it would go on running while the answer is awaited and pass for a hang-up.
		WriteTimeout:   2*cfg.longest() + quietTimeout,
		MaxHeaderBytes: maxHeader,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState:      f.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			client, ok := c.(*clientconn.Conn)
			if !ok {
				return ctx
			}
			ctx, end := context.WithCancel(context.WithValue(ctx, clientKey{}, client))
			context.AfterFunc(client.Context(), end)
			return ctx
		},
	}
	return f
}

// allow changes how many requests may be open at once, and how many connections are kept.
func (f *front) allow(most int) {
	if f.cfg.Site.MaxOpen > 0 {
		most = min(most, f.cfg.Site.MaxOpen)
	}
	f.most.Store(int64(most))
}

type clientKey struct{}

// clientOf is the connection that a request came on; nil: none of this front's.
func clientOf(hr *http.Request) *clientconn.Conn {
	c, _ := hr.Context().Value(clientKey{}).(*clientconn.Conn)
	return c
}

// lastByte is when a request's latest byte came.
func lastByte(hr *http.Request) time.Time {
	if c := clientOf(hr); c != nil {
		return c.LastByteAt()
	}
	return time.Now()
}

// serve takes connections until the listener is closed.
func (f *front) serve(l net.Listener) error {
	return f.server.Serve(clientconn.Listener{Listener: l, Tasks: &f.readers})
}

// track counts connections as they come and go.
func (f *front) track(c net.Conn, s http.ConnState) {
	if c, ok := c.(*clientconn.Conn); ok && s == http.StateIdle {
		c.MarkResponseComplete() // before it may be closed as idle
	}
	f.waiting.Track(c, s)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case http.StateNew:
		f.conns++
	case http.StateClosed:
		f.conns--
	}
}

// While an agent is emptied, a connection goes once it has been idle for emptyIdle: after the time in
// which new ones still come, and well before the clients' next requests are counted against it.
const (
	emptyIdle  = 600 * time.Millisecond
	emptyEvery = 50 * time.Millisecond
)

// emptying reports whether clients are to go elsewhere: each answer ends its connection.
func (f *front) emptying() bool { return f.loop.lame.Load() || f.stopAt.Load() != 0 }

// stopBy has each answer end its connection from here on, and be given by a time.
func (f *front) stopBy(end time.Time) { f.stopAt.Store(int64(f.loop.clock.at(end))) }

// setLame empties the agent of clients, or takes them again.
func (f *front) setLame(on bool) { f.loop.lame.Store(on) }

// empty closes idle connections while the agent is emptied, until ctx ends.
func (f *front) empty(ctx context.Context) {
	tick := time.NewTicker(emptyEvery)
	defer tick.Stop()
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		switch {
		case !f.emptying():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= emptyIdle && f.stopAt.Load() == 0:
			f.waiting.CloseIdle(emptyIdle, emptyIdle)
		}
	}
}

// crowded reports whether more connections are open than are to be kept.
func (f *front) crowded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(f.conns) > f.most.Load()
}

// anyone reports whether a connection is open.
func (f *front) anyone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns > 0
}

// ServeHTTP takes one request. There is no mux: it would answer unclean paths with redirects.
func (f *front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.ContentLength != 0 {
		// Also for a body that nobody reads: net/http waits for it before it writes the answer.
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(f.bodyTime(hr))); err != nil {
			http.Error(w, "can't read the body", http.StatusInternalServerError)
			return
		}
	}
	if hr.URL.Path == "/_health" {
		w.Header().Set("Connection", "close") // whoever asks in numbers must not keep clients out
		status := http.StatusOK
		if !f.loop.ready.Load() || f.emptying() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	f.closeAfterReply(w)
	err := checkFraming(hr)
	var r *request
	if err == nil {
		r, err = f.parse(w, hr)
	}
	if err != nil || len(hr.TransferEncoding) > 0 {
		// Where this request ended may be in doubt: what follows on its connection is not read.
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		http.Error(w, err.text, err.status)
		return
	}
	client := clientOf(hr)
	if client != nil && !f.waiting.Claim(client) {
		panic(http.ErrAbortHandler)
	}
	// Also where it came with others, and the client has gone since: the request's own context ends a moment later.
	if client != nil && client.Context().Err() != nil {
		f.answer(w, hr, reply{})
		return
	}
	// Past what the limits let an agent hold, a request is turned away before anything has run.
	if f.open.Add(1) > f.most.Load() {
		f.open.Add(-1)
		f.refuse(w, 0)
		return
	}
	defer f.open.Add(-1)
	u := r.message.upload
	if u == nil {
		if client != nil {
			client.MarkRequestComplete()
		}
		a := f.wait(hr, r)
		f.closeAfterReply(w)
		if client != nil && client.Overflowed() {
			w.Header().Set("Connection", "close")
		}
		f.answer(w, hr, a)
		return
	}
	pumped := make(chan struct{})
	go func() {
		defer close(pumped)
		u.pump(&paced{r: hr.Body, rc: http.NewResponseController(w), slack: max(f.gap, clientStall),
			most: max(f.gap, clientStall), got: int64(len(r.message.body))}, f.loop.backends.buffers)
	}()
	a := f.wait(hr, r)
	f.closeAfterReply(w)
	f.endUpload(w, u)
	<-pumped
	select {
	case <-u.failed:
		fail := badBody(u.err)
		http.Error(w, fail.text, fail.status)
	default:
		f.answer(w, hr, a)
	}
}

// endUpload ends what still comes of a large body, and gives its answer time: most of the server's may
// have gone.
func (f *front) endUpload(w http.ResponseWriter, u *upload) {
	rc := http.NewResponseController(w)
	if !u.complete() {
		w.Header().Set("Connection", "close") // its end is not read
		_ = rc.SetReadDeadline(time.Now())    // fails with the connection alone
	}
	u.stop(errEnded)
	_ = rc.SetWriteDeadline(time.Now().Add(f.server.WriteTimeout))
}

// bodyTime is what is left for a small body. Clients may take 2 s for a header, and cut what they send
// anywhere; a peer that never sends a whole request is sent away 3 s after it has connected.
func (f *front) bodyTime(hr *http.Request) time.Duration {
	if c := clientOf(hr); c != nil {
		return f.body - time.Since(c.RequestStartedAt())
	}
	return f.body
}

// closeAfterReply has a connection end with its answer where too many are kept, or none are to be.
func (f *front) closeAfterReply(w http.ResponseWriter) {
	if f.crowded() || f.emptying() {
		w.Header().Set("Connection", "close")
	}
}

// wait posts a request and waits for its answer.
func (f *front) wait(hr *http.Request, r *request) reply {
	f.loop.post(arrived{r})
	// A request that comes with less than a tick left is answered by the step that first sees it;
	// the grace after the deadline is there for this.
	late := time.NewTimer(time.Until(r.deadline) + f.cfg.Settings.AnswerGrace/2)
	defer late.Stop()
	hungUp := hr.Context().Done()
	var come, failed <-chan struct{}
	u := r.message.upload
	if u != nil { // its time runs from its last byte
		come, failed = u.whole, u.failed
		late.Stop()
	}
	for {
		select {
		case a := <-r.reply:
			return a
		case <-come:
			f.loop.post(whole{r})
			late.Reset(time.Until(u.at.Add(r.left)) + f.cfg.Settings.AnswerGrace/2)
			come = nil
		case <-failed:
			f.loop.post(clientGone{r})
			failed = nil
		case <-hungUp:
			f.loop.post(clientGone{r})
			hungUp = nil
		case <-late.C:
			f.loop.post(overdue{r})
		case <-f.loop.stopped:
			return reply{}
		}
	}
}
