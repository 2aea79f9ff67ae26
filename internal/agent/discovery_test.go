package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/upstream"
)

// TestCachedEndpointsServeUntilDiscoveryReturns: an agent that starts while discovery is down serves from its cached list. Once
// discovery is up again, the agent watches it and sends no new request to a backend that drains.
func TestCachedEndpointsServeUntilDiscoveryReturns(t *testing.T) {
	one := startRawBackend(t, func(int) string { return ok200 })
	two := startRawBackend(t, func(int) string { return ok200 })
	fake := startFakeDiscovery(t)
	a := startAgent(t, testConfig(t, testSetup{mode: "subscribe", discovery: fake.addr, servers: []discoveryMember{one.member("one")}}))
	close(receive(t, "watch", fake.watch).fail)
	if x := a.do("GET", "/_health", ""); x.status != 200 {
		t.Errorf("health check: %+v, want status 200", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || len(one.requestIDs) != 1 {
		t.Errorf("response %+v, want status 200 from the cached backend", x)
	}
	w := receive(t, "second watch", fake.watch)
	drained := one.member("one")
	drained.State = "draining"
	w.lines <- deltaLine(t, 42, drained, two.member("two"))
	eventually(t, "the endpoint update to be applied", func() bool {
		return a.pool.Endpoint("two") != nil
	})
	before := len(one.requestIDs)
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Errorf("response %+v, want status 200", x)
		}
	}
	// A request in flight during the update could go to the draining backend, but none was in flight.
	if n := len(one.requestIDs) - before; n != 0 {
		t.Errorf("%d requests went to the draining backend, want none", n)
	}
}

// TestAgentIsNotReadyWithoutBackends: an agent becomes ready with its first endpoint list.
func TestAgentIsNotReadyWithoutBackends(t *testing.T) {
	fake := startFakeDiscovery(t)
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, testConfig(t, testSetup{mode: "subscribe", discovery: fake.addr}))
	w := receive(t, "watch", fake.watch)
	if x := a.do("GET", "/_health", ""); x.status != 503 {
		t.Errorf("health check: %+v, want status 503", x)
	}
	w.lines <- deltaLine(t, 1, s.member("s"))
	eventually(t, "the health check to succeed", func() bool { return a.do("GET", "/_health", "").status == 200 })
}

