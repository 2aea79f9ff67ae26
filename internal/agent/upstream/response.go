package upstream

// This file reads the response of an attempt, buffered or streamed.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/wire"
)

// Response is a backend's response with status 200.
type Response struct {
	Header http.Header
	Body   []byte
	Stream *Stream // the rest of the body, after Body; nil: Body is complete

	received int64                  // bytes of the body that were read, kept in Body or not
	memory   *membudget.Reservation // for Body
}

// Release returns the memory of the response to the budget. It is called once nobody reads Body any more, on a nil Response too.
func (r *Response) Release() {
	if r != nil {
		r.memory.Release()
	}
}

// discard returns all memory of a response that is not passed on, its stream's included.
func (r *Response) discard() {
	r.Release()
	if r.Stream != nil {
		r.Stream.free()
	}
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
	if err != nil || early || endsWithConnection(httpResp) && resp.received == 0 {
		resp.discard()
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
	complete := resp.received <= MaxBufferedBody
	conn.tracked.awaitIdle(!httpResp.Close && complete)
	conn.idleSince = time.Now()
	p.release(att.BackendID, conn, !httpResp.Close && complete)
	switch {
	case httpResp.StatusCode == http.StatusOK && complete:
		return balancer.OK, resp, load
	case httpResp.StatusCode == http.StatusOK:
		resp.Release()
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
	resp, body := &Response{Header: httpResp.Header}, io.LimitReader(httpResp.Body, MaxBufferedBody+1)
	var err error
	switch {
	case httpResp.StatusCode != http.StatusOK: // the client gets a reply of the agent
		resp.received, err = io.Copy(io.Discard, body)
	case att.OnStreamStart == nil:
		resp.Body, err = io.ReadAll(body)
		resp.received = int64(len(resp.Body))
	case httpResp.ContentLength < 0:
		err = p.readUnknownLength(att, httpResp, resp, done)
	case p.reserveBuffer(resp, httpResp.ContentLength):
		resp.Body = make([]byte, httpResp.ContentLength)
		_, err = io.ReadFull(httpResp.Body, resp.Body)
		resp.received = httpResp.ContentLength
	case httpResp.ContentLength > MaxStreamBytes:
		err = errTooLarge
	default:
		err = p.readFirstBytes(att, httpResp, resp)
	}
	return resp, err
}

// reserveBuffer reserves memory for a response of size bytes, and reports whether it is to be buffered. Otherwise it is
// streamed, because it is large or little memory is left.
func (p *Pool) reserveBuffer(resp *Response, size int64) bool {
	if size <= minBufferSize {
		return true
	}
	if size <= MaxBufferedBody {
		resp.memory = p.Memory.TryReserve(membudget.Spare, size)
	}
	return resp.memory != nil
}

// readUnknownLength reads a response that is delimited by chunks or by the end of its connection: to its end, or up to the size
// from which it is streamed, which depends on the memory that is left.
func (p *Pool) readUnknownLength(att *Attempt, httpResp *http.Response, resp *Response, done <-chan struct{}) error {
	limit := minBufferSize
	if p.reserveBuffer(resp, MaxBufferedBody) {
		limit = MaxBufferedBody
	}
	buf, free := p.Buffers.Get()
	buffered := bufferResponse(httpResp.Body, buf, done)
	body, more, err := buffered.readUpTo(limit, bufferingTimeout)
	resp.Body, resp.received = body, int64(len(body))
	if err != nil || !more {
		free()
		return err
	}
	resp.Stream = NewStream(buffered, httpResp.ContentLength, att.Cancel)
	resp.Stream.free = free
	return nil
}

// readFirstBytes reads the first bytes of a response of known length that is streamed.
func (p *Pool) readFirstBytes(att *Attempt, httpResp *http.Response, resp *Response) error {
	buf, free := p.Buffers.Get()
	n, err := 0, error(nil)
	for n == 0 && err == nil {
		n, err = httpResp.Body.Read(buf)
	}
	if n == 0 {
		free()
		return err
	}
	resp.Body, resp.received = buf[:n], int64(n)
	resp.Stream = NewStream(httpResp.Body, httpResp.ContentLength, att.Cancel) // returns a read error again
	resp.Stream.free = free
	return nil
}

// awaitStream passes a streaming response to OnStreamStart, waits until the stream is finished or the event loop has
// stopped, and releases the connection.
func (p *Pool) awaitStream(att *Attempt, conn *pooledConn, httpResp *http.Response, resp *Response) balancer.Result {
	defer resp.Stream.free()
	att.Latency = att.Elapsed()
	LimitKernelBuffers(conn.tracked.Conn)
	if !att.OnStreamStart(resp, att.Latency) {
		resp.Release()
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
