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

// transitAllowance is what a backend is told less than an attempt has left: a request takes a moment to come there, after one to come
// here, and may tell no more than its client has.
const transitAllowance = 10 * time.Millisecond

const maxBufferedBody = 64 << 10 // bodies and answers up to this are held whole, and can be sent again

// upstreamRequest is a client's request as it goes on to backends: the same for every attempt.
type upstreamRequest struct {
	method string
	host   string
	url    *url.URL // path and query only
	header http.Header
	body   []byte
	upload *upload // what comes after body; nil: nothing
}

// response is a backend's 200 answer.
type response struct {
	header http.Header
	body   []byte
	stream *responseStream // what comes after body; nil: nothing
}

// attempt is one attempt.
type attempt struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc // of ctx
	requestDone   <-chan struct{}         // the request has ended: nothing more is sent for it
	shutdown      <-chan struct{}         // nobody takes a large answer any more
	backendID     string                  // of the backend
	endpoint      *endpoint               // what the list said of it when this was decided; nil: whatever it says
	writeBy       time.Time               // nothing is written after; zero: no bound
	residencyRule int                     // of residency; 0: none
	request       *upstreamRequest
	start         time.Time
	deadline      time.Time // as the backend is told; zero: as ctx says
	latency       time.Duration
	newConn       bool // its connection was opened for it
	// began hands on a large answer, of which the first bytes are there, and reports false where its
	// time is over. nil: there are no large answers.
	onStreamStart func(*response, time.Duration) bool
}

// elapsed is how long the backend has had all of the request.
func (a *attempt) elapsed() time.Duration {
	if u := a.request.upload; u != nil && u.complete() && u.completedAt.After(a.start) {
		return time.Since(u.completedAt)
	}
	return time.Since(a.start)
}

// executeBuffered sends m to a backend once and waits until ctx ends at the latest, for an answer that is
// not large.
func (p *upstreamPool) executeBuffered(ctx context.Context, requestDone <-chan struct{}, id string, request *upstreamRequest) (balancer.Result, *response, balancer.Load) {
	return p.execute(&attempt{ctx: ctx, requestDone: requestDone, backendID: id, request: request, start: time.Now()})
}

// execute makes an attempt. The result follows the protocol's table of outcomes; where it is not certain
// that nothing ran, it says so. One with a large answer ends once that has gone on.
func (p *upstreamPool) execute(att *attempt) (balancer.Result, *response, balancer.Load) {
	for {
		conn, addr, err := p.acquire(att.backendID)
		if err == nil && conn == nil {
			conn, err = p.dial(att.ctx, addr)
		}
		if err != nil {
			if errors.Is(err, errNoDescriptor) {
				p.log.Warn("attempt not sent", "error", err, "backend", att.backendID)
			}
			if errors.Is(context.Cause(att.ctx), errCancelled) {
				return balancer.Cancelled, nil, wire.ParseLoad(nil)
			}
			return balancer.ConnectFailed, nil, wire.ParseLoad(nil)
		}
		if err := p.checkSendable(att); err != nil { // while the connection was being opened: nothing has run
			p.release(att.backendID, conn, true)
			return unsentResult(err), nil, wire.ParseLoad(nil)
		}
		reused := conn.idleFor > 0
		att.newConn = !reused
		result, resp, load := p.roundTrip(att, conn)
		// A kept connection that had died before the request was written whole tells nothing of
		// whether the backend can be reached, and nothing has run: the attempt is still to be made.
		if result != balancer.ConnectFailed || !reused || att.request.consumed() {
			return result, resp, load
		}
	}
}

// unsentResult is the result of an attempt of which nothing was written, for a reason that is not the backend's.
func unsentResult(err error) balancer.Result {
	if errors.Is(err, errAlreadyAnswered) || errors.Is(err, errRetryWindowOver) {
		return balancer.NotSent // nothing more is to be made of the request
	}
	return balancer.ConnectFailed
}

// isLarge reports whether a body is too large to be held whole.
func (r *upstreamRequest) isLarge() bool { return r != nil && r.upload != nil }

// consumed reports whether part of a body is gone, so that no other attempt can be made.
func (r *upstreamRequest) consumed() bool { return r.isLarge() && r.upload.streamStarted.Load() }

