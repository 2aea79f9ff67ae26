package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
)

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
	x := a.do("POST", "/put//x%2Fy?q=1;2&z", "form", "Idempotency-Key", "k1", "Cookie", "sid=1",
		"Connection", "X-Hop", "X-Hop", "1", "X-Expires-In", "40.5")
	if x.status != 200 || x.body != "stored" || x.header.Get("X-Store") != "7" {
		t.Fatalf("response %+v, want status 200, body \"stored\" and X-Store: 7", x)
	}
	r := receive(t, "request", got)
	if r.RequestURI != "/put//x%2Fy?q=1;2&z" || r.Method != "POST" || <-body != "form" {
		t.Errorf("the backend got %s %s; want POST /put//x%%2Fy?q=1;2&z with the body \"form\"", r.Method, r.RequestURI)
	}
	h := r.Header
	if h.Get("Idempotency-Key") != "k1" || h.Get("Cookie") != "sid=1" || h.Get("X-Trace-Id") == "" || h.Get("X-Hop") != "" {
		t.Errorf("the backend got header %v; want Idempotency-Key, Cookie and X-Trace-Id, but no X-Hop", h)
	}
	var left float64
	if _, err := fmt.Sscan(h.Get("X-Expires-In"), &left); err != nil || left <= 0 || left > 40.5 {
		t.Errorf("the backend got X-Expires-In %q, want a number above 0 and up to 40.5", h.Get("X-Expires-In"))
	}
}

// TestTruncatedResponseIsNeverServed: the agent never forwards a truncated response as complete. A non-idempotent request
// fails; the balancer retries an idempotent request.
func TestTruncatedResponseIsNeverServed(t *testing.T) {
	truncated := "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nTRUNCATED"
	s := startRawBackend(t, func(n int) string { return []string{truncated, truncated, ok200}[n] })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway || strings.Contains(x.body, "TRUNCATED") {
		t.Errorf("non-idempotent request: %+v, want status 502 and no truncated body", x)
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 || x.body != "hello" {
		t.Errorf("idempotent request: %+v, want status 200 and body \"hello\"", x)
	}
}

// TestNonIdempotentRequestIsNotRetried: a non-idempotent request that may have been executed is neither retried nor rejected.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	s := startRawBackend(t, func(int) string { return "" })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusBadGateway {
		t.Errorf("response %+v, want status 502", x)
	}
	if len(s.requestIDs) != 1 {
		t.Errorf("%d attempts, want 1", len(s.requestIDs))
	}
}

// TestUnreachableBackendGivesRejection: a request that was not executed may be rejected, which permits a retry.
func TestUnreachableBackendGivesRejection(t *testing.T) {
	cfg := testConfig(t, testSetup{servers: []discoveryMember{
		{ID: "s", Addr: unusedAddr(t), Zone: "a", Kind: "m1", State: "ready"}}})
	a := startAgent(t, cfg)
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusServiceUnavailable {
		t.Errorf("response %+v, want status 503", x)
	}
}

// TestUnresponsiveBackendGivesGatewayTimeout: if the backend does not respond, the client still gets a reply before its
// deadline, with a status that means 'failed'.
func TestUnresponsiveBackendGivesGatewayTimeout(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := startRawBackend(t, func(int) string { <-hold; return "" })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("GET", "/get/x", "", "X-Expires-In", "2"); x.status != http.StatusGatewayTimeout {
		t.Errorf("response %+v, want status 504", x)
	}
}

// TestBackendDeadlineIsShorterThanClientDeadline: a backend gets a shorter deadline than the client has, by at least
// upstream.TransitAllowance and one tick, however long a busy machine delays the request.
func TestBackendDeadlineIsShorterThanClientDeadline(t *testing.T) {
	advertised := make(chan string, 1)
	ln := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		advertised <- r.Header.Get("X-Expires-In")
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: ln.Addr().String(), State: "ready"}}}))
	const clientDeadline = 20.
	if x := a.do("GET", "/get/x", "", "X-Expires-In", fmt.Sprint(clientDeadline)); x.status != http.StatusOK {
		t.Fatalf("response %+v, want status 200", x)
	}
	maxDeadline := clientDeadline - (upstream.TransitAllowance + a.cfg.Settings.Tick).Seconds()
	if s, err := strconv.ParseFloat(<-advertised, 64); err != nil || s <= 0 || s > maxDeadline {
		t.Errorf("the backend got a deadline of %v s, the client has %v s; want at most %v s; error %v", s, clientDeadline, maxDeadline, err)
	}
}

