package agent

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
	answer *response
}

func (p *upstreamPool) start(tr *attempt) <-chan attemptResult { return p.startAt("s", tr) }

func (p *upstreamPool) startAt(id string, tr *attempt) <-chan attemptResult {
	done := make(chan attemptResult, 1)
	tr.backendID, tr.start = id, time.Now()
	if tr.ctx == nil {
		tr.ctx = context.Background()
	}
	if tr.request == nil {
		tr.request = &upstreamRequest{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{"X-Trace-Id": {newID()}}}
	}
	go func() { r, a, _ := p.execute(tr); done <- attemptResult{r, a} }()
	return done
}

func (r attemptResult) expect(t *testing.T, want balancer.Result, body string) {
	t.Helper()
	if r.Result != want || (r.answer != nil) != (want == balancer.OK) || r.answer != nil && string(r.answer.body) != body {
		t.Errorf("result %v, answer %+v; want %v %q", r.Result, r.answer, want, body)
	}
}

// hookedGate is a residency policy that permits everything, and is asked right before a request's first byte: the moment
// to do something in.
type hookedGate struct{ hook func() }

func (k *hookedGate) RuleID(string, string) int { return 1 }
func (k *hookedGate) CountRefusal(int, int)     {}

func (k *hookedGate) Table() *gate.Table {
	k.hook()
	return &gate.Table{Permitted: [][]bool{nil, nil}, Restricted: []bool{false, false}}
}

