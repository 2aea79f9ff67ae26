package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brookferry"
	"brookferry/internal/agent/discovery"
	"brookferry/internal/residency/gate"
	"brookferry/internal/wire"
)

// onTheWay is what a backend is told less than an attempt has left: a request takes a moment to come there, after one to come
// here, and may tell no more than its client has.
const onTheWay = 10 * time.Millisecond

const maxBody = 64 << 10 // bodies and answers up to this are held whole, and can be sent again

// A backend may answer twice, the second time some milliseconds after the first. On a connection that rests that is seen,
// and ends it; once the next request is written nothing tells it from the answer to that one. A connection that has rested
// for so long goes before one that has not; where bytes came of late that no request had asked for, no other is used: it
// would be one more connection for each backend, and 6% more latency under load, where none ever come.
const (
	secondAnswer = 20 * time.Millisecond
	straysCount  = reuseHalving // for so long after the latest
)

var (
	errTimedOut  = errors.New("timed out")
	errCancelled = errors.New("cancelled")
	errNoSocket  = errors.New("no file descriptor left for another connection")
	errMoved     = errors.New("the list has changed for the backend")
	errOver      = errors.New("the request has its answer")
	errForbidden = errors.New("the residency policy does not permit it")
	errTooLarge  = errors.New("the answer is too large")
	errDetached  = errors.New("operators have detached the backend")
)

// message is a client's request as it goes on to backends: the same for every attempt.
type message struct {
	method string
	host   string
	url    *url.URL // path and query only
	header http.Header
	body   []byte
	upload *upload // what comes after body; nil: nothing
}

// answer is a backend's 200 answer.
type answer struct {
	header http.Header
	body   []byte
	rest   *stream // what comes after body; nil: nothing
}

// backends holds the connections to all backends. It makes exactly the attempts it is told to:
// each is one request written at most once on one connection.
type backends struct {
	cfg       *Config
	log       *slog.Logger
	transport *http.Transport
	buffers   *buffers
	keepIdle  time.Duration
	most      int // connections at once

	mu     sync.Mutex
	listed map[string]*listing // by backend id
	held   map[string]bool     // nothing is written to these: operators have detached them
	idle   map[string][]*conn  // by backend id, the latest used last
	open   int                 // idle, in use or being dialled
	reuse  reuse
	settle time.Duration // a connection rests for so long, if it can be, before it is used again
	strays time.Time     // when the latest bytes were found that no request had asked for
	closed bool          // no connection is kept

	residency gate.Keeper // nil: no policy
}

// conn is one connection. It carries one request at a time.
type conn struct {
	*http.ClientConn
	net   *backendConn
	addr  string
	since time.Time     // idle since then
	idle  time.Duration // before its present use; 0: new
}

func newBackends(cfg *Config, log *slog.Logger) *backends {
	b := &backends{cfg: cfg, log: log, buffers: newBuffers(cfg.MemoryMB), most: backendSockets(cfg.shareable()),
		// Backends may close an idle connection at IdleClose; a request that crosses that is lost
		// as a reset that may have run. A quarter of the time is far more than any network takes.
		keepIdle: cfg.Site.IdleClose * 3 / 4,
		settle:   secondAnswer,
		listed:   map[string]*listing{}, held: map[string]bool{}, idle: map[string][]*conn{}}
	b.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeader,
		// The dialled connection goes into the context's slot, which tells what was written on it.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialer := net.Dialer{KeepAlive: -1}
			if cfg.DialFrom != "" {
				dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(cfg.DialFrom)}
			}
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := newBackendConn(c)
			if slot, ok := ctx.Value(slotKey{}).(*dialSlot); ok {
				slot.conn = conn
			}
			return conn, nil
		},
	}
	return b
}

type (
	slotKey  struct{}
	dialSlot struct{ conn *backendConn }
)

// listing is what the list says of a backend, as far as it binds an attempt that is decided and not yet written. A change
// makes a new one.
type listing struct {
	addr       string
	zone, cell int
	draining   bool
}

