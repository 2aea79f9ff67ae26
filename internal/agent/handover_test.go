package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/agent/admin"
	"martenbeam/internal/agent/handover"
)

// descriptor is a further descriptor of a socket, as a process inherits it.
func descriptor(t *testing.T, socket interface{ File() (*os.File, error) }) int {
	t.Helper()
	f, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	keep, err := dup(f)
	if err != nil {
		t.Fatal(err)
	}
	return keep
}

// upgradable is a configuration of one of the processes of an agent: they share a listener and a
// directory.
func upgradable(t *testing.T, ln net.Listener, dir string, s setup) *Config {
	t.Helper()
	cfg := withDoor(t, s)
	cfg.ListenFD, cfg.Scratch = descriptor(t, ln.(*net.TCPListener)), dir
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	return cfg
}

// One process takes the clients over from another that serves: what the older one was told holds, no
// request is turned back, and the older one ends.
func TestUpgrade(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	servers := []member{one.member("one"), two.member("two")}
	ln, dir := listen(t), t.TempDir()
	older := start(t, upgradable(t, ln, dir, setup{servers: servers}))
	older.operations.AnswerTimeout = patience
	waitFor(t, "the older one to take clients", older.front.taking.Load)
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	in := bufio.NewReader(client)
	ask := func() *http.Response {
		if _, err := fmt.Fprintf(client, "GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if resp := ask(); resp.StatusCode != 200 || resp.Close {
		t.Fatalf("%+v", resp)
	}
	knock(t, older, put("/_backends/detach", `{"target":"one"}`))
	before := len(one.seen)

	younger := start(t, upgradable(t, ln, dir, setup{servers: servers}))
	younger.operations.AnswerTimeout = patience
	waitFor(t, "the younger one to take clients", younger.front.taking.Load)
	if resp := knock(t, younger, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); resp.StatusCode != 200 {
		t.Errorf("not ready: %+v", resp)
	}
	older.stop()
	waitFor(t, "the older one to stop accepting", func() bool { return older.front.stopAt.Load() != 0 })
	if resp := knock(t, older, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("the older one says it is ready: %+v", resp)
	}
	if resp := ask(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a request on a kept connection: %+v", resp)
	}
	if err := receive(t, "end of the older one", older.done); err != nil {
		t.Error(err)
	}
	for range 20 {
		if x := younger.do("GET", "/get/x", ""); x.status != 200 {
			t.Fatalf("%+v", x)
		}
	}
	if n := len(one.seen); n != before {
		t.Errorf("%d requests reached a backend that is detached", n-before)
	}
	half := backendSockets(younger.cfg.halved().shareable())
	waitFor(t, "the younger one to use the whole limits", func() bool {
		younger.backends.mu.Lock()
		defer younger.backends.mu.Unlock()
		return younger.backends.most > half
	})
}

// Two processes together stay within what one may hold.
func TestTwoProcessesShareTheDescriptors(t *testing.T) {
	for _, limit := range []int{256, 384, 512, 1024} {
		for _, mgmt := range []string{"", "127.0.0.1:1"} {
			half := (&Config{Sockets: limit, MemoryMB: 64, Mgmt: mgmt}).halved()
			sum := 2 * (ownSockets + acceptSockets(half.shareable()) + backendSockets(half.shareable()))
			if mgmt != "" {
				sum += 2 * (operationsSockets + 1)
			}
			if sum > limit || half.MemoryMB != 32 {
				t.Errorf("%d descriptors in two processes, %d are there; %d MB each of 64", sum, limit, half.MemoryMB)
			}
		}
	}
}

// While the older process holds the peers' address the younger waits for it.
func TestPeersAddressIsTakenOver(t *testing.T) {
	cfg := testConfig(t, setup{})
	held, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.PeerListen = held.LocalAddr().String()
	over, cancel := context.WithCancel(t.Context())
	cancel() // nobody waits for the address
	if _, err := newPeers(over, cfg, quiet); err == nil {
		t.Error("with no handover a held address is no error")
	}
	cfg.ListenFD = 4
	p, err := newPeers(t.Context(), cfg, quiet)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	bound := make(chan bool)
	go func() { bound <- p.bind(ctx) }()
	held.Close()
	if !receive(t, "bind", bound) {
		t.Error("not bound")
	}
	p.conn.Close()
	cancel()
	p.conn = nil
	if p.bind(ctx) {
		t.Error("bound after the end")
	}
}

// dup returns a descriptor that is nobody's yet, and closes f.
func dup(f *os.File) (int, error) {
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	return fd, err
}

// What a process that leaves cuts off itself is lost, what the platform's kill ends is excused: it goes on
// with a large answer past the time at which it may be killed.
func TestLeavingProcessFinishesALargeAnswer(t *testing.T) {
	hold := make(chan struct{})
	text := pattern(4 * maxBody)
	s := handled(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text[:maxBody+1])
		_ = http.NewResponseController(w).Flush()
		<-hold
		_, _ = io.WriteString(w, text[maxBody+1:])
	})
	ln := listen(t)
	a := start(t, upgradable(t, ln, t.TempDir(), setup{servers: []member{s}}))
	a.stopIn = 0
	waitFor(t, "clients to be taken", a.front.taking.Load)
	c := connect(t, a)
	c.send(fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\n\r\n", newID()))
	resp := c.answer()
	a.stop()
	waitFor(t, "the process to leave", func() bool {
		return a.front.stopAt.Load() != 0 && a.listener.TCPListener.SetDeadline(time.Time{}) != nil
	})
	close(hold)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != text {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if err := receive(t, "end of the process", a.done); err != nil {
		t.Error(err)
	}
}

// An agent whose directory can't be written to serves all the same. It heeds operators' calls and does not say yes, which
// would have to hold over an upgrade.
func TestNowhereToHandOn(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	ln := listen(t)
	a := start(t, upgradable(t, ln, filepath.Join(t.TempDir(), "none"), setup{servers: []member{s.member("s")}}))
	a.operations.AnswerTimeout = patience
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("%+v", x)
	}
	a.operations.AnswerTimeout = admin.DefaultAnswerTimeout
	if resp := knock(t, a, put("/_backends/detach", `{"target":"s"}`)); resp.StatusCode != 503 {
		t.Errorf("%+v", resp)
	}
	if err := a.backends.clear(&try{id: "s"}); !errors.Is(err, errDetached) {
		t.Errorf("a backend that was called out: %v", err)
	}
}

