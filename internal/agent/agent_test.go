package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/wire"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const testTimeout = 30 * time.Second

type (
	discoveryMember = discovery.Endpoint
	discoveryList   = discovery.EndpointList
)

var discardLog = slog.New(slog.DiscardHandler)

// settings has one class of each effect and deadlines long enough for a slow machine.
const settings = `{
 "Balancers": 1, "Me": 0, "Zone": 0, "Dcs": ["a", "b"], "Kinds": ["m1", "m2"], "MembershipMode": "%s",
 "TickMs": 1, "CountedBy": "request",
 "Profiles": [
  {"Name": "get", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "repeatable"},
  {"Name": "put", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "by_key", "Group": "all", "WindowMs": 60000},
  {"Name": "pay", "AimMs": 5000, "DeadlineMs": %[2]d, "Worth": 1, "Semantics": "once"}],
 "PolicyLimits": {"TryLimit": 3, "ConnectTimeoutMs": 10000, "IdleCloseMs": 60000, "MaxOpen": 1000,
  "RetryAfter": true, "MaxRetryAfterMs": 1500, "MayProbe": true, "Cancel": true, "SecondCopies": true},
 "Contract": {"AskWithinMs": 1000, "DrainGraceMs": 1000, "GraceToAnswerMs": 20, "ColdFrom": 0.5, "RampTimeMs": 1000, "FallMultiple": 3, "FallMs": 1000},
 "Goal": {"Whole": 1}, "Report": {"Source": "inline"}}`

type testSetup struct {
	mode      string // of discovery; "" is automatic
	deadline  int    // of all classes, ms; 0: 60 s
	discovery string
	servers   []discoveryMember
}

func testConfig(t *testing.T, s testSetup) *Config {
	t.Helper()
	if s.mode == "" {
		s.mode = "automatic"
	}
	if s.deadline == 0 {
		s.deadline = 60000
	}
	if s.discovery == "" {
		s.discovery = unusedAddr(t)
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    discoveryList{Version: 41, Full: true, Endpoints: s.servers},
		"settings": json.RawMessage(fmt.Sprintf(settings, s.mode, s.deadline)),
	})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(raw, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// unusedAddr is an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// testAgent is an agent under test.
type testAgent struct {
	*Agent
	baseURL string
	stop    context.CancelFunc
	ended   chan error
}

func startAgent(t *testing.T, cfg *Config) *testAgent {
	t.Helper()
	now := make(chan time.Time)
	close(now)
	return startWithAcceptWindow(t, cfg, now)
}

// startWithAcceptWindow runs an agent that, once stopped, takes connections until accept is closed.
func startWithAcceptWindow(t *testing.T, cfg *Config, accept <-chan time.Time) *testAgent {
	t.Helper()
	return startWithHook(t, cfg, accept, func(*testAgent) {})
}

// startWithHook runs an agent once something was done between its set-up and its start.
func startWithHook(t *testing.T, cfg *Config, accept <-chan time.Time, before func(*testAgent)) *testAgent {
	t.Helper()
	a, err := New(t.Context(), cfg, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &testAgent{Agent: a, baseURL: "http://" + a.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	a.discovery.HeartbeatTimeout, a.discovery.OpenTimeout = 2*testTimeout, 2*testTimeout              // a slow machine is no dead discovery
	a.frontend.server.ReadHeaderTimeout, a.frontend.server.IdleTimeout = 2*testTimeout, 2*testTimeout // nor a rude client
	a.frontend.bodyTimeout, a.frontend.maxBodyGap = 2*testTimeout, 2*testTimeout
	a.acceptWindow = func() <-chan time.Time { return accept }
	a.drainTimeout = 2 * testTimeout
	before(r)
	go func() { r.ended <- a.Run(ctx); close(r.ended) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-r.ended:
		case <-time.After(2 * testTimeout):
			t.Error("the agent did not stop")
		}
	})
	return r
}

// exchange is one client request to the agent: what came back, with its whole body.
type exchange struct {
	status int
	header http.Header
	body   string
	err    error
}

var ids struct {
	sync.Mutex
	n int
}

func newID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

func (a *testAgent) request(ctx context.Context, method, path, body string, headers ...string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, a.baseURL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", newID())
	for i := 0; i < len(headers); i += 2 {
		if req.Header.Del(headers[i]); headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return req, nil
}

func (a *testAgent) do(method, path, body string, headers ...string) exchange {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := a.request(ctx, method, path, body, headers...)
	if err != nil {
		return exchange{err: err}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return exchange{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return exchange{resp.StatusCode, resp.Header, string(text), err}
}

// fakeBackend is a server that answers with handle and counts what reached it.
type fakeBackend struct {
	addr string
	seen chan string // the id of each request that came whole
}

// startRawBackend runs a backend that reads each request whole and writes what answer says, byte for
// byte. An empty answer closes the connection, as does one that ends with it.
func startRawBackend(t *testing.T, answer func(n int) string) *fakeBackend {
	t.Helper()
	ln := listen(t)
	b := &fakeBackend{addr: ln.Addr().String(), seen: make(chan string, 100)}
	var mu sync.Mutex
	n := 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					mu.Lock()
					k := n
					n++
					mu.Unlock()
					b.seen <- req.Header.Get("X-Trace-Id")
					text := answer(k)
					ends := !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked")
					if _, err := io.WriteString(c, text); err != nil || ends || strings.Contains(text, "TRUNCATED") {
						return
					}
				}
			}()
		}
	}()
	return b
}

