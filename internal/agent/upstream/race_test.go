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
	answer *Response
}

func (p *Pool) start(tr *Attempt) <-chan attemptResult { return p.startAt("s", tr) }

func (p *Pool) startAt(id string, tr *Attempt) <-chan attemptResult {
	done := make(chan attemptResult, 1)
	tr.BackendID, tr.Start = id, time.Now()
	if tr.Request == nil {
		tr.Request = &Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{"X-Trace-Id": {newID()}}}
	}
	go func() { r, a, _ := p.Execute(context.Background(), tr); done <- attemptResult{r, a} }()
	return done
}

func (r attemptResult) expect(t *testing.T, want balancer.Result, body string) {
	t.Helper()
	if r.Result != want || (r.answer != nil) != (want == balancer.OK) || r.answer != nil && string(r.answer.Body) != body {
		t.Errorf("result %v, answer %+v; want %v %q", r.Result, r.answer, want, body)
	}
}

// hookedGate is a residency policy that permits everything. The pool asks it right before a request's first byte, which
// lets a test do something at that moment.
type hookedGate struct{ hook func() }

func (k *hookedGate) RuleID(string, string) int { return 1 }
func (k *hookedGate) CountRefusal(int, int)     {}

func (k *hookedGate) Table() *gate.Table {
	k.hook()
	return &gate.Table{Permitted: [][]bool{nil, nil}, Restricted: []bool{false, false}}
}

// TestUnsolicitedBytesAreNoResponse: bytes that arrive before a request is written are no response to it, whenever they
// arrive. They are not served, the backend is not to blame, and the request is sent once, on another connection.
func TestUnsolicitedBytesAreNoResponse(t *testing.T) {
	for name, stray := range map[string]string{"a whole answer": okResponse("stray"), "half a line": "HTTP/1.", "a byte": "\n"} {
		// Each request is checked twice: before it is handed to net/http, and before its first byte is written.
		for when, at := range map[string]int{"with the first answer": -1, "while resting": 0,
			"between taking and handing over": 1, "between handing over and writing": 2} {
			t.Run(name+" "+when, func(t *testing.T) {
				s := startManualBackend(t)
				b := poolWithBackend(t, s.addr)
				keeper := &hookedGate{hook: func() {}}
				b.Residency = keeper
				first := b.start(&Attempt{})
				c := receive(t, "connection", s.conns)
				in := bufio.NewReader(c)
				readRequest(t, in)
				sent := stray
				if at >= 0 {
					sent = ""
				}
				writeText(t, c, okResponse("first")+sent)
				receive(t, "first answer", first).expect(t, balancer.OK, "first")
				asked := 0
				keeper.hook = func() {
					if asked++; asked == at {
						writeText(t, c, stray)
					}
				}
				if at == 0 {
					writeText(t, c, stray)
					eventually(t, "the stray bytes to be seen", func() bool {
						b.mu.Lock()
						defer b.mu.Unlock()
						return len(b.idle["s"]) == 1 && b.idle["s"][0].Err() != nil
					})
				}
				second := b.start(&Attempt{ResidencyRule: 1})
				other := receive(t, "second connection", s.conns)
				readRequest(t, bufio.NewReader(other))
				writeText(t, other, okResponse("second"))
				receive(t, "second answer", second).expect(t, balancer.OK, "second")
				if _, err := http.ReadRequest(in); err == nil {
					t.Error("the request went out on the first connection too")
				}
			})
		}
	}
}

// TestSettledConnectionIsPreferred: a connection that has been idle for settleTime is preferred. Once unsolicited bytes
// arrived, with a response or after it, no other is reused before a duplicate response would have arrived.
func TestSettledConnectionIsPreferred(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	b.settleTime, b.idleTimeout = 2*testTimeout, 8*testTimeout
	serve := func(c net.Conn, in *bufio.Reader, done <-chan attemptResult, text string) {
		readRequest(t, in)
		writeText(t, c, text)
		receive(t, "answer", done).expect(t, balancer.OK, "hello")
	}
	done := b.start(&Attempt{})
	one := receive(t, "connection", s.conns)
	inOne := bufio.NewReader(one)
	serve(one, inOne, done, okResponse("hello"))
	serve(one, inOne, b.start(&Attempt{}), okResponse("hello")) // the only one, and no unsolicited bytes were seen
	first := b.start(&Attempt{})
	readRequest(t, inOne)
	second := b.start(&Attempt{})
	two := receive(t, "second connection", s.conns)
	inTwo := bufio.NewReader(two)
	serve(two, inTwo, second, okResponse("hello"))
	writeText(t, one, okResponse("hello"))
	receive(t, "answer", first).expect(t, balancer.OK, "hello")
	b.mu.Lock()
	b.idle["s"][0].idleSince = time.Now().Add(-b.settleTime)
	rested := b.idle["s"][0].tracked.LocalAddr().String()
	b.mu.Unlock()
	c, in, other, inOther := one, inOne, two, inTwo
	if one.RemoteAddr().String() != rested {
		c, in, other, inOther = two, inTwo, one, inOne
	}
	serve(c, in, b.start(&Attempt{}), okResponse("hello"))
	serve(c, in, b.start(&Attempt{}), okResponse("hello")) // the most recently used, as none has settled
	serve(c, in, b.start(&Attempt{}), okResponse("hello")+"more")
	done = b.start(&Attempt{})
	three := receive(t, "third connection", s.conns)
	serve(three, bufio.NewReader(three), done, okResponse("hello"))
	b.mu.Lock()
	for _, c := range b.idle["s"] {
		c.idleSince = time.Now().Add(-b.settleTime)
	}
	b.idle["s"][1].idleSince = time.Now()
	b.mu.Unlock()
	serve(other, inOther, b.start(&Attempt{}), okResponse("hello")) // settled by now
}