// TestDiscoveryReloadDuringDrain: a reload changes the address of discovery while backend x drains according to the old list,
// and while the agent opens a connection to x for a request. If the new complete list omits x or lists x as draining, nothing
// is sent to x, whichever list arrives first, and the request goes to another backend. The agent ignores updates from the old
// address that it has not read yet. If the new list has x as ready, x is used again.
func TestDiscoveryReloadDuringDrain(t *testing.T) {
	for _, state := range []string{"", "draining", "ready"} { // in the new complete list; "": not listed
		for _, order := range []string{"drain, move, list", "move, drain, list", "move, list, stale update"} {
			t.Run(fmt.Sprintf("%q: %s", state, order), func(t *testing.T) {
				x, y := startManualBackend(t), startRawBackend(t, func(int) string { return ok200 })
				before, after := startFakeDiscovery(t), startFakeDiscovery(t)
				var dialling, release chan struct{}
				recorded, resume := make(chan int64, 100), make(chan struct{})
				now := make(chan time.Time)
				close(now)
				cfg := testConfig(t, testSetup{discovery: before.addr, servers: []discoveryMember{x.member("x")}})
				a := startWithHook(t, cfg, now, func(a *testAgent) {
					dialling, release = blockDials(a.pool)
					a.discovery.Record = func(_ string, list *discoveryList) { // the watcher reads nothing until Record returns
						if recorded <- list.Version; order == "move, list, stale update" && list.Version == 42 {
							<-resume
						}
					}
				})
				poolHas := func(state string) bool {
					endpointY := a.pool.Endpoint("y") // read first, so that x is from the same update or a later one
					endpointX := a.pool.Endpoint("x")
					return endpointY != nil && (endpointX != nil) == (state != "") &&
						(endpointX == nil || endpointX.Draining == (state == "draining"))
				}
				old := receive(t, "watch", before.watch)
				old.sendLine(t, deltaLine(t, 41, x.member("x")))
				receive(t, "first list", recorded)
				result := make(chan exchange, 1)
				go func() { result <- a.do("GET", "/get/x", "") }()
				receive(t, "dial", dialling)
				draining, listedX, list := x.member("x"), x.member("x"), []discoveryMember{y.member("y")}
				draining.State, listedX.State = "draining", state
				if state != "" {
					list = append(list, listedX)
				}
				fullList := listLine(t, discoveryList{Version: 7, Full: true, Endpoints: list})
				drain := func() { // long enough that the next line is read at once
					old.sendLine(t, strings.Repeat(" ", 1<<14)+deltaLine(t, 42, draining, y.member("y")))
					receive(t, "drain", recorded)
				}
				move := func() *fakeWatch {
					a.SetDiscoveryAddr(after.addr)
					w := receive(t, "watch at the new address", after.watch)
					if w.since != "0" {
						t.Errorf("the new watch starts at version %s of the old address, want 0", w.since)
					}
					return w
				}
				switch order {
				case "drain, move, list":
					drain()
					eventually(t, "the drain", func() bool { return poolHas("draining") })
					move().sendLine(t, fullList)
				case "move, drain, list":
					w := move()
					drain()
					eventually(t, "the drain", func() bool { return poolHas("draining") })
					w.sendLine(t, fullList)
				default:
					w := move()
					drain()
					w.sendLine(t, fullList)
					eventually(t, "the new list to be read", func() bool { _, waiting := countWatchGoroutines(); return waiting == 1 })
					staleUpdates := ""
					for v := range int64(30) { // an old watch that still ran would apply each update with an even chance
						staleUpdates += deltaLine(t, 43+v, x.member("x"))
					}
					old.sendLine(t, staleUpdates)
					eventually(t, "the stale updates to be read", func() bool { _, waiting := countWatchGoroutines(); return waiting == 2 })
					close(resume)
				}
				receive(t, "end of the old watch", old.disconnected)
				eventually(t, "the end of its goroutine", func() bool { all, _ := countWatchGoroutines(); return all <= 1 })
				close(release)
				if e := receive(t, "response", result); e.status != 200 || len(y.requestIDs) != 1 { // the request reaches y after the lists
					t.Errorf("response %+v, %d requests at the other backend; want status 200 and 1 request", e, len(y.requestIDs))
				}
				eventually(t, "the new list to be applied", func() bool { return poolHas(state) })
				connToX := receive(t, "connection", x.conns)
				if state == "ready" {
					done := startAttempt(a.pool, "x")
					readRequest(t, bufio.NewReader(connToX))
					writeText(t, connToX, okResponse("again"))
					receive(t, "result", done).expect(t, balancer.OK, "again")
					return
				}
				for range 10 {
					if e := a.do("GET", "/get/x", ""); e.status != 200 {
						t.Fatalf("response %+v, want status 200", e)
					}
				}
				if n, _ := connToX.Read(make([]byte, 1)); n != 0 || len(x.conns) != 0 {
					t.Errorf("%d bytes on the connection to x and %d further connections, want none", n, len(x.conns))
				}
			})
		}
	}
}

// blockDials makes each dial of the pool signal dialling and then wait until release is closed.
func blockDials(p *upstream.Pool) (dialling chan struct{}, release chan struct{}) {
	dialling, release = make(chan struct{}, 16), make(chan struct{})
	dial := p.DialContext
	p.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		dialling <- struct{}{}
		<-release
		return c, err
	}
	return dialling, release
}

type attemptResult struct {
	balancer.Result
	response *upstream.Response
}

// startAttempt starts an attempt at the backend's current endpoint and returns the channel of its result.
func startAttempt(p *upstream.Pool, id string) <-chan attemptResult {
	done := make(chan attemptResult, 1)
	att := &upstream.Attempt{BackendID: id, Start: time.Now(), Endpoint: p.Endpoint(id),
		Request: &upstream.Request{Method: "GET", URL: &url.URL{Path: "/get/x"}, Header: http.Header{"X-Trace-Id": {newID()}}}}
	go func() { r, a, _ := p.Execute(context.Background(), att); done <- attemptResult{r, a} }()
	return done
}

func (r attemptResult) expect(t *testing.T, want balancer.Result, body string) {
	t.Helper()
	if r.Result != want || (r.response != nil) != (want == balancer.OK) || r.response != nil && string(r.response.Body) != body {
		t.Errorf("result %v, response %+v; want %v %q", r.Result, r.response, want, body)
	}
}
