package upstream

// This file reads the response of an attempt, buffered or streamed.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

// Response is a backend's response with status 200.
type Response struct {
	Header http.Header
	Body   []byte
	Stream *Stream // the rest of the body, after Body; nil: Body is complete
}

// receive reads a response whose header has arrived, releases the connection and returns the attempt's result.
func (p *Pool) receive(att *Attempt, conn *pooledConn, body *requestBody,
	httpResp *http.Response) (balancer.Result, *Response, balancer.Load) {
	p.recordReuse(conn, false)
	defer httpResp.Body.Close()
	if httpResp.StatusCode == http.StatusSwitchingProtocols {
		// No attempt asks for an upgrade, and net/http returns the bare connection as the body, whose reads no context ends.
		return p.failedResult(att, conn, body), nil, wire.ParseLoad(nil)
	}
	done := make(chan struct{})
	defer close(done)
	resp, err := p.readResponse(att, httpResp, done)
	early := body != nil && httpResp.StatusCode == http.StatusOK &&
		(!body.fullyRead.Load() || conn.tracked.respondedEarly()) // backends execute a request only after its last byte
	if err != nil || early || endsWithConnection(httpResp) && len(resp.Body) == 0 {
		return p.failedResult(att, conn, body), nil, wire.ParseLoad(nil)
	}
	load := wire.ParseLoad(nil)
	if text := httpResp.Header.Get("Endpoint-Load-Metrics"); text != "" && p.cfg.LoadInline {
		load = parseLoad(text)
	}
	if resp.Stream != nil {
		return p.awaitStream(att, conn, httpResp, resp), resp, load
	}
	httpResp.Body.Close()
	complete := len(resp.Body) <= MaxBufferedBody
	conn.tracked.awaitIdle(!httpResp.Close && complete)
	conn.idleSince = time.Now()
	p.release(att.BackendID, conn, !httpResp.Close && complete)
	switch {
	case httpResp.StatusCode == http.StatusOK && complete:
		return balancer.OK, resp, load
	case provesNotExecuted(httpResp):
		if att.NewConn { // the backend may have reached its connection limit: close an idle connection
			p.mu.Lock()
			p.evictOldest()
			p.mu.Unlock()
		}
		return balancer.Rejected, nil, load
	}
	return balancer.Errored, nil, load
}

// provesNotExecuted reports whether a response proves that the backend did not execute the request.
func provesNotExecuted(httpResp *http.Response) bool {
	return (httpResp.StatusCode == http.StatusServiceUnavailable || httpResp.StatusCode == http.StatusGatewayTimeout) &&
		httpResp.Header.Get("X-Never-Ran") == "1"
}

// readResponse reads a response to its end, or the first bytes of a streaming one. done ends the goroutine of a response
// of unknown length.
func (p *Pool) readResponse(att *Attempt, httpResp *http.Response, done <-chan struct{}) (*Response, error) {
	resp := &Response{Header: httpResp.Header}
	fitsBuffer := httpResp.ContentLength >= 0 && httpResp.ContentLength <= MaxBufferedBody
	if fitsBuffer || httpResp.StatusCode != http.StatusOK || att.OnStreamStart == nil {
		var err error
		resp.Body, err = io.ReadAll(io.LimitReader(httpResp.Body, MaxBufferedBody+1))
		return resp, err
	}
	if httpResp.ContentLength > MaxStreamBytes {
		return nil, errTooLarge
	}
	buf, free := p.Buffers.Get()
	stream := NewStream(httpResp.Body, httpResp.ContentLength, att.Cancel)
	stream.free = free
	if httpResp.ContentLength < 0 {
		buffered := bufferResponse(httpResp.Body, buf, done)
		body, more, err := buffered.readUpTo(MaxBufferedBody, bufferingTimeout)
		if resp.Body = body; err == nil && more {
			stream.source, resp.Stream = buffered, stream
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
	resp.Body, resp.Stream = buf[:n], stream // a read error is returned again by the next read
	return resp, nil
}

// awaitStream passes a streaming response to OnStreamStart, waits until the stream is finished or the event loop has
// stopped, and releases the connection.
func (p *Pool) awaitStream(att *Attempt, conn *pooledConn, httpResp *http.Response, resp *Response) balancer.Result {
	defer resp.Stream.free()
	att.Latency = att.Elapsed()
	LimitKernelBuffers(conn.tracked.Conn)
	if !att.OnStreamStart(resp, att.Latency) {
		return p.failedResult(att, conn, nil)
	}
	select {
	case <-resp.Stream.done:
	case <-att.Shutdown:
		resp.Stream.Finish(ErrRequestEnded)
	}
	if resp.Stream.err == nil {
		conn.tracked.awaitIdle(!httpResp.Close)
		conn.idleSince = time.Now()
		p.release(att.BackendID, conn, !httpResp.Close)
		return balancer.OK
	}
	conn.tracked.Close()
	p.release(att.BackendID, conn, false)
	if errors.Is(resp.Stream.err, ErrRequestEnded) {
		return balancer.Cancelled
	}
	return balancer.Reset
}

// endsWithConnection reports whether only the end of the connection delimits the response (RFC 9112, 6.3). Such a response
// with an empty body can't be distinguished from a broken connection.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