func (b *fakeBackend) member(id string) discoveryMember {
	return discoveryMember{ID: id, Addr: b.addr, Zone: "a", Kind: "m1", State: "ready", Weight: 1}
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func receive[T any](t *testing.T, what string, ch <-chan T) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// attemptOn makes one attempt at a backend, with no agent around it.
func attemptOn(t *testing.T, b *upstreamPool, ctx context.Context, body string) (balancer.Result, *response, balancer.Load) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "/put/x?q=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return b.executeBuffered(ctx, nil, "s", &upstreamRequest{method: http.MethodPost, url: req.URL, body: []byte(body),
		header: http.Header{"X-Trace-Id": {newID()}, "Idempotency-Key": {"k"}}})
}

func poolWithBackend(t *testing.T, addr string) *upstreamPool {
	t.Helper()
	b := newUpstreamPool(testConfig(t, testSetup{}), discardLog)
	t.Cleanup(b.close)
	b.settleTime = 0 // what comes on a connection that rests is another test's
	b.applyUpdate(discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: []balancer.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": addr}})
	return b
}

// Each row of the protocol's table of outcomes. What is taken for 'never ran' may be sent again
// or refused, so a wrong row can do an effect twice.
func TestAttemptResultFollowsOutcomeTable(t *testing.T) {
	for name, row := range map[string]struct {
		answer string
		want   balancer.Result
	}{
		"served":               {ok200, balancer.OK},
		"served in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", balancer.OK},
		"ended by its close":   {"HTTP/1.1 200 OK\r\n\r\nhello", balancer.OK},
		"error":                {"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"full":                 {"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		"already over":         {"HTTP/1.1 504 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		"503 without proof":    {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"504 without proof":    {"HTTP/1.1 504 X\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"500 is no proof":      {"HTTP/1.1 500 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"redirect":             {"HTTP/1.1 302 X\r\nLocation: /else\r\nContent-Length: 0\r\n\r\n", balancer.Errored},
		"closed unanswered":    {"", balancer.Reset},
		"broken in the header": {"HTTP/1.1 200 OK\r\nTRUNCATED", balancer.Reset},
		"truncated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED", balancer.Reset},
		"truncated chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nTRUNCATED\r\n", balancer.Reset},
		"no length, nothing":   {"HTTP/1.1 200 OK\r\n\r\n", balancer.Reset},
		"no HTTP":              {"TRUNCATED\r\n\r\n", balancer.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawBackend(t, func(int) string { return row.answer })
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			result, a, _ := attemptOn(t, poolWithBackend(t, s.addr), ctx, "body")
			if result != row.want || (a != nil) != (row.want == balancer.OK) {
				t.Errorf("result %v, answer %v; want %v", result, a, row.want)
			}
			if a != nil && string(a.body) != "hello" {
				t.Errorf("body %q", a.body)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	b := poolWithBackend(t, unusedAddr(t))
	if result, _, _ := attemptOn(t, b, context.Background(), ""); result != balancer.ConnectFailed {
		t.Errorf("result %v", result)
	}
	if b.openConns != 0 {
		t.Errorf("%d connections counted as open", b.openConns)
	}
}

// A backend that takes the request and says nothing: the attempt ends when the agent stops
// waiting, may have run, and its connection is not used again.
func TestTimedOutAttemptDropsItsConnection(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := startRawBackend(t, func(int) string { <-hold; return "" })
	b := poolWithBackend(t, s.addr)
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-s.seen; cancel(errTimedOut) }()
	if result, _, _ := attemptOn(t, b, ctx, ""); result != balancer.TimedOut {
		t.Errorf("result %v", result)
	}
	if b.openConns != 0 || len(b.idle["s"]) != 0 {
		t.Errorf("%d open, %d idle: the connection of a timed-out attempt was kept", b.openConns, len(b.idle["s"]))
	}
}

func TestCancelledAttemptIsReportedCancelled(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := startRawBackend(t, func(int) string { <-hold; return "" })
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() { <-s.seen; cancel(errCancelled) }()
	if result, _, _ := attemptOn(t, poolWithBackend(t, s.addr), ctx, ""); result != balancer.Cancelled {
		t.Errorf("result %v", result)
	}
}

// limitedWriteConn breaks after so many bytes of the request.
type limitedWriteConn struct {
	net.Conn
	remaining int
}

func (c *limitedWriteConn) Write(p []byte) (int, error) {
	if len(p) <= c.remaining {
		c.remaining -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.remaining])
	c.remaining = 0
	return n, errors.New("broken pipe")
}

// A connection that breaks before the request's last byte is written proves that nothing ran;
// one byte later it proves nothing.
func TestIncompleteWriteIsConnectFailed(t *testing.T) {
	ln := listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	for _, room := range []int{0, 10, 6000} {
		b := poolWithBackend(t, ln.Addr().String())
		dial := b.transport.DialContext
		b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err == nil {
				counted := c.(*trackedConn)
				counted.Conn = &limitedWriteConn{counted.Conn, room}
			}
			return c, err
		}
		if result, _, _ := attemptOn(t, b, context.Background(), strings.Repeat("x", 20000)); result != balancer.ConnectFailed {
			t.Errorf("broken after %d bytes: result %v", room, result)
		}
	}
}

// dyingConn stands for a connection that breaks while it is idle, unseen.
type dyingConn struct {
	net.Conn
	dead *atomic.Bool
}

func (c dyingConn) Write(p []byte) (int, error) {
	if c.dead.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// Ticket 8488: a kept connection that turns out dead before the request is written whole is no
// failed connect. The attempt goes out on a new one, once.
func TestDeadIdleConnectionIsReplacedByNewOne(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	var dead atomic.Bool
	dial, dials := b.transport.DialContext, 0
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if dials++; err == nil && dials == 1 {
			counted := c.(*trackedConn)
			counted.Conn = dyingConn{counted.Conn, &dead}
		}
		return c, err
	}
	if result, _, _ := attemptOn(t, b, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first: %v", result)
	}
	dead.Store(true)
	if result, _, _ := attemptOn(t, b, context.Background(), "two"); result != balancer.OK || dials != 2 {
		t.Errorf("second: %v after %d dials", result, dials)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the backend, 2 were asked for", n)
	}
	if b.openConns != 1 {
		t.Errorf("%d connections counted as open", b.openConns)
	}
}

// A request that ended before anything was sent leaves its connection as old as it was: the
// backend has seen nothing on it since.
func TestUnusedConnectionKeepsItsIdleTime(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	attemptOn(t, b, context.Background(), "")
	since := b.idle["s"][0].idleSince
	over := make(chan struct{})
	close(over)
	r, _, _ := b.executeBuffered(context.Background(), over, "s", &upstreamRequest{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}})
	if r != balancer.NotSent || len(b.idle["s"]) != 1 || b.idle["s"][0].idleSince != since {
		t.Errorf("result %v, %d idle", r, len(b.idle["s"]))
	}
}

