// This file runs hubs over loopback sockets, and fake agents that attach to them.

package hub

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// waitTimeout is how long a test waits for a condition: far longer than any condition takes.
const waitTimeout = 30 * time.Second

// waitFor waits until condition returns true, and fails the test after waitTimeout. what describes the condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, waitTimeout)
		}
	}
}

// testHub is a hub and its membership in the fleet, which run in the test process over loopback sockets.
type testHub struct {
	*Server
	fleet *fleet.Fleet
	stop  func()
}

// startHub starts a hub, which joins the seeds. The test's cleanup stops the hub. tune, which may be nil, changes the
// hub's configuration.
func startHub(t *testing.T, name string, maxAgents int, tune func(*Config), seeds ...*testHub) *testHub {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	cfg := Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: maxAgents, Log: log}
	if tune != nil {
		tune(&cfg)
	}
	hub := &testHub{Server: New(cfg)}
	fleetCfg := fleet.Config{
		Name: name, Site: "a", Listen: "127.0.0.1:0", Label: t.Name(), MaxMembers: maxAgents, ListRate: 50,
		Hub: true, HTTPHandler: hub.Server, Settings: cfg.Settings, Log: log,
	}
	for _, seed := range seeds {
		fleetCfg.Seeds = append(fleetCfg.Seeds, seed.fleet.Addr())
	}
	var err error
	if hub.fleet, err = fleet.New(fleetCfg, []string{"a", "b"}, fleet.Callbacks{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = hub.fleet.Run(ctx) })
	tasks.Go(func() { hub.Run(ctx, hub.fleet) })
	hub.stop = func() { cancel(); tasks.Wait() }
	t.Cleanup(hub.stop)
	waitFor(t, "ready hub", hub.ready.Load)
	return hub
}

// uptime returns how long the hub has run without a suspension.
func (h *testHub) uptime(now time.Time) time.Duration { return h.evidence.uptime(now) }

// startHubs starts n hubs, and returns when each of them has the others as members.
func startHubs(t *testing.T, n, maxAgents int) (hubs []*testHub) {
	t.Helper()
	for i := range n {
		hubs = append(hubs, startHub(t, fmt.Sprint("hub", i), maxAgents, nil, hubs...))
	}
	for _, hub := range hubs {
		waitFor(t, "membership of the other hubs", func() bool { return len(hub.fleet.Hubs()) == n-1 })
	}
	return hubs
}

// fakeAgent attaches to a hub like an agent, and stores what the hub publishes.
type fakeAgent struct {
	conn      net.Conn
	gossip    *gossip.Store
	done      chan struct{}
	closeOnce sync.Once

	mu             sync.Mutex
	quotaConfirmed bool
	welcome        *frame.Welcome
	busy           *frame.Busy
}

// listenAsProcess returns a listener that stands for the process of an agent: the process counts as running until the
// listener is closed.
func listenAsProcess(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

var errStatus = errors.New("status")

// dialUpgrade connects to a hub and upgrades the connection. The error wraps errStatus if the hub rejects the upgrade.
func dialUpgrade(addr, label string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n",
		frame.Path, frame.Protocol, LabelHeader, label)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusSwitchingProtocols {
		conn.Close()
		if err == nil {
			err = fmt.Errorf("%w %d", errStatus, resp.StatusCode)
		}
		return nil, nil, err
	}
	return conn, reader, nil
}

// attachAgent connects an agent to a hub, which may respond with Welcome or Busy. The agent sends state twice a second
// unless state is nil. The test's cleanup closes the stream.
func attachAgent(t *testing.T, hub *testHub, hello frame.Hello, state *frame.State) *fakeAgent {
	t.Helper()
	hello.Label = t.Name()
	a := &fakeAgent{gossip: gossip.New(hello.Name, hello.Incarnation, gossip.DefaultAgeBounds, nil), done: make(chan struct{})}
	conn, reader, err := dialUpgrade(hub.fleet.Addr(), hello.Label)
	if err != nil {
		t.Fatal(err)
	}
	a.conn = conn
	if err := writeFrame(conn, &frame.Frame{Hello: &hello}); err != nil {
		t.Fatal(err)
	}
	go a.readLoop(reader)
	go a.stateLoop(state)
	t.Cleanup(a.close)
	return a
}

// readLoop stores what the hub sends until the stream ends.
func (a *fakeAgent) readLoop(reader *bufio.Reader) {
	defer close(a.done)
	for {
		f, err := frame.Read(reader)
		if err != nil {
			return
		}
		a.mu.Lock()
		a.quotaConfirmed = a.quotaConfirmed || f.QuotaConfirmed
		if f.Welcome != nil {
			a.welcome = f.Welcome
		}
		if f.Busy != nil {
			a.busy = f.Busy
		}
		a.mu.Unlock()
		if len(f.Gossip) > 0 {
			_ = a.gossip.Merge(f.Gossip)
		}
	}
}

// stateLoop sends state at every fifth tick until the stream ends, unless state is nil.
func (a *fakeAgent) stateLoop(state *frame.State) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	for seq := uint32(0); ; seq++ {
		a.gossip.Tick()
		if state != nil && seq%5 == 0 {
			next := *state
			next.Seq = seq
			if writeFrame(a.conn, &frame.Frame{State: &next}) != nil {
				return
			}
		}
		select {
		case <-a.done:
			return
		case <-tick.C:
		}
	}
}

// close closes the stream and waits for the reader.
func (a *fakeAgent) close() { a.closeOnce.Do(func() { a.conn.Close(); <-a.done }) }

// closed reports whether the stream has ended.
func (a *fakeAgent) closed() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// isQuotaConfirmed reports whether the hub has ever confirmed the agent's quota.
func (a *fakeAgent) isQuotaConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotaConfirmed
}

// fleetSize returns the size that the hub published last, or the zero value if there is none within the age bound.
func (a *fakeAgent) fleetSize() (size FleetSize) {
	for _, entry := range a.gossip.Entries(gossip.FleetSize) {
		size, _ = ParseFleetSize(entry.Body)
	}
	return size
}

var servingState = &frame.State{Serving: true}
