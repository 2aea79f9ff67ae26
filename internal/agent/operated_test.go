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

	"martenbeam/balancer"
	"martenbeam/internal/agent/admin"
)

// withDoor is a configuration whose agent has an operators' door.
func withDoor(t *testing.T, s setup) *Config {
	cfg := testConfig(t, s)
	cfg.Mgmt = "127.0.0.1:0"
	return cfg
}

// knock makes a call as it stands and returns the status and the headers.
func knock(t *testing.T, a *running, text string) *http.Response {
	t.Helper()
	c, err := net.Dial("tcp", a.operations.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
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
		t.Errorf("close %v, %v", resp.Close, err)
	}
	return resp
}

func put(path, body string) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// Yes is a 2xx; whatever can't be meant is a 4xx, and nothing else.
func TestCalls(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, withDoor(t, setup{servers: []member{s.member("s")}}))
	a.operations.AnswerTimeout = patience // a slow machine is no loop that hangs
	for _, row := range []struct {
		text string
		want int
	}{
		{"GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n", 200},
		{put("/_backends/detach", `{"target":"s"}`), 200},
		{put("/_backends/detach", `{"target":"s"}`), 200},
		{"PUT /_backends/attach HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n{\"target\r\n6\r\n\":\"s\"}\r\n0\r\n\r\n", 200},
		{put("/_lameduck/on", ""), 200},
		{put("/_lameduck/off", "{}"), 200},
		{put("/_backends/detach", `{"target":"nobody"}`), 404},
		{put("/_backends/attach", `{"target":"nobody"}`), 404},
		{put("/_backends/detach", `{"target":""}`), 400},
		{put("/_backends/detach", `{"target":7}`), 400},
		{put("/_backends/detach", `{}`), 400},
		{put("/_backends/detach", `null`), 400},
		{put("/_backends/detach", `{"target":"s"`), 400},
		{put("/_backends/detach", ""), 400},
		{put("/_backends/detach", strings.Repeat(" ", 4<<10+1)), 413},
		{put("/_backends", `{"target":"s"}`), 404},
		{put("//_lameduck/on", ""), 404},
		{"GET /_lameduck/on HTTP/1.1\r\nHost: a\r\n\r\n", 405},
		{put("/_ready", ""), 405},
		{"garbage\r\n\r\n", 400},
	} {
		resp := knock(t, a, row.text)
		if resp.StatusCode != row.want || row.want == 405 && resp.Header.Get("Allow") == "" {
			t.Errorf("%q: %+v, want %d", row.text, resp, row.want)
		}
	}
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("after all that: %+v", x)
	}
}

// Half a call does nothing, and callers that say nothing keep nobody out.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	a := start(t, withDoor(t, setup{servers: []member{s.member("s")}}))
	a.operations.AnswerTimeout = patience
	half := put("/_lameduck/on", "{}")
	for i := range 3 * operationsSockets {
		c, err := net.Dial("tcp", a.operations.Addr().String())
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
	if resp := knock(t, a, put("/_backends/detach", `{"target":"s"}`)); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	if a.loop.lame.Load() {
		t.Error("half a call was acted upon")
	}
}

// A call that the module can't take in time is a no, and does not take effect afterwards.
func TestCallInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(t, setup{})
		l, err := newLoop(cfg, newClock(), newBackends(cfg, quiet), quiet)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), admin.DefaultAnswerTimeout)
		defer cancel()
		c := &call{backend: "s", detach: true, carried: true}
		if taken, err := l.call(ctx, c); taken || err == nil {
			t.Errorf("taken %v, %v", taken, err)
		}
		if l.takeCall(c); len(l.pending) > 0 {
			t.Error("it takes effect after its no")
		}
	})
}

// What is being dialled when a backend is detached is not sent: nothing has run. Kept connections
// to it go, and what is out may finish.
func TestNothingIsWrittenToADetachedBackend(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	b := poolFor(t, s.addr)
	if r, _, _ := attemptAt(t, b, context.Background(), "one"); r != balancer.OK {
		t.Fatal(r)
	}
	b.detach("s", true)
	if b.open != 0 {
		t.Errorf("%d connections to the detached backend are kept", b.open)
	}
	b.detach("s", false)
	dial := b.transport.DialContext
	b.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		b.detach("s", true)
		return c, err
	}
	if r, _, _ := attemptAt(t, b, context.Background(), "two"); r != balancer.ConnectFailed || b.open != 0 {
		t.Errorf("result %v, %d connections open", r, b.open)
	}
	if r, _, _ := attemptAt(t, b, context.Background(), "three"); r != balancer.ConnectFailed || len(s.seen) != 1 {
		t.Errorf("result %v, %d requests reached the backend", r, len(s.seen))
	}
	b.detach("s", false)
	b.transport.DialContext = dial
	if r, _, _ := attemptAt(t, b, context.Background(), "four"); r != balancer.OK {
		t.Errorf("after the call back: %v", r)
	}
}