// TestExpiredRequestIsRejectedNotFailed: a client's retry may reach its deadline before the balancer's next step. The balancer
// still has to reject this request, because no backend has executed it. In a past fault the event loop failed such a request
// at its deadline, before the balancer's step.
func TestExpiredRequestIsRejectedNotFailed(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	cfg := testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}})
	cfg.Settings.Tick, cfg.Settings.AnswerGrace = 100*time.Millisecond, 2*testTimeout
	a := startAgent(t, cfg)
	for range 3 { // the first request may coincide with a step
		if x := a.do("GET", "/get/x", "", "X-Expires-In", "0.000001"); x.status != http.StatusServiceUnavailable {
			t.Errorf("response to an expired request: %+v, want status 503", x)
		}
	}
}

// TestClientDisconnectAbandonsRequest: when a client disconnects, its request ends with balancer.Abandoned before the attempt
// has an outcome. This outcome, which arrives later, does not keep the agent from serving the next request.
func TestClientDisconnectAbandonsRequest(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := a.request(ctx, "GET", "/get/x", "")
	if err != nil {
		t.Fatal(err)
	}
	clientEnded := make(chan error)
	go func() { _, err := http.DefaultClient.Do(req); clientEnded <- err }()
	receive(t, "request", s.requestIDs)
	cancel()
	if err := receive(t, "end of the client's request", clientEnded); err == nil {
		t.Error("the cancelled request got a response")
	}
	eventually(t, "the request to be abandoned", func() bool { return a.frontend.openRequests.Load() == 0 })
	close(hold)
	if x := a.do("GET", "/get/y", ""); x.status != 200 {
		t.Errorf("next request: %+v, want status 200", x)
	}
}

// TestAbandonedRequestKeepsItsMemoryReserved: the memory of a request stays reserved after its client has disconnected, until its
// attempt ends. Guards against an agent that admits more than it has memory for, while backends hang and clients leave.
func TestAbandonedRequestKeepsItsMemoryReserved(t *testing.T) {
	const bodySize = 50_000
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	c := dialRawClient(t, a)
	c.send(postHeader("/pay/x", fmt.Sprintf("Content-Length: %d\r\n", bodySize)) + pattern(bodySize))
	receive(t, "request", s.requestIDs)
	c.Close()
	eventually(t, "the connection to end", a.frontend.noConnections)
	if used := a.pool.Memory.Used(); used < bodySize+membudget.RequestMemory {
		t.Errorf("%d bytes reserved while the attempt is open, want its request's %d", used, bodySize+membudget.RequestMemory)
	}
	close(hold)
	eventually(t, "the request's memory to be released", func() bool { return a.pool.Memory.Used() < bodySize })
}

// TestDuplicateOpenRequestIDIsConflict: a request whose id is in use gets 409, because the balancer's actions identify an
// open request by its id.
func TestDuplicateOpenRequestIDIsConflict(t *testing.T) {
	hold := make(chan struct{})
	s := startRawBackend(t, func(int) string { <-hold; return ok200 })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	first := make(chan exchange, 1)
	go func() { first <- a.do("GET", "/get/x", "", "X-Trace-Id", "same") }()
	receive(t, "first request", s.requestIDs)
	if x := a.do("GET", "/get/x", "", "X-Trace-Id", "same"); x.status != http.StatusConflict {
		t.Errorf("second request: %+v, want status 409", x)
	}
	close(hold)
	if x := receive(t, "first response", first); x.status != 200 {
		t.Errorf("first request: %+v, want status 200", x)
	}
}