// TestRejectedNewConnectionEvictsIdleOne: if a backend rejects a request on a new connection it has as many connections as
// it accepts: the balancer is told that the connection was new, and the pool closes the one that was idle longest.
func TestRejectedNewConnectionEvictsIdleOne(t *testing.T) {
	const never = "HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	full, other := startManualBackend(t), startManualBackend(t)
	b := poolWithBackend(t, full.addr)
	applyDelta(b, balancer.Backend{ID: "other"}, other.addr)
	try := func(id string, c func() (net.Conn, *bufio.Reader), text string, want balancer.Result,
		fresh bool) (net.Conn, *bufio.Reader) {
		tr := &Attempt{}
		done := b.startAt(id, tr)
		conn, in := c()
		readRequest(t, in)
		writeText(t, conn, text)
		if r := receive(t, "result", done); r.Result != want || tr.NewConn != fresh {
			t.Errorf("%s: result %v, new connection: %v", id, r.Result, tr.NewConn)
		}
		return conn, in
	}
	at := func(h *manualBackend) func() (net.Conn, *bufio.Reader) {
		return func() (net.Conn, *bufio.Reader) {
			c := receive(t, "connection", h.conns)
			return c, bufio.NewReader(c)
		}
	}
	c, in := try("s", at(full), okResponse("hello"), balancer.OK, true)
	try("other", at(other), okResponse("hello"), balancer.OK, true)
	try("s", func() (net.Conn, *bufio.Reader) { return c, in }, never, balancer.Rejected, false) // a full queue
	if len(b.idle["other"]) != 1 {
		t.Error("a connection was given up for a full queue")
	}
	b.mu.Lock()
	b.closeIdle("s")
	b.mu.Unlock()
	try("s", at(full), never, balancer.Rejected, true)
	if b.mu.Lock(); len(b.idle["other"]) != 0 {
		t.Error("no connection was given up")
	}
	b.mu.Unlock()
}

// TestConnectionClosedBeforeWriteIsReplaced: a connection that its backend closes right before the write is replaced.
func TestConnectionClosedBeforeWriteIsReplaced(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	keeper := &hookedGate{hook: func() {}}
	b.Residency = keeper
	first := b.start(&Attempt{})
	c := receive(t, "connection", s.conns)
	readRequest(t, bufio.NewReader(c))
	writeText(t, c, okResponse("first"))
	receive(t, "first answer", first).expect(t, balancer.OK, "first")
	asked := 0
	keeper.hook = func() {
		if asked++; asked == 2 {
			c.Close()
		}
	}
	second := b.start(&Attempt{ResidencyRule: 1})
	other := receive(t, "second connection", s.conns)
	readRequest(t, bufio.NewReader(other))
	writeText(t, other, okResponse("second"))
	receive(t, "second answer", second).expect(t, balancer.OK, "second")
}

// blockDials makes each dial wait until it is released.
func blockDials(b *Pool) (dialling chan struct{}, release chan struct{}) {
	dialling, release = make(chan struct{}, 16), make(chan struct{})
	dial := b.DialContext
	b.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		dialling <- struct{}{}
		<-release
		return c, err
	}
	return dialling, release
}

func applyDelta(b *Pool, m balancer.Backend, addr string) {
	u := discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{m}},
		Addrs: map[string]string{}}
	if addr != "" {
		u.Addrs[m.ID] = addr
	}
	b.ApplyUpdate(u)
}