// net/http's Transport sends a request again by itself when a reused connection turns out to be
// dead, also a POST that carries Idempotency-Key. That would be an attempt the module never
// asked for. Here the first request leaves a connection, which the backend closes without an
// answer to the second.
func TestStaleConnectionCausesNoImplicitResend(t *testing.T) {
	s := startRawBackend(t, func(n int) string { return []string{ok200, "", ok200}[n] })
	b := poolWithBackend(t, s.addr)
	if result, _, _ := attemptOn(t, b, context.Background(), "one"); result != balancer.OK {
		t.Fatalf("first: %v", result)
	}
	if len(b.idle["s"]) != 1 {
		t.Fatalf("%d idle connections after the first", len(b.idle["s"]))
	}
	if result, _, _ := attemptOn(t, b, context.Background(), "two"); result != balancer.Reset {
		t.Fatalf("second: %v", result)
	}
	if n := len(s.seen); n != 2 {
		t.Errorf("%d requests reached the backend, 2 were asked for", n)
	}
}

// A connection that has stood idle for nearly as long as backends allow is not used again: the
// request would cross the close.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	attemptOn(t, b, context.Background(), "")
	old := b.idle["s"][0]
	old.idleSince = time.Now().Add(-b.idleTimeout)
	attemptOn(t, b, context.Background(), "")
	if b.idle["s"][0] == old || b.openConns != 1 {
		t.Error("the old connection was used")
	}
	if b.idleTimeout >= b.cfg.Site.IdleClose {
		t.Errorf("idle connections are kept for %v, backends close at %v", b.idleTimeout, b.cfg.Site.IdleClose)
	}
}

