package hubclient

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/hub/frame"
)

const (
	patience = 30 * time.Second
	beat     = 100 * time.Millisecond
)

// standin is a hub as an agent sees one.
type standin struct {
	name    string
	addr    string
	born    time.Time
	came    chan string  // "hello", "bye", "end" of streams, as they happen
	silent  atomic.Bool  // it neither reads nor writes, as one that is stopped
	mute    atomic.Bool  // it tells no facts
	old     bool         // it says nothing that an older program would not
	busy    atomic.Int64 // ns to be said to the next who comes
	mu      sync.Mutex
	census  hub.Census
	trip    uint32 // us to zone b
	policy  documents.Standing
	asked   []string // digests
	server  *http.Server
	conns   map[net.Conn]bool
	states  []frame.State
	helloAt []time.Time
	seq     atomic.Uint64
}

func newStandin(t *testing.T, name string) *standin {
	h := &standin{name: name, born: time.Now(), came: make(chan string, 1000), conns: map[net.Conn]bool{}, trip: 1000}
	h.start(t, "127.0.0.1:0")
	return h
}

func (h *standin) start(t *testing.T, addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	h.addr, h.server = ln.Addr().String(), &http.Server{Handler: h}
	server := h.server
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(h.kill)
}

// kill ends it as a signal would.
func (h *standin) kill() {
	h.server.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
	clear(h.conns)
}

func (h *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if digest, ok := strings.CutPrefix(r.URL.Path, "/residency/"); ok {
		h.mu.Lock()
		h.asked = append(h.asked, digest)
		h.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	h.mu.Lock()
	h.conns[c] = true
	h.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+frame.Protocol+"\r\n\r\n")
	h.talk(c, rw.Reader)
}

func (h *standin) talk(c net.Conn, r *bufio.Reader) {
	defer c.Close()
	if f, err := frame.Read(r); err != nil || f.Hello == nil {
		return
	}
	h.mu.Lock()
	h.helloAt = append(h.helloAt, time.Now())
	h.mu.Unlock()
	if after := h.busy.Swap(0); after > 0 {
		put(c, &frame.Frame{Busy: &frame.Busy{After: time.Duration(after)}})
		return
	}
	put(c, &frame.Frame{Welcome: &frame.Welcome{Hub: h.name}})
	h.came <- "hello"
	defer func() { h.came <- "end" }()
	var echo atomic.Pointer[frame.Echo]
	done := make(chan struct{})
	defer close(done)
	go h.tell(c, &echo, done)
	for {
		f, err := frame.Read(r)
		if err != nil {
			return
		}
		if f.State != nil {
			echo.Store(&frame.Echo{Seq: f.State.Seq})
			h.mu.Lock()
			h.states = append(h.states, *f.State)
			h.mu.Unlock()
		}
		if f.Bye {
			h.came <- "bye"
		}
	}
}

func (h *standin) tell(c net.Conn, echo *atomic.Pointer[frame.Echo], done chan struct{}) {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		if h.silent.Load() {
			continue
		}
		f := &frame.Frame{Facts: h.facts()}
		if !h.old {
			f.Sure, f.Echo = true, echo.Swap(nil)
		}
		put(c, f)
	}
}

func (h *standin) facts() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := gossip.Message{Version: 1, Sender: h.name, Incarnation: 1, Clock: time.Since(h.born)}
	add := func(k gossip.Kind, subject string, body []byte) {
		m.Facts = append(m.Facts, gossip.Fact{Kind: k, Subject: subject, Observer: h.name, Incarnation: 1, Seq: h.seq.Add(1), Body: body})
	}
	if !h.mute.Load() && !h.old {
		add(gossip.Census, hub.FleetCensus, h.census.MarshalBody())
		row, _ := cbor.Marshal(map[int]any{1: []map[int]any{{1: "b", 2: h.trip, 3: 0, 4: 0, 5: 9}}})
		add(gossip.Distance, "a", row)
	}
	if h.policy.Version > 0 {
		add(gossip.Residency, "policy", h.policy.Body())
	}
	data, _ := gossip.Encode(&m)
	return data
}

func put(c net.Conn, f *frame.Frame) {
	data, _ := frame.Encode(f)
	_, _ = c.Write(data) // the other side has gone if it fails
}

// cable is the way to a hub. Each direction passes bytes on, loses them, or keeps them until it passes them on.
type cable struct {
	addr     string
	up, down atomic.Int32
}

const (
	passes = iota
	loses
	keeps
)

func newCable(t *testing.T, to string) *cable {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &cable{addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if far, err := net.Dial("tcp", to); err == nil {
				go w.carry(far, c, &w.up)
				go w.carry(c, far, &w.down)
			}
		}
	}()
	return w
}

func (w *cable) carry(to, from net.Conn, how *atomic.Int32) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		for how.Load() == keeps {
			time.Sleep(time.Millisecond)
		}
		if how.Load() == passes {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

// agent is a spoke that runs, and what it told.
type agent struct {
	*Spoke
	end   func() // and waits for it
	mu    sync.Mutex
	parts []float64
	trips []time.Duration
}

func newAgent(t *testing.T, change func(*Config), hubs ...*standin) *agent {
	t.Helper()
	cfg := Config{Name: "x", Site: "a", Region: "r", Listen: "127.0.0.1:0", Most: 10, Bounds: gossip.DefaultBounds, Log: slog.New(slog.DiscardHandler)}
	for i, h := range hubs {
		cfg.Hubs = append(cfg.Hubs, Hub{string(rune('a' + i)), "r", h.addr})
	}
	if change != nil {
		change(&cfg)
	}
	a := &agent{}
	var err error
	a.Spoke, err = New(cfg, []string{"a", "b"}, fleet.Told{
		Part:      func(part float64) { a.mu.Lock(); a.parts = append(a.parts, part); a.mu.Unlock() },
		Distances: func(trips []time.Duration, _ []float64) { a.mu.Lock(); a.trips = trips; a.mu.Unlock() }})
	if err != nil {
		t.Fatal(err)
	}
	a.choose.homing = 300 * time.Millisecond
	a.end = run(t, a.Spoke.Run)
	return a
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