// TestUpdateBeforeFirstByteStopsTheAttempt: an update that arrives while a connection is opened, or right before the first
// byte, applies. Nothing is sent to a backend that drains, is gone, has moved, is in another pod or was disabled; nothing
// for a request that was answered, and no retry after its window. Nothing was executed, and the request may go elsewhere.
func TestUpdateBeforeFirstByteStopsTheAttempt(t *testing.T) {
	for name, row := range map[string]struct {
		event func(b *Pool, tr *Attempt, over chan struct{}, addr string)
		want  balancer.Result
		kept  int // connections that may serve other requests
	}{
		"drains": {func(b *Pool, _ *Attempt, _ chan struct{}, addr string) {
			applyDelta(b, balancer.Backend{ID: "s", State: balancer.Draining}, addr)
		}, balancer.ConnectFailed, 0},
		"is gone": {func(b *Pool, _ *Attempt, _ chan struct{}, _ string) {
			applyDelta(b, balancer.Backend{ID: "s", State: balancer.Removed}, "")
		}, balancer.ConnectFailed, 0},
		"has moved": {func(b *Pool, _ *Attempt, _ chan struct{}, _ string) {
			applyDelta(b, balancer.Backend{ID: "s"}, "127.0.0.1:1")
		}, balancer.ConnectFailed, 0},
		"is in another pod": {func(b *Pool, _ *Attempt, _ chan struct{}, addr string) {
			applyDelta(b, balancer.Backend{ID: "s", Cell: 7}, addr)
		}, balancer.ConnectFailed, 1},
		"was detached": {func(b *Pool, _ *Attempt, _ chan struct{}, _ string) { b.SetDisabled("s", true) }, balancer.ConnectFailed, 0},
		"is over":      {func(_ *Pool, _ *Attempt, over chan struct{}, _ string) { close(over) }, balancer.NotSent, 1},
		"window over":  {func(_ *Pool, tr *Attempt, _ chan struct{}, _ string) { tr.WriteBy = time.Now() }, balancer.NotSent, 1},
		"nothing":      {func(*Pool, *Attempt, chan struct{}, string) {}, balancer.OK, 1},
	} {
		t.Run(name+" while dialled", func(t *testing.T) {
			s := startManualBackend(t)
			b := poolWithBackend(t, s.addr)
			dialling, release := blockDials(b)
			over := make(chan struct{})
			tr := &Attempt{RequestDone: over, Endpoint: b.Endpoint("s")}
			done := b.start(tr)
			receive(t, "dial", dialling)
			row.event(b, tr, over, s.addr)
			close(release)
			expectNotWritten(t, b, s, done, row.want, row.kept)
		})
		if name == "window over" || name == "nothing" {
			continue // that bound is passed with the request: TestRetryWriteEndsWithItsWindow
		}
		t.Run(name+" in the last moment", func(t *testing.T) {
			s := startManualBackend(t)
			b := poolWithBackend(t, s.addr)
			over := make(chan struct{})
			tr := &Attempt{RequestDone: over, Endpoint: b.Endpoint("s"), ResidencyRule: 1}
			asked := 0
			b.Residency = &hookedGate{hook: func() {
				if asked++; asked == 1 { // the first of two checks passes with this
					row.event(b, tr, over, s.addr)
				}
			}}
			expectNotWritten(t, b, s, b.start(tr), row.want, 0)
		})
	}
}

func expectNotWritten(t *testing.T, b *Pool, s *manualBackend, done <-chan attemptResult, want balancer.Result, kept int) {
	t.Helper()
	if want == balancer.OK {
		c := receive(t, "connection", s.conns)
		readRequest(t, bufio.NewReader(c))
		writeText(t, c, okResponse("hello"))
	}
	receive(t, "result", done).expect(t, want, "hello")
	if b.mu.Lock(); len(b.idle["s"]) != kept || b.openConns != kept {
		t.Errorf("%d connections kept, %d open", len(b.idle["s"]), b.openConns)
	}
	b.mu.Unlock()
	if want != balancer.OK {
		c := receive(t, "connection", s.conns)
		b.Close()
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Error("a byte went out")
		}
	}
}

// TestRetryWriteEndsWithItsWindow: a retry that its backend does not read is aborted when its window ends, unexecuted.
func TestRetryWriteEndsWithItsWindow(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	tr := &Attempt{WriteBy: time.Now().Add(100 * time.Millisecond),
		Request: &Request{Method: "POST", URL: &url.URL{Path: "/put/x"}, Header: http.Header{}, Body: make([]byte, MaxBufferedBody)}}
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil { // the kernel's buffer would take all of it
			conn := c.(*trackedConn)
			conn.Conn = blockedWriteConn{conn.Conn, make(chan time.Time, 4)}
		}
		return c, err
	}
	receive(t, "result", b.start(tr)).expect(t, balancer.ConnectFailed, "")
}

// blockedWriteConn takes the first part of a request and then blocks until its deadline.
type blockedWriteConn struct {
	net.Conn
	deadline chan time.Time
}

func (c blockedWriteConn) SetWriteDeadline(t time.Time) error { c.deadline <- t; return nil }

func (c blockedWriteConn) Write(p []byte) (int, error) {
	select {
	case at := <-c.deadline:
		time.Sleep(time.Until(at)) // as a socket whose buffer is full
		return len(p) / 2, context.DeadlineExceeded
	case <-time.After(2 * testTimeout):
		return len(p), nil // no deadline was set
	}
}
