package lab

// Connections of clients to their agents.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"martenbeam/internal/lab/check"
)

// clientConn is a connection of a client to its agent.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

var requestBuffers = sync.Pool{New: func() any { return new([]byte) }}

// sendAndReceive writes a request and reads the final answer. It returns the outcome, the wait that Retry-After requests, and
// whether the connection can be reused.
func (l *Lab) sendAndReceive(c *clientConn, req *clientRequest, id string) (answer check.Answer, wait time.Duration, reusable bool) {
	buf := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(buf)
	*buf = req.encode((*buf)[:0], id)
	timeout := req.timeout + answerGrace + 2*socketSlack
	cancels := req.cancelsAfter > 0 && req.cancelsAfter < timeout
	if cancels {
		timeout = req.cancelsAfter
	}
	_ = c.SetDeadline(time.Now().Add(timeout)) // fails only on a closed connection, which the write reports
	if _, err := c.Write(*buf); err != nil {
		return check.ClosedNew, 0, false // the request was not written completely
	}
	acceptedAt := l.now()
	l.mu.Lock()
	l.check.Accept(acceptedAt, id)
	l.mu.Unlock()
	c.used = true
	if _, err := c.reader.Peek(1); err != nil {
		return readErrorAnswer(err, cancels, check.ClosedNew), 0, false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return readErrorAnswer(err, cancels, check.Closed), 0, false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return readErrorAnswer(err, cancels, check.Closed), 0, false
	}
	answer, wait = classify(resp, string(body), id)
	return answer, wait, !resp.Close
}

// encode appends the request in HTTP/1.1 form to b.
func (req *clientRequest) encode(b []byte, id string) []byte {
	b = append(b, "POST "...)
	b = append(b, req.uri...)
	b = fmt.Appendf(b, " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Customer: %s\r\nCookie: sid=%s\r\nX-Expires-In: %.3f\r\n",
		id, tenants[req.tenant].name, req.sid, req.timeout.Seconds())
	if req.idempotencyKey != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", req.idempotencyKey)
	}
	if req.attempts > 0 {
		b = append(b, "X-Second-Try: 1\r\n"...)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(req.body))
	return append(b, req.body...)
}

// classify returns the outcome of a request with a complete final answer, and the wait that Retry-After requests.
func classify(resp *http.Response, body, id string) (check.Answer, time.Duration) {
	switch resp.StatusCode {
	case http.StatusOK:
		if !isServedBody(body, id) {
			return check.Foreign, 0
		}
		return check.Served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if the header is absent
		return check.Rejected, seconds(wait)
	}
	return check.Failed, 0
}

// readErrorAnswer returns the outcome of a request whose final answer could not be read because of err. closed is the outcome if
// the connection was closed. cancels reports that the client disconnects at the read deadline.
func readErrorAnswer(err error, cancels bool, closed check.Answer) check.Answer {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return closed
	case cancels:
		return check.Disconnected
	}
	return check.Unanswered
}

// getConn returns an idle connection to the agent, or a new one if none is idle. With fresh, it always opens a new one.
func (a *agent) getConn(fresh bool) (*clientConn, error) {
	a.mu.Lock()
	if a.closed { // another lab may already use the address
		a.mu.Unlock()
		return nil, net.ErrClosed
	}
	if n := len(a.idle); n > 0 && !fresh {
		c := a.idle[n-1]
		a.idle = a.idle[:n-1]
		a.mu.Unlock()
		return c, nil
	}
	a.mu.Unlock()
	c, err := net.DialTimeout("tcp4", a.listenAddr, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// putIdle keeps a connection for reuse.
func (a *agent) putIdle(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		c.Close()
		return
	}
	a.idle = append(a.idle, c)
}
