package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/agent/admin"
	"martenbeam/internal/agent/upstream"
)

// withAdmin returns a configuration with an admin listener.
func withAdmin(t *testing.T, s testSetup) *Config {
	cfg := testConfig(t, s)
	cfg.AdminAddr = "127.0.0.1:0"
	return cfg
}

// callAdmin sends text to the admin listener unchanged and returns the response. The agent has to close the connection.
func callAdmin(t *testing.T, a *testAgent, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", a.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || !resp.Close {
		t.Errorf("response: Connection: close is %v, reading the body failed with %v; want true and no error", resp.Close, err)
	}
	return resp
}

func putRequest(path, body string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// TestAdminCallStatusCodes: an accepted call gets a 2xx status, an invalid call 4xx, and no other status occurs.
func TestAdminCallStatusCodes(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, withAdmin(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	a.admin.AnswerTimeout = testTimeout // a slow machine must not look like a blocked event loop
	for _, row := range []struct {
		text string
		want int
	}{
		{"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		{putRequest("/_backends/detach", `{"target":"s"}`), 200},
		{putRequest("/_backends/detach", `{"target":"s"}`), 200},
		{"PUT /_backends/attach HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"8\r\n{\"target\r\n6\r\n\":\"s\"}\r\n0\r\n\r\n", 200},
		{putRequest("/_lameduck/on", ""), 200},
		{putRequest("/_lameduck/off", "{}"), 200},
		{putRequest("/_backends/detach", `{"target":"nobody"}`), 404},
		{putRequest("/_backends/attach", `{"target":"nobody"}`), 404},
		{putRequest("/_backends/detach", `{"target":""}`), 400},
		{putRequest("/_backends/detach", `{"target":7}`), 400},
		{putRequest("/_backends/detach", `{}`), 400},
		{putRequest("/_backends/detach", `null`), 400},
		{putRequest("/_backends/detach", `{"target":"s"`), 400},
		{putRequest("/_backends/detach", ""), 400},
		{putRequest("/_backends/detach", strings.Repeat(" ", 4<<10+1)), 413},
		{putRequest("/_backends", `{"target":"s"}`), 404},
		{putRequest("//_lameduck/on", ""), 404},
		{"GET /_lameduck/on HTTP/1.1\r\nHost: a\r\n\r\n", 405},
		{putRequest("/_ready", ""), 405},
		{"garbage\r\n\r\n", 400},
	} {
		resp := callAdmin(t, a, row.text)
		if resp.StatusCode != row.want || row.want == 405 && resp.Header.Get("Allow") == "" {
			t.Errorf("call %q: response %+v, want status %d", row.text, resp, row.want)
		}
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("request after the admin calls: %+v, want status 200", x)
	}
}

// TestIdleAdminConnectionsDoNotBlockCalls: an incomplete call has no effect, and idle connections do not keep other
// callers from connecting.
func TestIdleAdminConnectionsDoNotBlockCalls(t *testing.T) {
	s := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, withAdmin(t, testSetup{servers: []discoveryMember{s.member("s")}}))
	a.admin.AnswerTimeout = testTimeout
	half := putRequest("/_lameduck/on", "{}")
	for i := range 3 * maxAdminConns {
		c, err := net.Dial("tcp", a.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			if _, err := io.WriteString(c, half[:len(half)-1]); err != nil {
				t.Fatal(err)
			}
		}
	}
	if resp := callAdmin(t, a, putRequest("/_backends/detach", `{"target":"s"}`)); resp.StatusCode != 200 {
		t.Errorf("call while other connections are idle: %+v, want status 200", resp)
	}
	if a.loop.lameDuck.Load() {
		t.Error("an incomplete call took effect")
	}
}

// TestTimedOutAdminCallHasNoEffect: a call that the event loop does not receive in time fails and is not applied later.
func TestTimedOutAdminCallHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, testSetup{})
		l, err := newEventLoop(cfg, newClock(), upstream.New(cfg.poolConfig(), discardLog), discardLog)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), admin.DefaultAnswerTimeout)
		defer cancel()
		c := &adminCall{backend: "s", detach: true, replicated: true}
		if accepted, err := l.submitCall(ctx, c); accepted || err == nil {
			t.Errorf("accepted %v, error %v; want a timeout", accepted, err)
		}
		if l.enqueueCall(c); len(l.pending) > 0 {
			t.Error("a call that has failed was queued for the balancer")
		}
	})
}

// TestDetachBeforeFirstStepFindsBackend: a call that waits before the balancer's first step finds a backend of the cached
// list. The loop selects between two ready channels at random, so the test repeats.
func TestDetachBeforeFirstStepFindsBackend(t *testing.T) {
	for range 20 {
		one := startRawBackend(t, func(int) string { return ok200 })
		a, err := New(t.Context(), testConfig(t, testSetup{servers: []discoveryMember{one.member("one")}}), discardLog)
		if err != nil {
			t.Fatal(err)
		}
		a.loop.apply(endpointsUpdated{a.discovery.Restore(a.cfg.CachedEndpoints)})
		ctx, end := context.WithTimeout(t.Context(), testTimeout)
		ready, accepted := make(chan struct{}), make(chan bool)
		go func() {
			close(ready)
			ok, _ := a.loop.submitCall(ctx, &adminCall{backend: "one", detach: true})
			accepted <- ok
		}()
		<-ready
		runtime.Gosched() // the call is usually waiting afterwards
		go a.loop.run(ctx)
		if !<-accepted {
			t.Error("the balancer does not list the backend")
		}
		end()
		<-a.loop.stopped
		a.listener.Close()
		a.pool.Close()
	}
}

// TestDetachAndAttachOverAdminListener: a detached backend gets no requests until it is attached again.
func TestDetachAndAttachOverAdminListener(t *testing.T) {
	one := startRawBackend(t, func(int) string { return ok200 })
	two := startRawBackend(t, func(int) string { return ok200 })
	a := startAgent(t, withAdmin(t, testSetup{servers: []discoveryMember{one.member("one"), two.member("two")}}))
	a.admin.AnswerTimeout = testTimeout
	callAdmin(t, a, putRequest("/_backends/detach", `{"target":"one"}`))
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("request while one backend is detached: %+v, want status 200", x)
		}
	}
	if len(one.requestIDs) != 0 {
		t.Errorf("%d requests reached the detached backend, want none", len(one.requestIDs))
	}
	callAdmin(t, a, putRequest("/_backends/attach", `{"target":"one"}`))
	for requests := 0; len(one.requestIDs) == 0; requests++ {
		if requests > 80 {
			t.Fatal("the attached backend gets no requests")
		}
		<-two.requestIDs // keeps the channel's bounded buffer from filling up
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("request after the backend was attached: %+v, want status 200", x)
		}
	}
}

// TestAdminListenerHasItsOwnDescriptors: the descriptors of the admin listener are not shared with clients and backends.
// Without an admin listener no descriptors are reserved for it.
func TestAdminListenerHasItsOwnDescriptors(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	cfg.MaxDescriptors = 256
	if n := cfg.shareableDescriptors(); n != 256 {
		t.Errorf("%d descriptors to share without an admin listener, want 256", n)
	}
	cfg.AdminAddr = "127.0.0.1:0"
	if n := sharedDescriptors(cfg.shareableDescriptors()) + reservedDescriptors + maxAdminConns + 1; n != 256 {
		t.Errorf("%d descriptors in the sum of all parts, want 256", n)
	}
}
