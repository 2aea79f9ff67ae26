package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/residency/gate"
)

type attemptResult struct {
	balancer.Result
	response *Response
}

// start executes att on backend s and returns the channel that receives the result.
func (p *Pool) start(att *Attempt) <-chan attemptResult { return p.startAt("s", att) }

// startAt executes att on the backend id and returns the channel that receives the result.
func (p *Pool) startAt(id string, att *Attempt) <-chan attemptResult {
	done := make(chan attemptResult, 1)
	att.BackendID, att.Start = id, time.Now()
	if att.Request == nil {
		att.Request = &Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{"X-Trace-Id": {newID()}}}
	}
	go func() { result, resp, _ := p.Execute(context.Background(), att); done <- attemptResult{result, resp} }()
	return done
}

// expect checks the result and, if want is OK, the body of the response.
func (r attemptResult) expect(t *testing.T, want balancer.Result, body string) {
	t.Helper()
	if r.Result != want || (r.response != nil) != (want == balancer.OK) || r.response != nil && string(r.response.Body) != body {
		t.Errorf("result %v, response %+v; want %v %q", r.Result, r.response, want, body)
	}
}

// hookedGate is a residency policy that permits everything. The pool reads its table right before a request's first byte,
// and hook lets a test act at that point.
type hookedGate struct{ hook func() }

func (g *hookedGate) RuleID(string, string) int { return 1 }
func (g *hookedGate) CountRefusal(int, int)     {}

func (g *hookedGate) Table() *gate.Table {
	g.hook()
	return &gate.Table{Permitted: [][]bool{nil, nil}, Restricted: []bool{false, false}}
}

// TestUnsolicitedBytesAreNoResponse: bytes that arrive before a request is written are not its response, no matter when
// they arrive. They are not served and do not count as a failure of the backend, and the request is sent once, on another
// connection.
func TestUnsolicitedBytesAreNoResponse(t *testing.T) {
	for name, unsolicited := range map[string]string{"complete response": okResponse("stray"), "part of a line": "HTTP/1.", "one byte": "\n"} {
		// Each request is checked twice: before it is passed to net/http, and before its first byte is written.
		for when, check := range map[string]int{"with the first response": -1, "while idle": 0,
			"during the check in Execute": 1, "during the check in Write": 2} {
			t.Run(name+" "+when, func(t *testing.T) {
				backend := startManualBackend(t)
				pool := poolWithBackend(t, backend.addr)
				hooked := &hookedGate{hook: func() {}}
				pool.Residency = hooked
				first := pool.start(&Attempt{})
				firstConn := receive(t, "connection", backend.conns)
				firstReader := bufio.NewReader(firstConn)
				readRequest(t, firstReader)
				extra := unsolicited
				if check >= 0 {
					extra = ""
				}
				writeText(t, firstConn, okResponse("first")+extra)
				receive(t, "first response", first).expect(t, balancer.OK, "first")
				checks := 0
				hooked.hook = func() {
					if checks++; checks == check {
						writeText(t, firstConn, unsolicited)
					}
				}
				if check == 0 {
					writeText(t, firstConn, unsolicited)
					eventually(t, "the connection to be closed after unsolicited bytes", func() bool {
						pool.mu.Lock()
						defer pool.mu.Unlock()
						return len(pool.idle["s"]) == 1 && pool.idle["s"][0].Err() != nil
					})
				}
				second := pool.start(&Attempt{ResidencyRule: 1})
				secondConn := receive(t, "second connection", backend.conns)
				readRequest(t, bufio.NewReader(secondConn))
				writeText(t, secondConn, okResponse("second"))
				receive(t, "second response", second).expect(t, balancer.OK, "second")
				if _, err := http.ReadRequest(firstReader); err == nil {
					t.Error("the request was also sent on the first connection")
				}
			})
		}
	}
}

