// A fake hub, which implements the protocol and sends the state that a test sets.

package hubclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/hub/frame"
)

const (
	waitTimeout     = 30 * time.Second
	messageInterval = 100 * time.Millisecond
)

// fakeHub implements the side of a hub that serves agents. mu guards the fields below it, with two exceptions: seq is
// atomic, and only start and kill use server.
type fakeHub struct {
	name             string
	addr             string
	startedAt        time.Time
	events           chan string  // "hello", "leave" and "end" of streams, in the order in which they happen
	unresponsive     atomic.Bool  // the hub sends nothing
	withholdsEntries atomic.Bool  // the hub sends neither fleet size nor latencies
	olderProgram     bool         // the hub sends only the frames of an older program
	busyFor          atomic.Int64 // retry delay in nanoseconds; the next Hello gets a Busy reply with it and resets it; 0: the hub accepts agents
	mu               sync.Mutex
	fleetSize        hub.FleetSize
	rttMicros        uint32 // from zone a to zone b
	policy           documents.AppliedVersion
	fetched          []string // digests of the policies that agents requested
	server           *http.Server
	conns            map[net.Conn]bool
	states           []frame.State
	helloAt          []time.Time
	seq              atomic.Uint64
}

// fakeHubCount gives each hub a loopback address of its own, so that its port stays free between kill and start.
var fakeHubCount atomic.Uint32

// newFakeHub starts a hub on a free port. It runs until the test ends.
func newFakeHub(t *testing.T, name string) *fakeHub {
	t.Helper()
	h := &fakeHub{name: name, startedAt: time.Now(), events: make(chan string, 1000), conns: map[net.Conn]bool{}, rttMicros: 1000}
	n := fakeHubCount.Add(1)
	h.start(t, fmt.Sprintf("127.32.%d.%d:0", n>>8, n&0xff))
	return h
}

// start listens on addr. The test may call it again after kill.
func (h *fakeHub) start(t *testing.T, addr string) {
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

// kill closes the hub's listener and connections, as the kernel does when a process ends.
func (h *fakeHub) kill() {
	h.server.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		c.Close()
	}
	clear(h.conns)
}

func (h *fakeHub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if digest, ok := strings.CutPrefix(r.URL.Path, "/residency/"); ok {
		h.mu.Lock()
		h.fetched = append(h.fetched, digest)
		h.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	conn, rw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	h.mu.Lock()
	h.conns[conn] = true
	h.mu.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+frame.Protocol+"\r\n\r\n")
	h.serveAttachment(conn, rw.Reader)
}

// serveAttachment accepts an agent, unless the hub is busy, and records its states until the stream ends.
func (h *fakeHub) serveAttachment(conn net.Conn, r *bufio.Reader) {
	defer conn.Close()
	if received, err := frame.Read(r); err != nil || received.Hello == nil {
		return
	}
	h.mu.Lock()
	h.helloAt = append(h.helloAt, time.Now())
	h.mu.Unlock()
	if retryAfter := h.busyFor.Swap(0); retryAfter > 0 {
		writeFrame(conn, &frame.Frame{Busy: &frame.Busy{RetryAfter: time.Duration(retryAfter)}})
		return
	}
	writeFrame(conn, &frame.Frame{Welcome: &frame.Welcome{Hub: h.name}})
	h.events <- "hello"
	defer func() { h.events <- "end" }()
	var echo atomic.Pointer[frame.Echo]
	done := make(chan struct{})
	defer close(done)
	go h.sendLoop(conn, &echo, done)
	for {
		received, err := frame.Read(r)
		if err != nil {
			return
		}
		if received.State != nil {
			echo.Store(&frame.Echo{Seq: received.State.Seq})
			h.mu.Lock()
			h.states = append(h.states, *received.State)
			h.mu.Unlock()
		}
		if received.Leave {
			h.events <- "leave"
		}
	}
}

// sendLoop sends entries and echoes every messageInterval until done is closed.
func (h *fakeHub) sendLoop(conn net.Conn, echo *atomic.Pointer[frame.Echo], done chan struct{}) {
	tick := time.NewTicker(messageInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		if h.unresponsive.Load() {
			continue
		}
		f := &frame.Frame{Gossip: h.entries()}
		if !h.olderProgram {
			f.QuotaConfirmed, f.Echo = true, echo.Swap(nil)
		}
		writeFrame(conn, f)
	}
}

// entries returns an encoded gossip message with the current state of the hub.
func (h *fakeHub) entries() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	message := gossip.Message{Version: 1, Sender: h.name, Incarnation: 1, Clock: time.Since(h.startedAt)}
	add := func(kind gossip.Kind, subject string, body []byte) {
		message.Entries = append(message.Entries, gossip.Entry{Kind: kind, Subject: subject, Observer: h.name,
			Incarnation: 1, Seq: h.seq.Add(1), Body: body})
	}
	if !h.withholdsEntries.Load() && !h.olderProgram {
		add(gossip.FleetSize, hub.FleetSubject, h.fleetSize.MarshalBody())
		row, _ := cbor.Marshal(map[int]any{1: []map[int]any{{1: "b", 2: h.rttMicros, 3: 0, 4: 0, 5: 9}}})
		add(gossip.LatencyRow, "a", row)
	}
	if h.policy.Version > 0 {
		add(gossip.ResidencyVersion, "policy", h.policy.MarshalBody())
	}
	data, _ := gossip.EncodeMessage(&message)
	return data
}

// expectEvent waits for the next event and fails the test if the event is not want.
func (h *fakeHub) expectEvent(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-h.events:
		if got != want {
			t.Errorf("hub %s: event %q, want %q", h.name, got, want)
		}
	case <-time.After(waitTimeout):
		t.Fatalf("hub %s: timed out waiting for event %q", h.name, want)
	}
}

// writeFrame writes a frame of either side of the protocol.
func writeFrame(conn net.Conn, f *frame.Frame) {
	data, _ := frame.Encode(f)
	_, _ = conn.Write(data) // fails only when the peer has closed
}