// Under the descriptor limit the connection idle longest makes room; with none idle the attempt
// fails unsent.
func TestConnectionLimitEvictsIdleConnection(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(n int) string {
		if n == 1 {
			<-hold
		}
		return ok200
	})
	b := poolWithBackend(t, s.addr)
	b.applyUpdate(discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "t"}}},
		Addrs: map[string]string{"t": s.addr}})
	b.maxConns = 1
	attemptOn(t, b, context.Background(), "")
	<-s.seen
	done := make(chan balancer.Result)
	go func() {
		r, _, _ := b.executeBuffered(context.Background(), nil, "t", &upstreamRequest{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}})
		done <- r
	}()
	receive(t, "request to t", s.seen)
	if len(b.idle["s"]) != 0 {
		t.Error("no idle connection made room")
	}
	if r, _, _ := attemptOn(t, b, context.Background(), ""); r != balancer.ConnectFailed {
		t.Errorf("past the limit: %v", r)
	}
	close(hold)
	if r := receive(t, "result", done); r != balancer.OK {
		t.Errorf("held attempt: %v", r)
	}
}

// A new address under an old id is another process: the old connections go.
func TestAddressChangeClosesIdleConnections(t *testing.T) {
	one := startRawBackend(t, func(int) string { return ok200 })
	two := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, one.addr)
	attemptOn(t, b, context.Background(), "")
	b.applyUpdate(discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": two.addr}})
	if b.openConns != 0 {
		t.Errorf("%d connections to the old address are open", b.openConns)
	}
	if attemptOn(t, b, context.Background(), ""); len(one.seen) != 1 || len(two.seen) != 1 {
		t.Errorf("%d requests to the old address, %d to the new", len(one.seen), len(two.seen))
	}
}

// A connection that was in use while its backend moved leads to the old process: it is not kept.
func TestConnectionInUseIsClosedAfterAddressChange(t *testing.T) {
	hold := make(chan struct{})
	one := startRawBackend(t, func(int) string { <-hold; return ok200 })
	b := poolWithBackend(t, one.addr)
	done := make(chan balancer.Result, 1)
	go func() {
		r, _, _ := b.executeBuffered(context.Background(), nil, "s", &upstreamRequest{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}})
		done <- r
	}()
	receive(t, "request", one.seen)
	b.applyUpdate(discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "s"}}},
		Addrs: map[string]string{"s": unusedAddr(t)}})
	close(hold)
	if r := receive(t, "result", done); r != balancer.OK || b.openConns != 0 {
		t.Errorf("result %v, %d connections kept", r, b.openConns)
	}
}

func TestLoadReportIsParsedFromResponseHeader(t *testing.T) {
	s := startRawBackend(t, func(int) string {
		return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=2, eps=0.5, util=0.61\r\nContent-Length: 5\r\n\r\nhello"
	})
	_, _, load := attemptOn(t, poolWithBackend(t, s.addr), context.Background(), "")
	if want := wire.ParseLoad(map[string]float64{"backlog": 2, "errors_per_s": 0.5}); load != want {
		t.Errorf("load %+v, want %+v", load, want)
	}
}

func TestProbeReportsResultAndLoad(t *testing.T) {
	for status, want := range map[string]balancer.Result{"200 OK": balancer.OK, "503 X": balancer.Errored} {
		s := startRawBackend(t, func(int) string { return "HTTP/1.1 " + status + "\r\nContent-Length: 12\r\n\r\nTEXT queue=3" })
		b := poolWithBackend(t, s.addr)
		b.cfg.Site.LoadProbed = true
		if p := b.probe("s"); p.Result != want || p.Result == balancer.OK && p.Load.Queue != 3 {
			t.Errorf("%s: %+v", status, p)
		}
	}
}