// TestSettledConnectionIsPreferred: a connection that has been idle for settleTime is preferred. After unsolicited bytes,
// with a response or after it, no other connection is reused, since a duplicate response could still arrive on it.
func TestSettledConnectionIsPreferred(t *testing.T) {
	backend := startManualBackend(t)
	pool := poolWithBackend(t, backend.addr)
	pool.settleTime, pool.idleTimeout = 2*testTimeout, 8*testTimeout
	serve := func(c net.Conn, in *bufio.Reader, done <-chan attemptResult, text string) {
		readRequest(t, in)
		writeText(t, c, text)
		receive(t, "response", done).expect(t, balancer.OK, "hello")
	}
	done := pool.start(&Attempt{})
	one := receive(t, "connection", backend.conns)
	readerOne := bufio.NewReader(one)
	serve(one, readerOne, done, okResponse("hello"))
	serve(one, readerOne, pool.start(&Attempt{}), okResponse("hello")) // the only connection; no unsolicited bytes have arrived
	first := pool.start(&Attempt{})
	readRequest(t, readerOne)
	second := pool.start(&Attempt{})
	two := receive(t, "second connection", backend.conns)
	readerTwo := bufio.NewReader(two)
	serve(two, readerTwo, second, okResponse("hello"))
	writeText(t, one, okResponse("hello"))
	receive(t, "response", first).expect(t, balancer.OK, "hello")
	pool.mu.Lock()
	pool.idle["s"][0].idleSince = time.Now().Add(-pool.settleTime)
	settledAddr := pool.idle["s"][0].tracked.LocalAddr().String()
	pool.mu.Unlock()
	c, in, other, otherReader := one, readerOne, two, readerTwo
	if one.RemoteAddr().String() != settledAddr {
		c, in, other, otherReader = two, readerTwo, one, readerOne
	}
	serve(c, in, pool.start(&Attempt{}), okResponse("hello"))
	serve(c, in, pool.start(&Attempt{}), okResponse("hello")) // the most recently used one, as none has been idle for settleTime
	serve(c, in, pool.start(&Attempt{}), okResponse("hello")+"more")
	done = pool.start(&Attempt{})
	three := receive(t, "third connection", backend.conns)
	serve(three, bufio.NewReader(three), done, okResponse("hello"))
	pool.mu.Lock()
	for _, c := range pool.idle["s"] {
		c.idleSince = time.Now().Add(-pool.settleTime)
	}
	pool.idle["s"][1].idleSince = time.Now()
	pool.mu.Unlock()
	serve(other, otherReader, pool.start(&Attempt{}), okResponse("hello")) // idle for settleTime by now
}

// TestRejectedNewConnectionEvictsIdleOne: a backend that has reached its connection limit rejects a request on a new
// connection. The attempt reports that the connection was new, and the pool closes the connection that has been idle
// longest.
func TestRejectedNewConnectionEvictsIdleOne(t *testing.T) {
	const rejection = "HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	full, other := startManualBackend(t), startManualBackend(t)
	pool := poolWithBackend(t, full.addr)
	applyDelta(pool, balancer.Backend{ID: "other"}, other.addr)
	checkAttempt := func(id string, c func() (net.Conn, *bufio.Reader), text string, want balancer.Result,
		newConn bool) (net.Conn, *bufio.Reader) {
		att := &Attempt{}
		done := pool.startAt(id, att)
		conn, in := c()
		readRequest(t, in)
		writeText(t, conn, text)
		if r := receive(t, "result", done); r.Result != want || att.NewConn != newConn {
			t.Errorf("%s: result %v, new connection %v; want %v, %v", id, r.Result, att.NewConn, want, newConn)
		}
		return conn, in
	}
	accept := func(backend *manualBackend) func() (net.Conn, *bufio.Reader) {
		return func() (net.Conn, *bufio.Reader) {
			c := receive(t, "connection", backend.conns)
			return c, bufio.NewReader(c)
		}
	}
	c, in := checkAttempt("s", accept(full), okResponse("hello"), balancer.OK, true)
	checkAttempt("other", accept(other), okResponse("hello"), balancer.OK, true)
	checkAttempt("s", func() (net.Conn, *bufio.Reader) { return c, in }, rejection, balancer.Rejected, false) // the backend's queue is full
	if len(pool.idle["other"]) != 1 {
		t.Errorf("%d idle connections to other after a rejection on a reused connection, want 1", len(pool.idle["other"]))
	}
	pool.mu.Lock()
	pool.closeIdle("s")
	pool.mu.Unlock()
	checkAttempt("s", accept(full), rejection, balancer.Rejected, true)
	if pool.mu.Lock(); len(pool.idle["other"]) != 0 {
		t.Errorf("%d idle connections to other after a rejection on a new connection, want 0", len(pool.idle["other"]))
	}
	pool.mu.Unlock()
}

