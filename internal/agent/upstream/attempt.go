package upstream

// This file makes one attempt: a request on a connection to a backend, and its result.

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
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/wire"
)

// TransitAllowance is subtracted from the remaining time that a backend receives (X-Expires-In). The request takes time to
// arrive, and the backend must not get more time than the client has left.
const TransitAllowance = 10 * time.Millisecond

// Request is a client's request as it is forwarded to backends, the same for every attempt.
type Request struct {
	Method string
	Host   string
	URL    *url.URL // only path and query are used
	Header http.Header
	Body   []byte
	Upload *Upload // the rest of the body, after Body; nil: Body is complete
}

// Attempt is one attempt to send a request to one backend: its parameters, and the fields that Execute sets.
type Attempt struct {
	ctx           context.Context         // of Execute
	Cancel        context.CancelCauseFunc // cancels the context that is passed to Execute
	RequestDone   <-chan struct{}         // closed when the request has its final answer, after which nothing of the request is sent
	Shutdown      <-chan struct{}         // closed when the event loop has stopped: no goroutine reads a streaming response any more
	BackendID     string
	Endpoint      *Endpoint // as listed when the balancer decided; nil: any listed endpoint of the backend
	WriteBy       time.Time // no byte is written after this time; zero: no bound
	ResidencyRule int       // residency rule of the request; 0: none
	Request       *Request
	Memory        *membudget.Reservation // of the request, which the attempt holds; nil: the response's header is not reserved
	Start         time.Time
	Deadline      time.Time     // the backend receives the time that remains until then; zero: until the context's deadline, if any
	Latency       time.Duration // set by Execute for a streaming response: time until the first bytes, by Elapsed
	NewConn       bool          // set by Execute: the connection was opened for this attempt
	// OnStreamStart receives a streaming response and its latency once the first bytes have arrived. It returns false
	// if the attempt has already timed out. nil: responses are buffered.
	OnStreamStart func(*Response, time.Duration) bool
	// OnNoMemory is called if no memory is left for the response's header, before the attempt ends. It may cancel the attempt,
	// whose result then does not count against the backend; may be nil.
	OnNoMemory func()
}

// Elapsed returns the time since the start of the attempt. If the last byte of a streamed body arrived after the start,
// Elapsed returns the time since that byte.
func (a *Attempt) Elapsed() time.Duration {
	if u := a.Request.Upload; u != nil && u.IsComplete() && u.CompletedAt().After(a.Start) {
		return time.Since(u.CompletedAt())
	}
	return time.Since(a.Start)
}

// executeBuffered makes an attempt whose response is buffered. It returns at the latest when ctx ends.
func (p *Pool) executeBuffered(ctx context.Context, requestDone <-chan struct{}, id string,
	request *Request) (balancer.Result, *Response, balancer.Load) {
	return p.Execute(ctx, &Attempt{RequestDone: requestDone, BackendID: id, Request: request, Start: time.Now()})
}

// Execute makes an attempt and returns its result as the protocol's table of outcomes defines it. ConnectFailed,
// NotSent and Rejected mean that the backend did not execute the request; Reset, TimedOut and Cancelled mean that the
// backend may have executed it. The attempt ends when ctx ends: as Cancelled if the cause is ErrCancelled, otherwise as
// TimedOut, or as ConnectFailed if no connection is open yet. For a streaming response, Execute returns when the
// response has been forwarded to its end, or the stream has failed.
func (p *Pool) Execute(ctx context.Context, att *Attempt) (balancer.Result, *Response, balancer.Load) {
	att.ctx = ctx
	for {
		conn, addr, err := p.acquire(att.BackendID)
		if err == nil && conn == nil {
			conn, err = p.dial(att.ctx, addr)
		}
		if err != nil {
			if errors.Is(err, errConnLimit) {
				p.log.Warn("attempt not sent", "error", err, "backend", att.BackendID)
			}
			if errors.Is(context.Cause(att.ctx), ErrCancelled) {
				return balancer.Cancelled, nil, wire.ParseLoad(nil)
			}
			return balancer.ConnectFailed, nil, wire.ParseLoad(nil)
		}
		if err := p.CheckSendable(att); err != nil { // the state changed while the connection was opened; nothing has been written
			p.release(att.BackendID, conn, true)
			return unsentResult(err), nil, wire.ParseLoad(nil)
		}
		reused := conn.idleFor > 0
		att.NewConn = !reused
		result, resp, load := p.roundTrip(att, conn)
		// An idle connection that broke before the complete request was written does not show that the backend
		// failed, and nothing was executed. The attempt is made on another connection.
		if result != balancer.ConnectFailed || !reused || att.Request.UploadStarted() {
			return result, resp, load
		}
	}
}

