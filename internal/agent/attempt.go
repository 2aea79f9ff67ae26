package agent

// One attempt: a request on a connection to a backend, and its result.

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

// transitAllowance is subtracted from the time that a backend is told (X-Expires-In): the request takes a moment to
// arrive there, and the backend must not be told more time than the client has left.
const transitAllowance = 10 * time.Millisecond

// upstreamRequest is a client's request as it is forwarded to backends, the same for every attempt.
type upstreamRequest struct {
	method string
	host   string
	url    *url.URL // only path and query are used
	header http.Header
	body   []byte
	upload *upload // the body's remainder, after body; nil: body is all of it
}

// attempt is one attempt to send a request to one backend: its parameters, and what execute found out about it.
type attempt struct {
	ctx           context.Context
	cancel        context.CancelCauseFunc // cancels ctx
	requestDone   <-chan struct{}         // closed when the request has its final reply: nothing more is sent for it
	shutdown      <-chan struct{}         // closed when the event loop has stopped: nobody reads a streaming response any more
	backendID     string
	endpoint      *endpoint // as it was when the balancer decided; nil: whatever the list says by then
	writeBy       time.Time // nothing is written after this; zero: no bound
	residencyRule int       // residency rule of the request; 0: none
	request       *upstreamRequest
	start         time.Time
	deadline      time.Time // as the backend is told; zero: the deadline of ctx, if it has one
	latency       time.Duration
	newConn       bool // set by execute: the connection was opened for this attempt
	// onStreamStart hands over a streaming response once its first bytes have arrived. It returns false if the
	// attempt had timed out by then. nil: responses are buffered.
	onStreamStart func(*response, time.Duration) bool
}

// elapsed returns how long ago the backend got the last byte of the request, or the attempt began.
func (a *attempt) elapsed() time.Duration {
	if u := a.request.upload; u != nil && u.complete() && u.completedAt.After(a.start) {
		return time.Since(u.completedAt)
	}
	return time.Since(a.start)
}

// executeBuffered makes an attempt whose response is buffered. It waits until ctx ends at the latest.
func (p *upstreamPool) executeBuffered(ctx context.Context, requestDone <-chan struct{}, id string,
	request *upstreamRequest) (balancer.Result, *response, balancer.Load) {
	return p.execute(&attempt{ctx: ctx, requestDone: requestDone, backendID: id, request: request, start: time.Now()})
}

// execute makes an attempt and returns its result as the protocol's table of outcomes defines it. ConnectFailed and
// NotSent mean that the backend did not execute the request; Reset, TimedOut and Cancelled mean that it may have. With
// a streaming response execute returns once the response has been passed on, or can't be.
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
		if err := p.checkSendable(att); err != nil { // something changed while the connection was opened: nothing was written
			p.release(att.backendID, conn, true)
			return unsentResult(err), nil, wire.ParseLoad(nil)
		}
		reused := conn.idleFor > 0
		att.newConn = !reused
		result, resp, load := p.roundTrip(att, conn)
		// An idle connection that had died before the request was complete on it proves nothing about the
		// backend, and nothing was executed: the attempt is made on another connection.
		if result != balancer.ConnectFailed || !reused || att.request.consumed() {
			return result, resp, load
		}
	}
}

// unsentResult returns the result of an attempt of which nothing was written for a reason unrelated to the backend.
func unsentResult(err error) balancer.Result {
	if errors.Is(err, errAlreadyAnswered) || errors.Is(err, errRetryWindowOver) {
		return balancer.NotSent // the request needs no further attempt
	}
	return balancer.ConnectFailed
}

// isLarge reports whether the body is streamed, not buffered.
func (r *upstreamRequest) isLarge() bool { return r != nil && r.upload != nil }

// consumed reports whether part of a streamed body was handed out, so that no other attempt can send it.
func (r *upstreamRequest) consumed() bool { return r.isLarge() && r.upload.streamStarted.Load() }

// roundTrip writes the request on a connection, once, and waits for the response.
func (p *upstreamPool) roundTrip(att *attempt, conn *pooledConn) (balancer.Result, *response, balancer.Load) {
	req, body := newHTTPRequest(att, conn)
	var lastByteNext func() bool
	if body != nil {
		lastByteNext = body.consumed.Load
	}
	conn.tracked.startRequest(func() error { return p.checkSendable(att) }, att.writeBy, lastByteNext)
	setTimeLeft(req, att)
	// http.ClientConn sends a request at most once. http.Transport.RoundTrip would send it again on its own on a
	// stale connection: an attempt that the balancer neither ordered nor counted.
	httpResp, err := conn.RoundTrip(req)
	if err != nil {
		return p.unansweredResult(att, conn, body), nil, wire.ParseLoad(nil)
	}
	return p.receive(att, conn, body, httpResp)
}

// newHTTPRequest returns the attempt's request for net/http, and its body if that is streamed.
func newHTTPRequest(att *attempt, conn *pooledConn) (*http.Request, *requestBody) {
	request := att.request
	target := *request.url
	target.Scheme, target.Host = "http", conn.addr
	req := (&http.Request{Method: request.method, URL: &target, Header: request.header.Clone(), Host: request.host,
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}).WithContext(att.ctx)
	switch {
	case request.upload != nil:
		body := request.upload.newBody(request.body)
		req.Body, req.ContentLength = body, request.upload.length
		limitKernelBuffers(conn.tracked.Conn)
		return req, body
	case len(request.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(request.body)), int64(len(request.body))
	}
	return req, nil
}

// setTimeLeft tells the backend how many seconds it has, less transitAllowance.
func setTimeLeft(req *http.Request, att *attempt) {
	deadline, ok := att.deadline, !att.deadline.IsZero()
	if !ok {
		deadline, ok = att.ctx.Deadline()
	}
	if ok {
		remaining := max(0, time.Until(deadline)-transitAllowance).Truncate(time.Millisecond)
		req.Header.Set("X-Expires-In", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	}
}

// unansweredResult closes the connection of an attempt whose request had no response, and returns the attempt's result.
func (p *upstreamPool) unansweredResult(att *attempt, conn *pooledConn, body *requestBody) balancer.Result {
	result := p.failedResult(att, conn, body)
	if reason := conn.tracked.blocked(); result == balancer.ConnectFailed && reason != nil &&
		!errors.Is(reason, errUnsolicitedBytes) && !errors.Is(reason, errClosedWhileIdle) {
		return unsentResult(reason)
	}
	p.recordReuse(conn, result == balancer.Reset || result == balancer.ConnectFailed)
	return result
}

// failedResult closes the connection of an attempt without a complete response, and returns the attempt's result.
func (p *upstreamPool) failedResult(att *attempt, conn *pooledConn, body *requestBody) balancer.Result {
	cause := context.Cause(att.ctx)
	incomplete := conn.tracked.closeIncomplete() || body != nil && !body.consumed.Load()
	p.release(att.backendID, conn, false)
	switch {
	case errors.Is(cause, errCancelled):
		return balancer.Cancelled
	case cause != nil:
		return balancer.TimedOut
	case incomplete:
		return balancer.ConnectFailed
	}
	return balancer.Reset
}