// TestConnectionClosedBeforeWriteIsReplaced: if the backend closes an idle connection right before the write, the attempt
// uses a new connection.
func TestConnectionClosedBeforeWriteIsReplaced(t *testing.T) {
	backend := startManualBackend(t)
	pool := poolWithBackend(t, backend.addr)
	hooked := &hookedGate{hook: func() {}}
	pool.Residency = hooked
	first := pool.start(&Attempt{})
	firstConn := receive(t, "connection", backend.conns)
	readRequest(t, bufio.NewReader(firstConn))
	writeText(t, firstConn, okResponse("first"))
	receive(t, "first response", first).expect(t, balancer.OK, "first")
	checks := 0
	hooked.hook = func() {
		if checks++; checks == 2 {
			firstConn.Close()
		}
	}
	second := pool.start(&Attempt{ResidencyRule: 1})
	secondConn := receive(t, "second connection", backend.conns)
	readRequest(t, bufio.NewReader(secondConn))
	writeText(t, secondConn, okResponse("second"))
	receive(t, "second response", second).expect(t, balancer.OK, "second")
}

// blockDials blocks each dial until release is closed. dialling receives a value for each dial.
func blockDials(pool *Pool) (dialling chan struct{}, release chan struct{}) {
	dialling, release = make(chan struct{}, 16), make(chan struct{})
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		dialling <- struct{}{}
		<-release
		return c, err
	}
	return dialling, release
}

// applyDelta applies an update of one backend; addr "": the backend is removed.
func applyDelta(pool *Pool, backend balancer.Backend, addr string) {
	update := discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{backend}},
		Addrs: map[string]string{}}
	if addr != "" {
		update.Addrs[backend.ID] = addr
	}
	pool.ApplyUpdate(update)
}

// TestUpdateBeforeFirstByteStopsTheAttempt: an update applies to an attempt if it arrives while the connection is opened or
// right before the first byte. Nothing is sent to a backend that drains, was removed, has a new address, is in another pod
// or was disabled, nothing for a request that has its final answer, and no retry after its window. Nothing was executed,
// so the request may be sent to another backend.
func TestUpdateBeforeFirstByteStopsTheAttempt(t *testing.T) {
	for name, row := range map[string]struct {
		event func(pool *Pool, att *Attempt, requestDone chan struct{}, addr string)
		want  balancer.Result
		kept  int // connections that are kept for other requests
	}{
		"drains": {func(pool *Pool, _ *Attempt, _ chan struct{}, addr string) {
			applyDelta(pool, balancer.Backend{ID: "s", State: balancer.Draining}, addr)
		}, balancer.ConnectFailed, 0},
		"removed": {func(pool *Pool, _ *Attempt, _ chan struct{}, _ string) {
			applyDelta(pool, balancer.Backend{ID: "s", State: balancer.Removed}, "")
		}, balancer.ConnectFailed, 0},
		"has a new address": {func(pool *Pool, _ *Attempt, _ chan struct{}, _ string) {
			applyDelta(pool, balancer.Backend{ID: "s"}, "127.0.0.1:1")
		}, balancer.ConnectFailed, 0},
		"is in another pod": {func(pool *Pool, _ *Attempt, _ chan struct{}, addr string) {
			applyDelta(pool, balancer.Backend{ID: "s", Cell: 7}, addr)
		}, balancer.ConnectFailed, 1},
		"disabled":          {func(pool *Pool, _ *Attempt, _ chan struct{}, _ string) { pool.SetDisabled("s", true) }, balancer.ConnectFailed, 0},
		"answered":          {func(_ *Pool, _ *Attempt, requestDone chan struct{}, _ string) { close(requestDone) }, balancer.NotSent, 1},
		"retry window over": {func(_ *Pool, att *Attempt, _ chan struct{}, _ string) { att.WriteBy = time.Now() }, balancer.NotSent, 1},
		"nothing":           {func(*Pool, *Attempt, chan struct{}, string) {}, balancer.OK, 1},
	} {
		t.Run(name+" during the dial", func(t *testing.T) {
			backend := startManualBackend(t)
			pool := poolWithBackend(t, backend.addr)
			dialling, release := blockDials(pool)
			requestDone := make(chan struct{})
			att := &Attempt{RequestDone: requestDone, Endpoint: pool.Endpoint("s")}
			done := pool.start(att)
			receive(t, "dial", dialling)
			row.event(pool, att, requestDone, backend.addr)
			close(release)
			expectOutcome(t, pool, backend, done, row.want, row.kept)
		})
		if name == "retry window over" || name == "nothing" {
			continue // startRequest sets WriteBy before the last check: see TestRetryWriteEndsWithItsWindow
		}
		t.Run(name+" before the first byte", func(t *testing.T) {
			backend := startManualBackend(t)
			pool := poolWithBackend(t, backend.addr)
			requestDone := make(chan struct{})
			att := &Attempt{RequestDone: requestDone, Endpoint: pool.Endpoint("s"), ResidencyRule: 1}
			checks := 0
			pool.Residency = &hookedGate{hook: func() {
				if checks++; checks == 1 { // the check in Execute; only the check in Write fails
					row.event(pool, att, requestDone, backend.addr)
				}
			}}
			expectOutcome(t, pool, backend, pool.start(att), row.want, 0)
		})
	}
}

