package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"martenbeam/internal/agent/clientconn"
	"martenbeam/internal/agent/handover"
)

// stopping is an agent that has been told to stop, and still accepts until accept is closed.
type stopping struct {
	*running
	accept chan time.Time
}

func startStopping(t *testing.T, answer func(int) string) (*stopping, *backend) {
	t.Helper()
	s := serveRaw(t, answer)
	accept := make(chan time.Time)
	return &stopping{startUntil(t, testConfig(t, setup{servers: []member{s.member("s")}}), accept), accept}, s
}

// stopNow stops the agent and returns once it takes no more than it must.
func (s *stopping) stopNow(t *testing.T) {
	t.Helper()
	s.stop()
	waitFor(t, "the stop", func() bool { return s.front.stopAt.Load() != 0 })
}

// ended waits for the agent's end, which leaves nothing behind.
func (s *stopping) ended(t *testing.T) {
	t.Helper()
	if err := receive(t, "end of the agent", s.done); err != nil {
		t.Error(err)
	}
	if n := s.listener.InUse(); n != 0 || s.front.conns != 0 || s.front.open.Load() != 0 {
		t.Errorf("left: %d slots, %d connections, %d requests", n, s.front.conns, s.front.open.Load())
	}
	waitFor(t, "the end of the connections to backends", func() bool {
		s.backends.mu.Lock()
		defer s.backends.mu.Unlock()
		return s.backends.open == 0
	})
}

func (s *stopping) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

func served(t *testing.T, c net.Conn) {
	t.Helper()
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || err != nil || string(body) != "hello" || !resp.Close {
		t.Errorf("%d %q, closes: %v, %v", resp.StatusCode, body, resp.Close, err)
	}
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("then %v, not the end", err)
	}
}

// What of a request has come when the agent is told to stop, and when it stops accepting, changes nothing: the rest comes,
// and it is answered whole. net/http's own shutdown drops a request whose header comes whole after it.
func TestRequestThatComesInPartsThroughTheStop(t *testing.T) {
	whole := fmt.Sprintf("POST /pay/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nContent-Length: 4\r\n\r\nbody", newID())
	for _, part := range []int{1, 20, len(whole) - 5, len(whole) - 2} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			a, s := startStopping(t, func(int) string { return ok200 })
			c := a.dial(t)
			write(t, c, whole[:part])
			waitFor(t, "the first part", func() bool { return a.front.anyone() && !a.idle() })
			a.stopNow(t)
			close(a.accept)
			waitFor(t, "the listener's close", func() bool { return a.listener.TCPListener.SetDeadline(time.Time{}) != nil })
			write(t, c, whole[part:])
			served(t, c)
			if receive(t, "request", s.seen); len(s.seen) != 0 {
				t.Error("sent on twice")
			}
			a.ended(t)
		})
	}
}

// idle reports whether no connection has part of a request.
func (s *stopping) idle() bool {
	for _, c := range s.front.waiting.Conns() {
		if c.(*clientconn.Conn).RequestInProgress() {
			return false
		}
	}
	return true
}

// A client that connects and is not accepted yet, since all descriptors are in use, has its request taken all the same: what
// is in the kernel's queue when a listener closes is reset.
func TestQueueIsEmptiedBeforeTheListenerCloses(t *testing.T) {
	hold := make(chan struct{})
	a, s := startStopping(t, func(n int) string {
		if n == 0 {
			<-hold
		}
		return ok200
	})
	a.listener.Reserve(a.listener.Size() - 1)
	first := a.dial(t)
	write(t, first, get("/get/x", ""))
	receive(t, "first request", s.seen)
	waitFor(t, "the wait for a descriptor", a.listener.Backlogged)
	queued := a.dial(t)
	write(t, queued, get("/get/x", ""))
	a.stopNow(t)
	for range 3 { // each in a step of its own, the first of which would have closed the listener
		a.accept <- time.Now()
	}
	close(hold)
	served(t, first)
	served(t, queued)
	a.listener.Reserve(1 - a.listener.Size())
	a.ended(t)
}

// A client that rests on its connection until the agent ends it, and one that sends in that moment, come anew.
func TestRestingClientsComeAnew(t *testing.T) {
	a, s := startStopping(t, func(int) string { return ok200 })
	c := a.dial(t)
	write(t, c, get("/get/x", ""))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	receive(t, "request", s.seen)
	a.stopNow(t)
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("not closed: %v", err)
	}
	_, _ = io.WriteString(c, get("/get/x", "")) // crosses the close: may fail, and is not sent on
	anew := a.dial(t)
	write(t, anew, get("/get/x", ""))
	served(t, anew)
	receive(t, "request", s.seen)
	close(a.accept)
	c.Close()
	a.ended(t)
	if len(s.seen) != 0 {
		t.Error("a request that crossed the close was sent on")
	}
}

// With every backend hanging, requests that came before the stop and after it get their answer before the platform kills.
func TestStopWithEveryBackendHanging(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := serveRaw(t, func(int) string { <-hold; return ok200 })
	cfg := testConfig(t, setup{servers: []member{s.member("s")}})
	accept := make(chan time.Time)
	a := &stopping{startUntil(t, cfg, accept), accept}
	a.stopIn = 500 * time.Millisecond // the platform's time: what comes after the stop waits no longer
	before := a.dial(t)
	write(t, before, get("/get/x", "X-Expires-In: 0.3\r\n"))
	receive(t, "request", s.seen)
	a.stopNow(t)
	after := a.dial(t)
	write(t, after, get("/get/x", "")) // its client would wait for a minute
	for _, c := range []net.Conn{before, after} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Errorf("%+v, %v", resp, err)
		}
		c.Close()
	}
	close(accept)
	a.ended(t)
}

// A second SIGTERM, or one that comes before the agent serves, changes nothing: what was taken is answered.
func TestStopBeforeReady(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	cfg := testConfig(t, setup{servers: []member{s.member("s")}})
	a, err := New(t.Context(), cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	stopped, stop := context.WithCancel(t.Context())
	stop() // before it serves
	accept := make(chan time.Time)
	a.accept = func() <-chan time.Time { return accept }
	r := &stopping{&running{Agent: a, done: make(chan error, 1)}, accept}
	c := r.dial(t) // in the kernel's queue
	write(t, c, get("/get/x", ""))
	go func() { r.done <- a.Run(stopped) }()
	served(t, c)
	stop()
	close(accept)
	r.ended(t)
}

// An operators' call that was taken when the agent stops has its answer.
func TestStopDuringAnOperatorsCall(t *testing.T) {
	a, err := New(t.Context(), withDoor(t, setup{servers: []member{{ID: "s", Addr: deadAddr(t), State: "ready"}}}), quiet)
	if err != nil {
		t.Fatal(err)
	}
	a.operations.AnswerTimeout = patience
	entered, release := make(chan struct{}), make(chan struct{})
	a.operations.Record = func(context.Context, handover.Call) error { close(entered); <-release; return nil }
	now := make(chan time.Time)
	close(now)
	a.accept = func() <-chan time.Time { return now }
	ctx, stop := context.WithCancel(t.Context())
	r := &running{Agent: a, done: make(chan error, 1)}
	go func() { r.done <- a.Run(ctx) }()
	answered := make(chan *http.Response, 1)
	go func() { answered <- knock(t, r, put("/_backends/detach", `{"target":"s"}`)) }()
	receive(t, "call", entered)
	stop()
	receive(t, "end of the loop", a.loop.stopped)
	close(release)
	if resp := receive(t, "answer", answered); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
	if err := receive(t, "end of the agent", r.done); err != nil {
		t.Error(err)
	}
}