// A call that is there before the module's first step is for a backend that the agent knows. Which of two that are ready the
// loop takes first is chance, so it is tried often.
func TestDetachBeforeTheFirstStep(t *testing.T) {
	for range 20 {
		one := serveRaw(t, func(int) string { return ok200 })
		a, err := New(t.Context(), testConfig(t, setup{servers: []member{one.member("one")}}), quiet)
		if err != nil {
			t.Fatal(err)
		}
		a.loop.take(a.discovery.Restore(a.cfg.Known))
		ctx, end := context.WithTimeout(t.Context(), patience)
		ready, taken := make(chan struct{}), make(chan bool)
		go func() {
			close(ready)
			ok, _ := a.loop.call(ctx, &call{backend: "one", detach: true})
			taken <- ok
		}()
		<-ready
		runtime.Gosched() // it is at the loop's door most times
		go a.loop.run(ctx)
		if !<-taken {
			t.Error("nobody has the backend")
		}
		end()
		<-a.loop.stopped
		a.listener.Close()
		a.backends.close()
	}
}

// Yes to detach means that nothing goes there any more; the call back ends it.
func TestDetachOverTheDoor(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	a := start(t, withDoor(t, setup{servers: []member{one.member("one"), two.member("two")}}))
	a.operations.AnswerTimeout = patience
	knock(t, a, put("/_backends/detach", `{"target":"one"}`))
	for range 20 {
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("%+v", x)
		}
	}
	if len(one.seen) != 0 {
		t.Errorf("%d requests reached the detached backend", len(one.seen))
	}
	knock(t, a, put("/_backends/attach", `{"target":"one"}`))
	for tries := 0; len(one.seen) == 0; tries++ {
		if tries > 80 {
			t.Fatal("the backend was called back and is not used")
		}
		<-two.seen // which holds no more than the test may leave unread
		if x := a.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("%+v", x)
		}
	}
}

// A lame duck says no to whoever asks after its health, serves what comes, ends each connection with
// its answer, and closes those that stay idle; afterwards all is as it was.
func TestLameDuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dial := frontAt(t, testConfig(t, setup{}))
		refuseAll(t, f)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { f.empty(ctx); close(ended) }()
		defer func() { cancel(); <-ended }()
		idle, used := dial(), dial()
		askFor(t, idle, "/get/x", 503)
		askFor(t, used, "/get/x", 503)
		f.setLame(true)
		on := time.Now()
		askFor(t, dial(), "/_health", 503)
		askFor(t, used, "/get/x", 503)
		if _, at := endOf(used); at.Sub(on) > emptyIdle/2 {
			t.Errorf("a connection ended %v after its answer", at.Sub(on))
		}
		askFor(t, dial(), "/get/x", 503) // the front goes on sending for a while
		if _, at := endOf(idle); at.Sub(on) < emptyIdle || at.Sub(on) > 2*time.Second {
			t.Errorf("the idle connection was closed after %v", at.Sub(on))
		}
		f.setLame(false)
		askFor(t, dial(), "/_health", 200)
		kept := dial()
		askFor(t, kept, "/get/x", 503)
		time.Sleep(2 * emptyIdle)
		askFor(t, kept, "/get/x", 503)
	})
}

// The door's descriptors are nobody else's, and with no door nothing is set aside.
func TestDoorHasItsOwnDescriptors(t *testing.T) {
	cfg := testConfig(t, setup{})
	cfg.Sockets = 256
	if n := cfg.shareable(); n != 256 {
		t.Errorf("%d descriptors to share out with no door", n)
	}
	cfg.Mgmt = "127.0.0.1:0"
	if n := sharedSockets(cfg.shareable()) + ownSockets + operationsSockets + 1; n != 256 {
		t.Errorf("%d descriptors in all parts together, 256 are there", n)
	}
}