// update takes a change of the list. Connections that rest at a backend that is gone, drains or has moved are
// closed: under its new address another process answers, and one that drains wants nothing new.
func (b *backends) update(e discovery.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.List.Kind != brookferry.ListDelta && e.List.Kind != brookferry.ListFailed {
		for id := range b.listed {
			if _, listed := e.Addrs[id]; !listed {
				b.forget(id)
			}
		}
	}
	for _, m := range e.List.Backends {
		addr, ok := e.Addrs[m.ID]
		if !ok {
			b.forget(m.ID)
			continue
		}
		now := listing{addr: addr, zone: m.Zone, cell: m.Cell, draining: m.State != brookferry.Up}
		if old := b.listed[m.ID]; old == nil || *old != now {
			b.listed[m.ID] = &now
			if old != nil && (old.addr != addr || now.draining) {
				b.dropIdle(m.ID)
			}
		}
	}
}

// detach has nothing written to a backend any more, or again. Its kept connections are dropped
// both times: operators restart it in between.
func (b *backends) detach(id string, on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if on {
		b.held[id] = true
	} else {
		delete(b.held, id)
	}
	b.dropIdle(id)
}

// forget drops a backend's address and its idle connections. The lock is held.
func (b *backends) forget(id string) {
	delete(b.listed, id)
	b.dropIdle(id)
}

// dropIdle closes a backend's idle connections. The lock is held.
func (b *backends) dropIdle(id string) {
	for _, c := range b.idle[id] {
		b.drop(c)
	}
	delete(b.idle, id)
}

// drop closes a connection. The lock is held; closing a socket does not block.
func (b *backends) drop(c *conn) {
	b.open--
	if c.net.strayed() {
		b.strays = time.Now()
	}
	c.Close()
}

// take returns an idle connection to a backend, or the address at which to dial one.
func (b *backends) take(id string) (*conn, string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.listed[id]
	switch {
	case at == nil:
		return nil, "", errMoved
	case b.held[id]:
		return nil, "", errDetached
	}
	b.idle[id] = slices.DeleteFunc(b.idle[id], func(c *conn) bool {
		usable := b.usable(c)
		if !usable {
			b.drop(c)
		}
		return !usable
	})
	if i := b.rested(b.idle[id]); i >= 0 {
		c := b.idle[id][i]
		b.idle[id] = slices.Delete(b.idle[id], i, i+1)
		c.idle = max(1, time.Since(c.since))
		return c, at.addr, nil
	}
	if b.open >= b.most && !b.evict() {
		return nil, "", errNoSocket
	}
	b.open++
	return nil, at.addr, nil
}

// rested returns which of a backend's idle connections is to be used: the latest that has rested, else the latest; below 0:
// none. The lock is held.
func (b *backends) rested(idle []*conn) int {
	for i := len(idle) - 1; i >= 0; i-- {
		if time.Since(idle[i].since) >= b.settle {
			return i
		}
	}
	if time.Since(b.strays) < straysCount {
		return -1
	}
	return len(idle) - 1
}

// usable reports whether an idle connection may carry a request. The lock is held.
func (b *backends) usable(c *conn) bool {
	idle := time.Since(c.since)
	return c.Err() == nil && idle < b.keepIdle && !b.reuse.doubtful(idle)
}

// standing is what the list says of a backend now; nil: nothing.
func (b *backends) standing(id string) *listing {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[id]
}

// clear reports why an attempt that was decided may not be written now: a request that has its answer, or a backend that
// the list or operators have taken out since, or moved to where a repeat is none. nil: it may.
func (b *backends) clear(t *try) error {
	select {
	case <-t.over:
		return errOver
	default:
	}
	b.mu.Lock()
	held, at := b.held[t.id], b.listed[t.id]
	b.mu.Unlock()
	switch {
	case held:
		return errDetached
	case at == nil || t.at != nil && t.at != at:
		return errMoved
	case !t.last.IsZero() && !time.Now().Before(t.last):
		return errTooLate
	case !b.permitted(t.rule, t.id):
		return errForbidden
	}
	return nil
}

// learn takes whether the connection broke under its request before any answer.
func (b *backends) learn(c *conn, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reuse.learn(c.idle, broken)
}