// roundTrip writes the request on a connection, once, and waits for the answer.
func (p *upstreamPool) roundTrip(att *attempt, conn *pooledConn) (balancer.Result, *response, balancer.Load) {
	noLoad, request := wire.ParseLoad(nil), att.request
	target := *request.url
	target.Scheme, target.Host = "http", conn.addr
	req := (&http.Request{Method: request.method, URL: &target, Header: request.header.Clone(), Host: request.host,
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}).WithContext(att.ctx)
	var body *requestBody
	switch {
	case request.upload != nil:
		body = request.upload.newBody(request.body)
		req.Body, req.ContentLength = body, request.upload.length
		limitKernelBuffers(conn.tracked.Conn)
	case len(request.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(request.body)), int64(len(request.body))
	}
	var lastByteNext func() bool
	if body != nil {
		lastByteNext = body.consumed.Load
	}
	conn.tracked.startRequest(func() error { return p.checkSendable(att) }, att.writeBy, lastByteNext)
	deadline, ok := att.deadline, !att.deadline.IsZero()
	if !ok {
		deadline, ok = att.ctx.Deadline()
	}
	if ok {
		remaining := max(0, time.Until(deadline)-transitAllowance).Truncate(time.Millisecond)
		req.Header.Set("X-Expires-In", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	}
	// ClientConn has no pool behind it and sends a request only once; Transport.RoundTrip would
	// send it again by itself on a stale connection, unasked and uncounted.
	httpResp, err := conn.RoundTrip(req)
	if err != nil {
		result := p.failedResult(att, conn, body)
		if reason := conn.tracked.blocked(); result == balancer.ConnectFailed && reason != nil && !errors.Is(reason, errUnsolicitedBytes) && !errors.Is(reason, errClosedWhileIdle) {
			return unsentResult(reason), nil, noLoad
		}
		p.recordReuse(conn, result == balancer.Reset || result == balancer.ConnectFailed)
		return result, nil, noLoad
	}
	p.recordReuse(conn, false)
	defer httpResp.Body.Close()
	done := make(chan struct{})
	defer close(done)
	resp, err := p.readResponse(att, httpResp, done)
	early := body != nil && httpResp.StatusCode == http.StatusOK && (!body.consumed.Load() || conn.tracked.respondedEarly()) // a backend starts with the last byte
	if err != nil || early || endsWithConnection(httpResp) && len(resp.body) == 0 {
		return p.failedResult(att, conn, body), nil, noLoad
	}
	load := noLoad
	if text := httpResp.Header.Get("Endpoint-Load-Metrics"); text != "" && p.cfg.Site.LoadInline {
		load = parseLoad(text)
	}
	if resp.stream != nil {
		return p.awaitStream(att, conn, httpResp, resp), resp, load
	}
	httpResp.Body.Close()
	conn.tracked.awaitIdle(!httpResp.Close && len(resp.body) <= maxBufferedBody)
	conn.idleSince = time.Now()
	p.release(att.backendID, conn, !httpResp.Close && len(resp.body) <= maxBufferedBody)
	switch {
	case httpResp.StatusCode == http.StatusOK && len(resp.body) <= maxBufferedBody:
		return balancer.OK, resp, load
	case (httpResp.StatusCode == http.StatusServiceUnavailable || httpResp.StatusCode == http.StatusGatewayTimeout) &&
		httpResp.Header.Get("X-Never-Ran") == "1":
		if att.newConn { // backends hold few connections: one of this agent's that rests is another's want
			p.mu.Lock()
			p.evictOldest()
			p.mu.Unlock()
		}
		return balancer.Rejected, nil, load
	}
	return balancer.Errored, nil, load
}

// readResponse takes an answer whole, or the first bytes of one that is large.
func (p *upstreamPool) readResponse(att *attempt, httpResp *http.Response, done <-chan struct{}) (*response, error) {
	resp := &response{header: httpResp.Header}
	small := httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxBufferedBody
	if small || httpResp.StatusCode != http.StatusOK || att.onStreamStart == nil {
		var err error
		resp.body, err = io.ReadAll(io.LimitReader(httpResp.Body, maxBufferedBody+1))
		return resp, err
	}
	if httpResp.ContentLength > maxStreamBytes {
		return nil, errTooLarge
	}
	buf, free := p.bufferBudget.get()
	stream := &responseStream{length: httpResp.ContentLength, source: httpResp.Body, cancel: att.cancel, done: make(chan struct{}), free: free}
	if httpResp.ContentLength < 0 {
		buffered := bufferResponse(httpResp.Body, buf, done)
		body, more, err := buffered.readUpTo(maxBufferedBody, bufferingTimeout)
		if resp.body = body; err == nil && more {
			stream.source, resp.stream = buffered, stream
		} else {
			free()
		}
		return resp, err
	}
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = httpResp.Body.Read(buf)
	}
	if n == 0 {
		free()
		return nil, err
	}
	resp.body, resp.stream = buf[:n], stream // an error comes again with the next read
	return resp, nil
}

// awaitStream hands on a large answer and waits until it has gone on or can't.
func (p *upstreamPool) awaitStream(att *attempt, conn *pooledConn, httpResp *http.Response, resp *response) balancer.Result {
	defer resp.stream.free()
	att.latency = att.elapsed()
	limitKernelBuffers(conn.tracked.Conn)
	if !att.onStreamStart(resp, att.latency) {
		return p.failedResult(att, conn, nil)
	}
	select {
	case <-resp.stream.done:
	case <-att.shutdown:
		resp.stream.finish(errRequestEnded)
	}
	if resp.stream.err == nil {
		conn.tracked.awaitIdle(!httpResp.Close)
		conn.idleSince = time.Now()
		p.release(att.backendID, conn, !httpResp.Close)
		return balancer.OK
	}
	conn.tracked.Close()
	p.release(att.backendID, conn, false)
	if errors.Is(resp.stream.err, errRequestEnded) {
		return balancer.Cancelled
	}
	return balancer.Reset
}

// endsWithConnection reports whether an answer ends with its connection alone. That is a form like any other (RFC
// 9112, 6.3), but one that brings nothing can't be told from a connection that died.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// failedResult tells how an attempt ended that brought no whole answer, and closes its connection.
func (p *upstreamPool) failedResult(att *attempt, conn *pooledConn, body *requestBody) balancer.Result {
	cause := context.Cause(att.ctx)
	neverRan := conn.tracked.closeIncomplete() || body != nil && !body.consumed.Load()
	p.release(att.backendID, conn, false)
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