// expectOutcome checks the result of an attempt and the number of connections kept. Unless want is OK, it also checks
// that no byte reached the backend; if want is OK, it serves the request.
func expectOutcome(t *testing.T, pool *Pool, backend *manualBackend, done <-chan attemptResult, want balancer.Result, kept int) {
	t.Helper()
	if want == balancer.OK {
		c := receive(t, "connection", backend.conns)
		readRequest(t, bufio.NewReader(c))
		writeText(t, c, okResponse("hello"))
	}
	receive(t, "result", done).expect(t, want, "hello")
	if pool.mu.Lock(); len(pool.idle["s"]) != kept || pool.openConns != kept {
		t.Errorf("%d connections idle, %d open; want %d of each", len(pool.idle["s"]), pool.openConns, kept)
	}
	pool.mu.Unlock()
	if want != balancer.OK {
		c := receive(t, "connection", backend.conns)
		pool.Close()
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Errorf("%d bytes reached the backend, want 0", n)
		}
	}
}

// TestRetryWriteEndsWithItsWindow: a retry that the backend does not read is aborted when the retry window ends, and was
// not executed.
func TestRetryWriteEndsWithItsWindow(t *testing.T) {
	backend := startManualBackend(t)
	pool := poolWithBackend(t, backend.addr)
	att := &Attempt{WriteBy: time.Now().Add(100 * time.Millisecond),
		Request: &Request{Method: "POST", URL: &url.URL{Path: "/put/x"}, Header: http.Header{}, Body: make([]byte, MaxBufferedBody)}}
	dial := pool.transport.DialContext
	pool.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil { // on a socket, the kernel's buffer would accept the complete request
			conn := c.(*trackedConn)
			conn.Conn = blockedWriteConn{conn.Conn, make(chan time.Time, 4)}
		}
		return c, err
	}
	receive(t, "result", pool.start(att)).expect(t, balancer.ConnectFailed, "")
}

// blockedWriteConn accepts half of a request and blocks until the write deadline.
type blockedWriteConn struct {
	net.Conn
	deadline chan time.Time
}

func (c blockedWriteConn) SetWriteDeadline(t time.Time) error { c.deadline <- t; return nil }

func (c blockedWriteConn) Write(p []byte) (int, error) {
	select {
	case at := <-c.deadline:
		time.Sleep(time.Until(at)) // like a socket whose buffer is full
		return len(p) / 2, context.DeadlineExceeded
	case <-time.After(2 * testTimeout):
		return len(p), nil // no deadline was set
	}
}