// allow changes how many connections may be open at once. Idle ones past it are closed.
func (b *backends) allow(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	for b.open > b.most && b.evict() {
	}
}

// evict closes the connection that has been idle longest, whosever it is.
func (b *backends) evict() bool {
	var oldest string
	for id, list := range b.idle {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(b.idle[oldest][0].since)) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	b.drop(b.idle[oldest][0])
	b.idle[oldest] = b.idle[oldest][1:]
	return true
}

// give puts a connection back, or closes it where it is no longer of use.
func (b *backends) give(id string, c *conn, reusable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.listed[id]; !reusable || b.closed || c.Err() != nil || at == nil || at.addr != c.addr || at.draining || b.held[id] {
		b.drop(c)
		return
	}
	b.idle[id] = append(b.idle[id], c)
}

// close ends the connections that rest, and has no other kept.
func (b *backends) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for id := range b.idle {
		b.dropIdle(id)
	}
}

// reap closes what has been idle for too long, until ctx ends.
func (b *backends) reap(ctx context.Context) {
	every := max(b.keepIdle/8, time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		b.mu.Lock()
		b.reuse.fade(every)
		for id, list := range b.idle {
			kept := list[:0]
			for _, c := range list {
				if b.usable(c) {
					kept = append(kept, c)
				} else {
					b.drop(c)
				}
			}
			clear(list[len(kept):])
			b.idle[id] = kept
		}
		b.mu.Unlock()
	}
}

// dial opens a connection within the connect time-out and ctx. Its place is already counted.
func (b *backends) dial(ctx context.Context, addr string) (*conn, error) {
	slot := &dialSlot{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, slotKey{}, slot), b.cfg.Settings.ConnectTimeout)
	defer cancel()
	cc, err := b.transport.NewClientConn(ctx, "http", addr)
	if err != nil {
		b.mu.Lock()
		b.open--
		b.mu.Unlock()
		return nil, err
	}
	return &conn{ClientConn: cc, net: slot.conn, addr: addr, since: time.Now()}, nil
}

// try is one attempt.
type try struct {
	ctx    context.Context
	cancel context.CancelCauseFunc // of ctx
	over   <-chan struct{}         // the request has ended: nothing more is sent for it
	quit   <-chan struct{}         // nobody takes a large answer any more
	id     string                  // of the backend
	at     *listing                // what the list said of it when this was decided; nil: whatever it says
	last   time.Time               // nothing is written after; zero: no bound
	rule   int                     // of residency; 0: none
	m      *message
	start  time.Time
	until  time.Time // as the backend is told; zero: as ctx says
	took   time.Duration
	fresh  bool // its connection was opened for it
	// began hands on a large answer, of which the first bytes are there, and reports false where its
	// time is over. nil: there are no large answers.
	began func(*answer, time.Duration) bool
}

// latency is how long the backend has had all of the request.
func (t *try) latency() time.Duration {
	if u := t.m.upload; u != nil && u.complete() && u.at.After(t.start) {
		return time.Since(u.at)
	}
	return time.Since(t.start)
}

// attempt sends m to a backend once and waits until ctx ends at the latest, for an answer that is
// not large.
func (b *backends) attempt(ctx context.Context, over <-chan struct{}, id string, m *message) (brookferry.Result, *answer, brookferry.Load) {
	return b.try(&try{ctx: ctx, over: over, id: id, m: m, start: time.Now()})
}

// try makes an attempt. The result follows the protocol's table of outcomes; where it is not certain
// that nothing ran, it says so. One with a large answer ends once that has gone on.
func (b *backends) try(t *try) (brookferry.Result, *answer, brookferry.Load) {
	for {
		c, addr, err := b.take(t.id)
		if err == nil && c == nil {
			c, err = b.dial(t.ctx, addr)
		}
		if err != nil {
			if errors.Is(err, errNoSocket) {
				b.log.Warn("attempt not sent", "error", err, "backend", t.id)
			}
			if errors.Is(context.Cause(t.ctx), errCancelled) {
				return brookferry.Cancelled, nil, wire.Load(nil)
			}
			return brookferry.ConnectFailed, nil, wire.Load(nil)
		}
		if err := b.clear(t); err != nil { // while the connection was being opened: nothing has run
			b.give(t.id, c, true)
			return held(err), nil, wire.Load(nil)
		}
		reused := c.idle > 0
		t.fresh = !reused
		result, answer, load := b.send(t, c)
		// A kept connection that had died before the request was written whole tells nothing of
		// whether the backend can be reached, and nothing has run: the attempt is still to be made.
		if result != brookferry.ConnectFailed || !reused || t.m.spent() {
			return result, answer, load
		}
	}
}