// ---- The whole agent ----

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	ln := listen(t)
	got := make(chan *http.Request, 1)
	body := make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got <- r
		body <- string(text)
		w.Header().Set("X-Store", "7")
		fmt.Fprint(w, "stored")
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { server.Close() })
	b := &fakeBackend{addr: ln.Addr().String()}
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{b.member("s")}}))
	x := a.do("POST", "/put//x%2Fy?q=1;2&z", "form", "Idempotency-Key", "k1", "Cookie", "sid=1", "Connection", "X-Hop", "X-Hop", "1", "X-Expires-In", "40.5")
	if x.status != 200 || x.body != "stored" || x.header.Get("X-Store") != "7" {
		t.Fatalf("answer %+v", x)
	}
	r := receive(t, "request", got)
	if r.RequestURI != "/put//x%2Fy?q=1;2&z" || r.Method != "POST" || <-body != "form" {
		t.Errorf("%s %s", r.Method, r.RequestURI)
	}
	h := r.Header
	if h.Get("Idempotency-Key") != "k1" || h.Get("Cookie") != "sid=1" || h.Get("X-Trace-Id") == "" || h.Get("X-Hop") != "" {
		t.Errorf("header %v", h)
	}
	var left float64
	if _, err := fmt.Sscan(h.Get("X-Expires-In"), &left); err != nil || left <= 0 || left > 40.5 {
		t.Errorf("X-Expires-In %q", h.Get("X-Expires-In"))
	}
}

// A truncated 200 of a backend is never passed on as a whole one. A request that may not be
// repeated fails; a safe one is tried again by the module.
func TestTruncatedResponseIsNeverServed(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED"
	s := startRawBackend(t, func(n int) string { return []string{cut, cut, ok200}[n] })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway || strings.Contains(x.body, "TRUNCATED") {
		t.Errorf("unsafe: %+v", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || x.body != "hello" {
		t.Errorf("safe: %+v", x)
	}
}

// An unsafe request that may have run is neither sent again nor refused.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	s := startRawBackend(t, func(int) string { return "" })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 1 {
		t.Errorf("%d attempts", len(s.seen))
	}
}

// What never ran may be refused.
func TestUnreachableBackendGivesRejection(t *testing.T) {
	cfg := testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: unusedAddr(t), Zone: "a", Kind: "m1", State: "ready"}}})
	a := startAgent(t, cfg)
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", x)
	}
}

func TestRetryAfterHeaderIsCappedAndOptional(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	for _, row := range []struct {
		shown bool
		after time.Duration
		want  string
	}{{true, 250 * time.Millisecond, "0.250"}, {true, time.Minute, "1.500"}, {true, 0, ""}, {false, time.Second, ""}} {
		cfg.Settings.RetryAfter = row.shown
		w := newStatusRecorder()
		(&frontend{cfg: cfg}).writeReply(w, nil, reply{rejected: true, retryAfter: row.after})
		if w.status != 503 || w.header.Get("Retry-After") != row.want {
			t.Errorf("%+v: %d %q", row, w.status, w.header.Get("Retry-After"))
		}
	}
}

// A request whose backend is silent is answered before its client stops waiting, and says that
// it failed.
func TestSilentBackendGivesGatewayTimeout(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := startRawBackend(t, func(int) string { <-hold; return "" })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("GET", "/get/x", "", "X-Expires-In", "2"); x.status != http.StatusGatewayTimeout {
		t.Errorf("%+v", x)
	}
}

// A backend is told of less than the client waits, by what a request takes on its way: no delay of a busy machine can make it more.
func TestBackendDeadlineIsShorterThanClients(t *testing.T) {
	told := make(chan string, 1)
	ln := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { told <- r.Header.Get("X-Expires-In") })}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: ln.Addr().String(), State: "ready"}}}))
	const wait = 20.
	if x := a.do("GET", "/get/x", "", "X-Expires-In", fmt.Sprint(wait)); x.status != http.StatusOK {
		t.Fatalf("%+v", x)
	}
	most := wait - (transitAllowance + a.cfg.Settings.Tick).Seconds()
	if s, err := strconv.ParseFloat(<-told, 64); err != nil || s <= 0 || s > most {
		t.Errorf("told of %v s of %v, at most %v may be: %v", s, wait, most, err)
	}
}