// The same with processes that serve: the older one's share of the limits comes back.
func TestOlderProcessGoesOnAlone(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	ln, dir := listen(t), t.TempDir()
	older := start(t, upgradable(t, ln, dir, setup{servers: []member{s.member("s")}}))
	waitFor(t, "clients to be taken", older.front.taking.Load)
	most := func() int {
		older.backends.mu.Lock()
		defer older.backends.mu.Unlock()
		return older.backends.most
	}
	whole := most()
	younger := handover.New(dir, quiet)
	if err := younger.Begin(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the older one to keep to half", func() bool { return most() < whole })
	younger.Close()
	waitFor(t, "the older one to use all", func() bool { return most() == whole })
	if x := older.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("%+v", x)
	}
}

// What the older process takes between the two first reads of its successor holds there from its first request on, though
// discovery tells it nothing: a list, and an operators' call.
func TestWhatIsRecordedBetweenTheFirstReads(t *testing.T) {
	for _, call := range []bool{false, true} {
		t.Run(fmt.Sprint("call ", call), func(t *testing.T) {
			one, two := serveRaw(t, func(int) string { return ok200 }), serveRaw(t, func(int) string { return ok200 })
			c, ln, dir := serveCatalog(t), listen(t), t.TempDir()
			set := setup{discovery: c.addr, servers: []member{one.member("one"), two.member("two")}}
			older := start(t, upgradable(t, ln, dir, set))
			older.operations.AnswerTimeout = patience
			watch := receive(t, "watch", c.watch)
			now := make(chan time.Time)
			close(now)
			younger := startAfter(t, upgradable(t, ln, dir, set), now, func(younger *running) { // has read the record once
				if call {
					if resp := knock(t, older, put("/_backends/detach", `{"target":"one"}`)); resp.StatusCode != 200 {
						t.Fatalf("%+v", resp)
					}
					return
				}
				watch.lines <- lineOf(t, members{Version: 42, Full: true, Endpoints: []member{two.member("two")}})
				waitFor(t, "the list in the record", func() bool {
					list := older.successor.Known().List
					return list != nil && list.Version == 42
				})
			})
			if w := receive(t, "watch of the younger", c.watch); !call && w.since != "42" {
				t.Errorf("the younger one asks for what follows %s", w.since)
			}
			waitFor(t, "the younger one to take clients", younger.front.taking.Load)
			older.stop()
			if err := receive(t, "end of the older one", older.done); err != nil {
				t.Error(err)
			}
			for range 20 {
				if x := younger.do("GET", "/get/x", ""); x.status != 200 {
					t.Fatalf("%+v", x)
				}
			}
			if n := len(one.seen); n != 0 {
				t.Errorf("%d of 20 requests reached a backend that the older process was told to leave", n)
			}
		})
	}
}