// held is the result of an attempt of which nothing was written, for a reason that is not the backend's.
func held(err error) brookferry.Result {
	if errors.Is(err, errOver) || errors.Is(err, errTooLate) {
		return brookferry.NotSent // nothing more is to be made of the request
	}
	return brookferry.ConnectFailed
}

// large reports whether a body is too large to be held whole.
func (m *message) large() bool { return m != nil && m.upload != nil }

// spent reports whether part of a body is gone, so that no other attempt can be made.
func (m *message) spent() bool { return m.large() && m.upload.begun.Load() }

// send writes the request on a connection, once, and waits for the answer.
func (b *backends) send(t *try, c *conn) (brookferry.Result, *answer, brookferry.Load) {
	none, m := wire.Load(nil), t.m
	c.net.begin(func() error { return b.clear(t) }, t.last)
	u := *m.url
	u.Scheme, u.Host = "http", c.addr
	req := (&http.Request{Method: m.method, URL: &u, Header: m.header.Clone(), Host: m.host,
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}).WithContext(t.ctx)
	var large *body
	switch {
	case m.upload != nil:
		large = m.upload.body(m.body)
		req.Body, req.ContentLength = large, m.upload.length
		boundKernel(c.net.Conn)
	case len(m.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.body)), int64(len(m.body))
	}
	until, ok := t.until, !t.until.IsZero()
	if !ok {
		until, ok = t.ctx.Deadline()
	}
	if ok {
		left := max(0, time.Until(until)-onTheWay).Truncate(time.Millisecond)
		req.Header.Set("X-Expires-In", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	}
	// ClientConn has no pool behind it and sends a request only once; Transport.RoundTrip would
	// send it again by itself on a stale connection, unasked and uncounted.
	resp, err := c.RoundTrip(req)
	if err != nil {
		result := b.broken(t, c, large)
		if reason := c.net.refused(); result == brookferry.ConnectFailed && reason != nil && !errors.Is(reason, errStray) && !errors.Is(reason, errPeerClosed) {
			return held(reason), nil, none
		}
		b.learn(c, result == brookferry.Reset || result == brookferry.ConnectFailed)
		return result, nil, none
	}
	b.learn(c, false)
	defer resp.Body.Close()
	over := make(chan struct{})
	defer close(over)
	answer, err := b.read(t, resp, over)
	early := large != nil && !large.done.Load() && resp.StatusCode == http.StatusOK // a backend starts with the last byte
	if err != nil || early || endless(resp) && len(answer.body) == 0 {
		return b.broken(t, c, large), nil, none
	}
	load := none
	if text := resp.Header.Get("Endpoint-Load-Metrics"); text != "" && b.cfg.Site.LoadInline {
		load = parseLoad(text)
	}
	if answer.rest != nil {
		return b.pass(t, c, resp, answer), answer, load
	}
	resp.Body.Close()
	c.net.rest(!resp.Close && len(answer.body) <= maxBody)
	c.since = time.Now()
	b.give(t.id, c, !resp.Close && len(answer.body) <= maxBody)
	switch {
	case resp.StatusCode == http.StatusOK && len(answer.body) <= maxBody:
		return brookferry.OK, answer, load
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		if t.fresh { // backends hold few connections: one of this agent's that rests is another's want
			b.mu.Lock()
			b.evict()
			b.mu.Unlock()
		}
		return brookferry.Full, nil, load
	}
	return brookferry.Errored, nil, load
}

