package agent

// How an attempt is made on a connection, and what came of it.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

// onTheWay is what a backend is told less than an attempt has left: a request takes a moment to come there, after one to come
// here, and may tell no more than its client has.
const onTheWay = 10 * time.Millisecond

const maxBody = 64 << 10 // bodies and answers up to this are held whole, and can be sent again

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
func (b *backends) attempt(ctx context.Context, over <-chan struct{}, id string, m *message) (balancer.Result, *answer, balancer.Load) {
	return b.try(&try{ctx: ctx, over: over, id: id, m: m, start: time.Now()})
}

// try makes an attempt. The result follows the protocol's table of outcomes; where it is not certain
// that nothing ran, it says so. One with a large answer ends once that has gone on.
func (b *backends) try(t *try) (balancer.Result, *answer, balancer.Load) {
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
				return balancer.Cancelled, nil, wire.Load(nil)
			}
			return balancer.ConnectFailed, nil, wire.Load(nil)
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
		if result != balancer.ConnectFailed || !reused || t.m.spent() {
			return result, answer, load
		}
	}
}

// held is the result of an attempt of which nothing was written, for a reason that is not the backend's.
func held(err error) balancer.Result {
	if errors.Is(err, errOver) || errors.Is(err, errTooLate) {
		return balancer.NotSent // nothing more is to be made of the request
	}
	return balancer.ConnectFailed
}

// large reports whether a body is too large to be held whole.
func (m *message) large() bool { return m != nil && m.upload != nil }

// spent reports whether part of a body is gone, so that no other attempt can be made.
func (m *message) spent() bool { return m.large() && m.upload.begun.Load() }

// send writes the request on a connection, once, and waits for the answer.
func (b *backends) send(t *try, c *conn) (balancer.Result, *answer, balancer.Load) {
	none, m := wire.Load(nil), t.m
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
	var handed func() bool
	if large != nil {
		handed = large.done.Load
	}
	c.net.begin(func() error { return b.clear(t) }, t.last, handed)
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
		if reason := c.net.refused(); result == balancer.ConnectFailed && reason != nil && !errors.Is(reason, errStray) && !errors.Is(reason, errPeerClosed) {
			return held(reason), nil, none
		}
		b.learn(c, result == balancer.Reset || result == balancer.ConnectFailed)
		return result, nil, none
	}
	b.learn(c, false)
	defer resp.Body.Close()
	over := make(chan struct{})
	defer close(over)
	answer, err := b.read(t, resp, over)
	early := large != nil && resp.StatusCode == http.StatusOK && (!large.done.Load() || c.net.answeredEarly()) // a backend starts with the last byte
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
		return balancer.OK, answer, load
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Never-Ran") == "1":
		if t.fresh { // backends hold few connections: one of this agent's that rests is another's want
			b.mu.Lock()
			b.evict()
			b.mu.Unlock()
		}
		return balancer.Full, nil, load
	}
	return balancer.Errored, nil, load
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
func (b *backends) pass(t *try, c *conn, resp *http.Response, a *answer) balancer.Result {
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
		return balancer.OK
	}
	c.net.Close()
	b.give(t.id, c, false)
	if errors.Is(a.rest.err, errEnded) {
		return balancer.Cancelled
	}
	return balancer.Reset
}

// endless reports whether an answer ends with its connection alone. That is a form like any other (RFC
// 9112, 6.3), but one that brings nothing can't be told from a connection that died.
func endless(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// broken tells how an attempt ended that brought no whole answer, and closes its connection.
func (b *backends) broken(t *try, c *conn, large *body) balancer.Result {
	cause := context.Cause(t.ctx)
	neverRan := c.net.neverWhole() || large != nil && !large.done.Load()
	b.give(t.id, c, false)
	switch {
	case errors.Is(cause, errCancelled):
		return balancer.Cancelled
	case cause != nil:
		return balancer.TimedOut
	case neverRan:
		return balancer.ConnectFailed
	}
	return balancer.Reset
}