// What comes on a connection before a request is written is no answer to it, whenever it comes: it is not served, the
// backend is not blamed, and the request goes out once, on another connection.
func TestUnsolicitedBytesAreNoResponse(t *testing.T) {
	for name, stray := range map[string]string{"a whole answer": okResponse("stray"), "half a line": "HTTP/1.", "a byte": "\n"} {
		// The check comes twice for a request: before it is handed to net/http, and before its first byte.
		for when, at := range map[string]int{"with the first answer": -1, "while resting": 0, "between taking and handing over": 1, "between handing over and writing": 2} {
			t.Run(name+" "+when, func(t *testing.T) {
				s := startManualBackend(t)
				b := poolWithBackend(t, s.addr)
				keeper := &hookedGate{hook: func() {}}
				b.residency = keeper
				first := b.start(&attempt{})
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
				second := b.start(&attempt{residencyRule: 1})
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

// A connection that has rested goes before one that has not, and once bytes came that nobody had asked for, with an answer or
// after it, no other is used again before a second answer had its time to come.
func TestSettledConnectionIsPreferred(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	b.settleTime, b.idleTimeout = 2*testTimeout, 8*testTimeout
	serve := func(c net.Conn, in *bufio.Reader, done <-chan attemptResult, text string) {
		readRequest(t, in)
		writeText(t, c, text)
		receive(t, "answer", done).expect(t, balancer.OK, "hello")
	}
	done := b.start(&attempt{})
	one := receive(t, "connection", s.conns)
	inOne := bufio.NewReader(one)
	serve(one, inOne, done, okResponse("hello"))
	serve(one, inOne, b.start(&attempt{}), okResponse("hello")) // it is the only one, and nothing is known against it
	first := b.start(&attempt{})
	readRequest(t, inOne)
	second := b.start(&attempt{})
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
	serve(c, in, b.start(&attempt{}), okResponse("hello"))
	serve(c, in, b.start(&attempt{}), okResponse("hello")) // the latest, where none has rested
	serve(c, in, b.start(&attempt{}), okResponse("hello")+"more")
	done = b.start(&attempt{})
	three := receive(t, "third connection", s.conns)
	serve(three, bufio.NewReader(three), done, okResponse("hello"))
	b.mu.Lock()
	for _, c := range b.idle["s"] {
		c.idleSince = time.Now().Add(-b.settleTime)
	}
	b.idle["s"][1].idleSince = time.Now()
	b.mu.Unlock()
	serve(other, inOther, b.start(&attempt{}), okResponse("hello")) // rested by now
}

// A new connection that is turned away says that its backend holds as many as it may: the module is told that it was new, and
// the agent gives up the one of its own that rested longest.
func TestRejectedNewConnectionEvictsIdleOne(t *testing.T) {
	const never = "HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
	full, other := startManualBackend(t), startManualBackend(t)
	b := poolWithBackend(t, full.addr)
	applyDelta(b, balancer.Backend{ID: "other"}, other.addr)
	try := func(id string, c func() (net.Conn, *bufio.Reader), text string, want balancer.Result, fresh bool) (net.Conn, *bufio.Reader) {
		tr := &attempt{}
		done := b.startAt(id, tr)
		conn, in := c()
		readRequest(t, in)
		writeText(t, conn, text)
		if r := receive(t, "result", done); r.Result != want || tr.newConn != fresh {
			t.Errorf("%s: result %v, new connection: %v", id, r.Result, tr.newConn)
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
	try("s", func() (net.Conn, *bufio.Reader) { return c, in }, never, balancer.Rejected, false) // a queue
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

// A connection that its backend closed in the moment of the write carries nothing, and blames nobody.
func TestConnectionClosedBeforeWriteIsReplaced(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	keeper := &hookedGate{hook: func() {}}
	b.residency = keeper
	first := b.start(&attempt{})
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
	second := b.start(&attempt{residencyRule: 1})
	other := receive(t, "second connection", s.conns)
	readRequest(t, bufio.NewReader(other))
	writeText(t, other, okResponse("second"))
	receive(t, "second answer", second).expect(t, balancer.OK, "second")
}

// blockDials has each dial wait, until it is released.
func blockDials(b *upstreamPool) (dialling chan struct{}, release chan struct{}) {
	dialling, release = make(chan struct{}, 16), make(chan struct{})
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		dialling <- struct{}{}
		<-release
		return c, err
	}
	return dialling, release
}

func applyDelta(b *upstreamPool, m balancer.Backend, addr string) {
	u := discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{m}}, Addrs: map[string]string{}}
	if addr != "" {
		u.Addrs[m.ID] = addr
	}
	b.applyUpdate(u)
}

// What is told while a connection comes up, or in the last moment before the first byte, holds: nothing goes to a backend
// that drains, is gone, has moved, is in another pod, or was detached; nothing for a request that is over, and no repeat past
// its window. Nothing has run, and the request may go elsewhere where there is more to be made of it.
func TestUpdateBeforeFirstByteStopsTheAttempt(t *testing.T) {
	for name, row := range map[string]struct {
		event func(b *upstreamPool, tr *attempt, over chan struct{}, addr string)
		want  balancer.Result
		kept  int // connections that may serve others
	}{
		"drains": {func(b *upstreamPool, _ *attempt, _ chan struct{}, addr string) {
			applyDelta(b, balancer.Backend{ID: "s", State: balancer.Draining}, addr)
		}, balancer.ConnectFailed, 0},
		"is gone": {func(b *upstreamPool, _ *attempt, _ chan struct{}, _ string) {
			applyDelta(b, balancer.Backend{ID: "s", State: balancer.Removed}, "")
		}, balancer.ConnectFailed, 0},
		"has moved": {func(b *upstreamPool, _ *attempt, _ chan struct{}, _ string) {
			applyDelta(b, balancer.Backend{ID: "s"}, "127.0.0.1:1")
		}, balancer.ConnectFailed, 0},
		"is in another pod": {func(b *upstreamPool, _ *attempt, _ chan struct{}, addr string) {
			applyDelta(b, balancer.Backend{ID: "s", Cell: 7}, addr)
		}, balancer.ConnectFailed, 1},
		"was detached": {func(b *upstreamPool, _ *attempt, _ chan struct{}, _ string) { b.setDisabled("s", true) }, balancer.ConnectFailed, 0},
		"is over":      {func(_ *upstreamPool, _ *attempt, over chan struct{}, _ string) { close(over) }, balancer.NotSent, 1},
		"window over":  {func(_ *upstreamPool, tr *attempt, _ chan struct{}, _ string) { tr.writeBy = time.Now() }, balancer.NotSent, 1},
		"nothing":      {func(*upstreamPool, *attempt, chan struct{}, string) {}, balancer.OK, 1},
	} {
		t.Run(name+" while dialled", func(t *testing.T) {
			s := startManualBackend(t)
			b := poolWithBackend(t, s.addr)
			dialling, release := blockDials(b)
			over := make(chan struct{})
			tr := &attempt{requestDone: over, endpoint: b.endpoint("s")}
			done := b.start(tr)
			receive(t, "dial", dialling)
			row.event(b, tr, over, s.addr)
			close(release)
			expectNotWritten(t, b, s, done, row.want, row.kept)
		})
		if name == "window over" || name == "nothing" {
			continue // that bound is handed over with the request: TestRetryWriteEndsWithItsWindow
		}
		t.Run(name+" in the last moment", func(t *testing.T) {
			s := startManualBackend(t)
			b := poolWithBackend(t, s.addr)
			over := make(chan struct{})
			tr := &attempt{requestDone: over, endpoint: b.endpoint("s"), residencyRule: 1}
			asked := 0
			b.residency = &hookedGate{hook: func() {
				if asked++; asked == 1 { // the first of two checks passes with this
					row.event(b, tr, over, s.addr)
				}
			}}
			expectNotWritten(t, b, s, b.start(tr), row.want, 0)
		})
	}
}

func expectNotWritten(t *testing.T, b *upstreamPool, s *manualBackend, done <-chan attemptResult, want balancer.Result, kept int) {
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
		b.close()
		if n, _ := c.Read(make([]byte, 1)); n != 0 {
			t.Error("a byte went out")
		}
	}
}

// A repeat that its backend does not read is given up when the window is over, and has not run.
func TestRetryWriteEndsWithItsWindow(t *testing.T) {
	s := startManualBackend(t)
	b := poolWithBackend(t, s.addr)
	tr := &attempt{writeBy: time.Now().Add(100 * time.Millisecond),
		request: &upstreamRequest{method: "POST", url: &url.URL{Path: "/put/x"}, header: http.Header{}, body: make([]byte, maxBufferedBody)}}
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err == nil { // the kernel would take all of it
			conn := c.(*trackedConn)
			conn.Conn = blockedWriteConn{conn.Conn, make(chan time.Time, 4)}
		}
		return c, err
	}
	receive(t, "result", b.start(tr)).expect(t, balancer.ConnectFailed, "")
}

// blockedWriteConn takes the first part of a request, and then waits for its deadline.
type blockedWriteConn struct {
	net.Conn
	deadline chan time.Time
}

func (c blockedWriteConn) SetWriteDeadline(t time.Time) error { c.deadline <- t; return nil }

func (c blockedWriteConn) Write(p []byte) (int, error) {
	select {
	case at := <-c.deadline:
		time.Sleep(time.Until(at)) // as a socket that takes no more
		return len(p) / 2, context.DeadlineExceeded
	case <-time.After(2 * testTimeout):
		return len(p), nil // no deadline was set
	}
}
