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

// TestTruncatedResponseIsNeverServed: a truncated response is never passed on as complete. A request that must not be
// repeated fails; the balancer retries an idempotent one.
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

// TestNonIdempotentRequestIsNotRetried: such a request that may have been executed is neither sent again nor rejected.
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

// TestUnreachableBackendGivesRejection: a request that was not executed may be rejected, which permits a retry.
func TestUnreachableBackendGivesRejection(t *testing.T) {
	cfg := testConfig(t, testSetup{servers: []discoveryMember{
		{ID: "s", Addr: unusedAddr(t), Zone: "a", Kind: "m1", State: "ready"}}})
	a := startAgent(t, cfg)
	if x := a.do("POST", "/pay/x", ""); x.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", x)
	}
}

// TestUnresponsiveBackendGivesGatewayTimeout: if its backend is silent, a request is answered before its client stops waiting,
// with a status that says 'failed'.
func TestUnresponsiveBackendGivesGatewayTimeout(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := startRawBackend(t, func(int) string { <-hold; return "" })
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	if x := a.do("GET", "/get/x", "", "X-Expires-In", "2"); x.status != http.StatusGatewayTimeout {
		t.Errorf("%+v", x)
	}
}

// TestBackendDeadlineIsShorterThanClientDeadline: a backend is told less time than the client has left, by the time that the
// request travels. No delay on a busy machine may make it more.
func TestBackendDeadlineIsShorterThanClientDeadline(t *testing.T) {
	advertised := make(chan string, 1)
	ln := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		advertised <- r.Header.Get("X-Expires-In")
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	a := startAgent(t, testConfig(t, testSetup{servers: []discoveryMember{{ID: "s", Addr: ln.Addr().String(), State: "ready"}}}))
	const wait = 20.
	if x := a.do("GET", "/get/x", "", "X-Expires-In", fmt.Sprint(wait)); x.status != http.StatusOK {
		t.Fatalf("%+v", x)
	}
	most := wait - (upstream.TransitAllowance + a.cfg.Settings.Tick).Seconds()
	if s, err := strconv.ParseFloat(<-advertised, 64); err != nil || s <= 0 || s > most {
		t.Errorf("told of %v s of %v, at most %v may be: %v", s, wait, most, err)
	}
}

// TestExpiredRequestIsRejectedNotFailed: a retry of a client may have less time left than the next step is away. The
// balancer still rejects it, since it was not executed; once the loop failed it first, at the deadline itself.
func TestExpiredRequestIsRejectedNotFailed(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	cfg := testConfig(t, testSetup{servers: []discoveryMember{s.member("s")}})
	cfg.Settings.Tick, cfg.Settings.AnswerGrace = 100*time.Millisecond, 2*testTimeout
	a := startAgent(t, cfg)
	for range 3 { // the first may coincide with a step
		if x := a.do("GET", "/get/x", "", "X-Expires-In", "0.000001"); x.status != http.StatusServiceUnavailable {
			t.Errorf("%+v", x)
		}
	}
}

// TestClientDisconnectAbandonsRequest: when a client disconnects the balancer is told with Abandoned and the request ends;
// the outcome of its attempt still follows.
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
	receive(t, "request", s.seen)
	cancel()
	if err := receive(t, "end of the client", clientEnded); err == nil {
		t.Error("the client got an answer")
	}
	eventually(t, "request to be given up", func() bool { return a.frontend.openRequests.Load() == 0 })
	close(hold)
	if x := a.do("GET", "/get/y", ""); x.status != 200 {
		t.Errorf("next request: %+v", x)
	}
}

// TestDuplicateOpenRequestIDIsConflict: the balancer's actions could not tell two open requests with one id apart.
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