// Where the module says nothing, the loop itself keeps the promise of one final answer.
func TestLoopAnswersWhenBalancerDoesNot(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	l, err := newEventLoop(cfg, newClock(), newUpstreamPool(cfg, discardLog), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now()
	l.apply(requestArrived{r})
	l.apply(deadlineExceeded{r})
	l.apply(deadlineExceeded{r}) // once only
	l.apply(clientDisconnected{r})
	if a := receive(t, "final answer", r.reply); !a.timedOut {
		t.Errorf("%+v", a)
	}
	if len(l.requests) != 0 || len(r.reply) != 0 {
		t.Errorf("%d requests, %d more answers", len(l.requests), len(r.reply))
	}
	if want := (balancer.Abandoned{Request: "1"}); !slices.Contains(l.pending, balancer.Event(want)) {
		t.Error("the module was not told")
	}
}

// A client's last try may have less time left than a step is away. The module answers it all the
// same, with a refusal, since nothing ran; the loop once failed it first, at the deadline itself.
func TestExpiredRequestIsRejectedNotFailed(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	cfg := testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}})
	cfg.Settings.Tick, cfg.Settings.AnswerGrace = 100*time.Millisecond, 2*testTimeout
	a := startAgent(t, cfg)
	for range 3 { // the first may meet a step that is due
		if x := a.do("GET", "/get/x", "", "X-Expires-In", "0.000001"); x.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", x)
		}
	}
}

// A request may be gone before the step that would have told the module how long it has left.
func TestRequestCancelledBeforeFirstStep(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	l, err := newEventLoop(cfg, newClock(), newUpstreamPool(cfg, discardLog), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now().Add(time.Minute)
	l.apply(requestArrived{r})
	l.apply(clientDisconnected{r})
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { l.run(ctx); close(done) }()
	next := newRequest("2", 0)
	next.deadline = time.Now().Add(time.Second)
	l.post(requestArrived{next})
	receive(t, "answer to the next request", next.reply)
	cancel()
	receive(t, "end of the loop", done)
}

// A request may end while a connection is being opened for it, as when its client hangs up.
// Nothing is sent for it then; the connection serves the next one.
func TestNothingIsSentForAnsweredRequest(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	b := poolWithBackend(t, s.addr)
	over := make(chan struct{})
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		close(over)
		return c, err
	}
	m := &upstreamRequest{method: "GET", url: &url.URL{Path: "/get/x"}, header: http.Header{}}
	if r, _, _ := b.executeBuffered(context.Background(), over, "s", m); r != balancer.NotSent {
		t.Errorf("result %v", r)
	}
	if r, _, _ := b.executeBuffered(context.Background(), nil, "s", m); r != balancer.OK || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
}

// A client that hangs up is told to the module as Abandoned, and its request ends; the attempt's
// outcome still comes.
func TestClientDisconnectAbandonsRequest(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := a.request(ctx, "GET", "/get/x", "")
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan error)
	go func() { _, err := http.DefaultClient.Do(req); gone <- err }()
	receive(t, "request", s.seen)
	cancel()
	if err := receive(t, "end of the client", gone); err == nil {
		t.Error("the client got an answer")
	}
	eventually(t, "request to be given up", func() bool { return a.frontend.openRequests.Load() == 0 })
	close(hold)
	if x := a.do("GET", "/get/y", ""); x.status != 200 {
		t.Errorf("next request: %+v", x)
	}
}