// read takes an answer whole, or the first bytes of one that is large.
func (b *backends) read(t *try, resp *http.Response, over <-chan struct{}) (*answer, error) {
	a := &answer{header: resp.Header}
	small := resp.ContentLength >= 0 && resp.ContentLength <= maxBody
	if small || resp.StatusCode != http.StatusOK || t.began == nil {
		var err error
		a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
		return a, err
	}
	if resp.ContentLength > largest {
		return nil, errTooLarge
	}
	buf, free := b.buffers.get()
	s := &stream{length: resp.ContentLength, in: resp.Body, cancel: t.cancel, ended: make(chan struct{}), free: free}
	if resp.ContentLength < 0 {
		g := gather(resp.Body, buf, over)
		held, more, err := g.upTo(maxBody, gatherFor)
		if a.body = held; err == nil && more {
			s.in, a.rest = g, s
		} else {
			free()
		}
		return a, err
	}
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = resp.Body.Read(buf)
	}
	if n == 0 {
		free()
		return nil, err
	}
	a.body, a.rest = buf[:n], s // an error comes again with the next read
	return a, nil
}

// pass hands on a large answer and waits until it has gone on or can't.
func (b *backends) pass(t *try, c *conn, resp *http.Response, a *answer) brookferry.Result {
	defer a.rest.free()
	t.took = t.latency()
	boundKernel(c.net.Conn)
	if !t.began(a, t.took) {
		return b.broken(t, c, nil)
	}
	select {
	case <-a.rest.ended:
	case <-t.quit:
		a.rest.end(errEnded)
	}
	if a.rest.err == nil {
		c.net.rest(!resp.Close)
		c.since = time.Now()
		b.give(t.id, c, !resp.Close)
		return brookferry.OK
	}
	c.net.Close()
	b.give(t.id, c, false)
	if errors.Is(a.rest.err, errEnded) {
		return brookferry.Cancelled
	}
	return brookferry.Reset
}

// endless reports whether an answer ends with its connection alone. That is a form like any other (RFC
// 9112, 6.3), but one that brings nothing can't be told from a connection that died.
func endless(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// broken tells how an attempt ended that brought no whole answer, and closes its connection.
func (b *backends) broken(t *try, c *conn, large *body) brookferry.Result {
	cause := context.Cause(t.ctx)
	neverRan := c.net.neverWhole() || large != nil && !large.done.Load()
	b.give(t.id, c, false)
	switch {
	case errors.Is(cause, errCancelled):
		return brookferry.Cancelled
	case cause != nil:
		return brookferry.TimedOut
	case neverRan:
		return brookferry.ConnectFailed
	}
	return brookferry.Reset
}

// probe examines a backend: with its load report where probes bring one.
func (b *backends) probe(id string) brookferry.ProbeResult {
	start := time.Now()
	m := &message{method: http.MethodGet, url: &url.URL{Path: "/ping"}, header: http.Header{}}
	if b.cfg.Site.LoadProbed {
		m.url.Path = "/_load"
	}
	// The settings name no time-out for probes; one that takes longer than a connect may is no use.
	ctx, cancel := context.WithTimeoutCause(context.Background(), b.cfg.Settings.ConnectTimeout, errTimedOut)
	defer cancel()
	result, a, load := b.attempt(ctx, nil, id, m)
	if a != nil && b.cfg.Site.LoadProbed {
		load = parseLoad(string(a.body))
	}
	return brookferry.ProbeResult{Backend: id, Result: result, Latency: time.Since(start), Load: load}
}

// loadNames maps the names of load values on sockets to those of the settings.
var loadNames = map[string]string{"queue": "backlog", "eps": "errors_per_s", "latency_ms": "recent_ms"}

// parseLoad reads a load report such as "TEXT inflight=7, queue=2". What it can't read is left out.
func parseLoad(text string) brookferry.Load {
	usage := map[string]float64{}
	text = strings.TrimSpace(text)
	text = strings.TrimPrefix(strings.TrimPrefix(text, "Endpoint-Load-Metrics:"), " ")
	for _, pair := range strings.Split(strings.TrimPrefix(text, "TEXT "), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			if known, ok := loadNames[name]; ok {
				name = known
			}
			usage[name] = v
		}
	}
	return wire.Load(usage)
}