// unsentResult returns the result of an attempt that err kept from being written.
func unsentResult(err error) balancer.Result {
	if errors.Is(err, errAlreadyAnswered) || errors.Is(err, errRetryWindowOver) {
		return balancer.NotSent // the request needs no further attempt
	}
	return balancer.ConnectFailed
}

// IsStreamed reports whether the body is streamed, not buffered.
func (r *Request) IsStreamed() bool { return r != nil && r.Upload != nil }

// UploadStarted reports whether an attempt has read part of the Upload, so that no other attempt can send the body.
func (r *Request) UploadStarted() bool { return r.IsStreamed() && r.Upload.streamStarted.Load() }

// roundTrip writes the request once on conn and waits for the response.
func (p *Pool) roundTrip(att *Attempt, conn *pooledConn) (balancer.Result, *Response, balancer.Load) {
	req, body := newHTTPRequest(att, conn)
	var lastByteNext func() bool
	if body != nil {
		lastByteNext = body.fullyRead.Load
	}
	conn.tracked.startRequest(func() error { return p.CheckSendable(att) }, att.WriteBy, lastByteNext, att.Memory)
	setTimeLeft(req, att)
	// http.ClientConn sends a request at most once. After a stale connection, http.Transport.RoundTrip would send the
	// request again: an attempt that the balancer neither ordered nor counted.
	httpResp, err := conn.RoundTrip(req)
	if err != nil {
		if conn.tracked.lacksMemory() && att.OnNoMemory != nil {
			att.OnNoMemory()
		}
		return p.unansweredResult(att, conn, body), nil, wire.ParseLoad(nil)
	}
	return p.receive(att, conn, body, httpResp)
}

// newHTTPRequest returns the attempt's request for net/http, and its body if the body is streamed.
func newHTTPRequest(att *Attempt, conn *pooledConn) (*http.Request, *requestBody) {
	request := att.Request
	target := *request.URL
	target.Scheme, target.Host = "http", conn.addr
	req := (&http.Request{Method: request.Method, URL: &target, Header: request.Header.Clone(), Host: request.Host,
		ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}).WithContext(att.ctx)
	switch {
	case request.Upload != nil:
		body := request.Upload.newBody(request.Body)
		req.Body, req.ContentLength = body, request.Upload.length
		LimitKernelBuffers(conn.tracked.Conn)
		return req, body
	case len(request.Body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(request.Body)), int64(len(request.Body))
	}
	return req, nil
}

// setTimeLeft sets the header X-Expires-In to the time until the deadline in seconds, minus TransitAllowance.
func setTimeLeft(req *http.Request, att *Attempt) {
	deadline, ok := att.Deadline, !att.Deadline.IsZero()
	if !ok {
		deadline, ok = att.ctx.Deadline()
	}
	if ok {
		remaining := max(0, time.Until(deadline)-TransitAllowance).Truncate(time.Millisecond)
		req.Header.Set("X-Expires-In", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	}
}

// unansweredResult closes the connection of an attempt that received no response, and returns the attempt's result. It
// records the use of the connection in reuseStats, except if Write rejected bytes for a reason other than unsolicited
// bytes or a close by the backend.
func (p *Pool) unansweredResult(att *Attempt, conn *pooledConn, body *requestBody) balancer.Result {
	result := p.failedResult(att, conn, body)
	if reason := conn.tracked.writeRejection(); result == balancer.ConnectFailed && reason != nil &&
		!errors.Is(reason, errUnsolicitedBytes) && !errors.Is(reason, errClosedWhileIdle) {
		return unsentResult(reason)
	}
	p.recordReuse(conn, result == balancer.Reset || result == balancer.ConnectFailed)
	return result
}

// failedResult closes the connection of an attempt that received no complete response, and returns the attempt's result.
func (p *Pool) failedResult(att *Attempt, conn *pooledConn, body *requestBody) balancer.Result {
	cause := context.Cause(att.ctx)
	incomplete := conn.tracked.closeIncomplete() || body != nil && !body.fullyRead.Load()
	p.release(att.BackendID, conn, false)
	switch {
	case errors.Is(cause, ErrCancelled):
		return balancer.Cancelled
	case cause != nil:
		return balancer.TimedOut
	case incomplete:
		return balancer.ConnectFailed
	}
	return balancer.Reset
}
