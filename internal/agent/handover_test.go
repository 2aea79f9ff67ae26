package agent

import (
	"bufio"
	"context"
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

	"brookferry"
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

// What an earlier process left is gone on from; what can't be used is worked around.
func TestRecordsThatCannotBeUsed(t *testing.T) {
	now := time.Now().UnixMilli()
	for name, row := range map[string]struct {
		text string
		used bool
	}{
		"missing":      {"", false},
		"torn":         {`{"format":1,"turn":3,"saved":`, false},
		"no record":    {`[1,2]`, false},
		"other format": {fmt.Sprintf(`{"format":2,"turn":3,"saved":%d,"detached":{"s":1}}`, now), false},
		"long gone":    {fmt.Sprintf(`{"format":1,"turn":3,"saved":%d,"detached":{"s":1}}`, now-time.Hour.Milliseconds()), false},
		"fresh":        {fmt.Sprintf(`{"format":1,"turn":3,"saved":%d,"detached":{"s":1}}`, now), true},
	} {
		dir := t.TempDir()
		if row.text != "" {
			if err := os.WriteFile(filepath.Join(dir, recordName), []byte(row.text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		h, err := newHandover(dir, quiet)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if calls, _ := h.look(newClock()); len(calls) == 1 != row.used {
			t.Errorf("%s: %d calls are gone on from", name, len(calls))
		}
	}
	if _, err := newHandover(filepath.Join(t.TempDir(), "none"), quiet); err == nil {
		t.Error("no directory, and no error")
	}
}

// A call to either process is known to both, in the order in which they were taken; a process's own
// calls don't come back to it.
func TestCallsReachBothProcesses(t *testing.T) {
	dir, ck := t.TempDir(), newClock()
	older, err := newHandover(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	younger, err := newHandover(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if !older.alone || younger.alone {
		t.Errorf("alone: %v and %v", older.alone, younger.alone)
	}
	at := time.Now()
	keep := func(h *handover, backend string, out bool) {
		at = at.Add(time.Second)
		if err := h.keep(standing{backend: backend, out: out, at: at}); err != nil {
			t.Fatal(err)
		}
	}
	told := func(h *handover) (text string) {
		calls, lame := h.look(ck)
		for _, c := range calls {
			text += fmt.Sprintf("%s %v ", c.backend, c.detach)
		}
		return text + fmt.Sprint(lame)
	}
	keep(older, "s", true)
	keep(older, "s", true)
	if got := told(younger); got != "s true false" {
		t.Errorf("the younger hears %q", got)
	}
	if got := told(older); got != "false" {
		t.Errorf("the older hears %q of its own call", got)
	}
	keep(younger, "", true)
	keep(younger, "s", false)
	older.save(brookferry.Legacy{}) // reads and writes the record in between
	if got := told(older); got != "s false true" {
		t.Errorf("the older hears %q", got)
	}
	if got := told(younger); got != "true" {
		t.Errorf("the younger hears %q", got)
	}
	older.close() // as its end does
	if !older.followed() || !younger.first() || younger.followed() {
		t.Error("the younger does not know that it is alone")
	}
}

// One process takes the clients over from another that serves: what the older one was told holds, no
// request is turned back, and the older one ends.
func TestUpgrade(t *testing.T) {
	one := serveRaw(t, func(int) string { return ok200 })
	two := serveRaw(t, func(int) string { return ok200 })
	servers := []member{one.member("one"), two.member("two")}
	ln, dir := listen(t), t.TempDir()
	older := start(t, upgradable(t, ln, dir, setup{servers: servers}))
	older.admin.within = patience
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
	younger.admin.within = patience
	waitFor(t, "the younger one to take clients", younger.front.taking.Load)
	if resp := knock(t, younger, "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n"); resp.StatusCode != 200 {
		t.Errorf("not ready: %+v", resp)
	}
	older.stop()
	waitFor(t, "the older one to stop accepting", func() bool { return older.front.leaves.Load() != 0 })
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
				sum += 2 * (doorSockets + 1)
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
		return a.front.leaves.Load() != 0 && a.listener.TCPListener.SetDeadline(time.Time{}) != nil
	})
	close(hold)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != text {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if err := receive(t, "end of the process", a.done); err != nil {
		t.Error(err)
	}
}

// An agent whose directory can't be written to serves all the same.
func TestNowhereToHandOn(t *testing.T) {
	s := serveRaw(t, func(int) string { return ok200 })
	ln := listen(t)
	a := start(t, upgradable(t, ln, filepath.Join(t.TempDir(), "none"), setup{servers: []member{s.member("s")}}))
	a.admin.within = patience
	if x := a.do("GET", "/get/x", ""); x.status != 200 {
		t.Errorf("%+v", x)
	}
	if resp := knock(t, a, put("/_backends/detach", `{"target":"s"}`)); resp.StatusCode != 200 {
		t.Errorf("%+v", resp)
	}
}

// A successor that ends before it has taken the clients leaves the older process as it was: with the whole limits, and the one
// that the record is by; and another may start.
func TestSuccessorThatEnds(t *testing.T) {
	dir := t.TempDir()
	begin := func() *handover {
		h, err := newHandover(dir, quiet)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	older := begin()
	defer older.close()
	for round := range 3 {
		younger := begin()
		if _, _ = older.look(newClock()); !older.followed() || older.deserted() {
			t.Fatalf("round %d: the younger one is not seen", round)
		}
		younger.close() // killed
		if !older.deserted() || older.followed() {
			t.Fatalf("round %d: its end is not seen", round)
		}
		older.save(brookferry.Legacy{Tokens: float64(round + 1)})
		if l := older.read().Legacy; l == nil || l.Tokens != float64(round+1) {
			t.Fatalf("round %d: the older one no longer records: %+v", round, l)
		}
	}
	younger := begin()
	older.close()
	if !younger.first() || younger.second != nil {
		t.Error("the younger one is not the first now")
	}
	third := begin()
	defer third.close()
	if _, _ = younger.look(newClock()); !younger.followed() || younger.deserted() {
		t.Error("a third process is not seen")
	}
	younger.close()
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
	younger, err := newHandover(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the older one to keep to half", func() bool { return most() < whole })
	younger.close()
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
			older.admin.within = patience
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
				watch.lines <- lineOf(t, members{Version: 42, Full: true, Servers: []member{two.member("two")}})
				waitFor(t, "the list in the record", func() bool {
					h := older.handover
					h.mu.Lock()
					defer h.mu.Unlock()
					return h.known.List != nil && h.known.List.Version == 42
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