// eventually polls what has no channel to wait on.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Bad input gets a plain answer that says 'failed', and reaches no backend. A 429 or 503 would
// say that another try is harmless.
func TestInvalidRequestIsAnsweredWithError(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	for name, row := range map[string]struct {
		method, path, body string
		headers            []string
		want               int
	}{
		"unknown class":   {"GET", "/nothing", "", nil, 404},
		"no class":        {"GET", "/", "", nil, 404},
		"method":          {"POST", "/get/x", "", nil, 405},
		"no id":           {"GET", "/get/x", "", []string{"X-Trace-Id", ""}, 400},
		"no key":          {"POST", "/put/x", "", nil, 400},
		"time not number": {"GET", "/get/x", "", []string{"X-Expires-In", "soon"}, 400},
		"time NaN":        {"GET", "/get/x", "", []string{"X-Expires-In", "NaN"}, 400},
		"time infinite":   {"GET", "/get/x", "", []string{"X-Expires-In", "Inf"}, 400},
		"time negative":   {"GET", "/get/x", "", []string{"X-Expires-In", "-1"}, 400},
		"hint":            {"GET", "/get/x", "", []string{"X-Size-Hint", "1e99"}, 400},
		"large header":    {"GET", "/get/x", "", []string{"X-Long", strings.Repeat("x", 2*maxHeader)}, 431},
	} {
		if x := a.do(row.method, row.path, row.body, row.headers...); x.status != row.want {
			t.Errorf("%s: %+v, want %d", name, x, row.want)
		}
	}
	for name, text := range map[string]string{
		"garbage": "\x00\x01\x02\r\n\r\n",
		// The operators' page: bodies of up to 32 MB occur. Before, one past 64 KiB was turned away.
		"large body":  fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 3\r\nContent-Length: %d\r\n\r\nabc", maxStreamBytes+1),
		"bad length":  "POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: 1\r\nContent-Length: -5\r\n\r\n",
		"bad version": "GET /get/x HTTP/9.9\r\nHost: a\r\n\r\n",
		"no host":     "GET /get/x HTTP/1.1\r\nX-Trace-Id: 2\r\n\r\n",
	} {
		c, err := net.Dial("tcp", a.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode == 429 || resp.StatusCode == 503 {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
		c.Close()
	}
	if len(s.seen) != 0 {
		t.Errorf("%d requests reached the backend", len(s.seen))
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("after all that: %+v", x)
	}
}

// Two open requests with one id can't be told apart in the module's answers.
func TestDuplicateOpenRequestIDIsConflict(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	receive(t, "first request", s.seen)
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "same"); x.status != http.StatusConflict {
		t.Errorf("second: %+v", x)
	}
	close(hold)
	if x := receive(t, "first answer", first); x.status != 200 {
		t.Errorf("first: %+v", x)
	}
}

// SIGTERM with a request in flight: it is answered, connections between requests are closed,
// and Run ends without an error.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(n int) string {
		if n > 0 {
			<-hold
		}
		return ok200
	})
	accept := make(chan time.Time)
	a := startWithAcceptWindow(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}), accept)
	idle, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	in := bufio.NewReader(idle)
	ask := func(c net.Conn) {
		if _, err := fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
			t.Error(err)
		}
	}
	ask(idle)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	<-s.seen
	inFlight := make(chan exchange, 1)
	go func() { inFlight <- a.do("GET", "/get/x", "") }()
	receive(t, "request in flight", s.seen)
	a.stop()
	if err := idle.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection was not closed: %v", err)
	}
	lateOne := make(chan exchange, 1)
	go func() { lateOne <- a.do("GET", "/get/x", "") }()
	receive(t, "request after the stop", s.seen)
	close(accept)
	close(hold)
	for _, ch := range []chan exchange{inFlight, lateOne} {
		if x := receive(t, "answer", ch); x.status != 200 {
			t.Errorf("%+v", x)
		}
	}
	if err := receive(t, "end of the agent", a.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A connection that never sends anything must not hold up a planned restart, which closes such
// ones after a while. Those that have sent a request are left alone.
func TestSilentConnectionsAreClosedWhenIdle(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	busy := make(chan exchange, 1)
	go func() { busy <- a.do("GET", "/get/x", "") }()
	receive(t, "request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	eventually(t, "one silent connection", func() bool {
		a.frontend.mu.Lock()
		defer a.frontend.mu.Unlock()
		return len(a.frontend.idleConns.Conns()) == 1 && a.frontend.connCount == 2
	})
	a.frontend.idleConns.CloseIdle(0, 0)
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the silent connection was not closed: %v", err)
	}
	close(hold)
	if x := receive(t, "answer", busy); x.status != 200 {
		t.Errorf("%+v", x)
	}
}

// Past its part of the descriptors the agent holds no more requests and keeps no more
// connections; a refusal there is true, since nothing ran.
func TestRequestsOverLimitAreRejected(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	cfg := testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}})
	cfg.Site.MaxOpen = 1
	a := startAgent(t, cfg)
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "") }()
	receive(t, "first request", s.seen)
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET /get/y HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 503 || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
	close(hold)
	if x := receive(t, "first answer", first); x.status != 200 {
		t.Errorf("%+v", x)
	}
	if len(s.seen) != 0 {
		t.Error("the refused request was sent")
	}
}
