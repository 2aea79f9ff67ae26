package hub

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub/frame"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const waitTimeout = 30 * time.Second

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not come", what)
		}
	}
}

// testHub is a hub, run in this process over loopback sockets.
type testHub struct {
	*Server
	fleet *fleet.Fleet
	stop  func()
}

func startHub(t *testing.T, name string, maxAgents int, tune func(*Config), seeds ...*testHub) *testHub {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	cfg := Config{Name: name, Label: t.Name(), Incarnation: uint64(time.Now().UnixMilli()), MaxAgents: maxAgents, Log: log}
	if tune != nil {
		tune(&cfg)
	}
	hub := &testHub{Server: New(cfg)}
	fleetCfg := fleet.Config{Name: name, Site: "a", Listen: "127.0.0.1:0", Label: t.Name(), MaxMembers: maxAgents, ListRate: 50, Hub: true, HTTPHandler: hub.Server, Settings: cfg.Settings, Log: log}
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
	waitFor(t, "a hub that is ready", hub.ready.Load)
	return hub
}

// startHubs are some that have met.
func startHubs(t *testing.T, n, maxAgents int) (hubs []*testHub) {
	t.Helper()
	for i := range n {
		hubs = append(hubs, startHub(t, fmt.Sprint("hub", i), maxAgents, nil, hubs...))
	}
	for _, hub := range hubs {
		waitFor(t, "the other hubs", func() bool { return len(hub.fleet.Hubs()) == n-1 })
	}
	return hubs
}

// agent attaches as the other side does, and keeps what it is told.
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

// listenAsProcess is an address that is there as long as a process lives.
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

// dialUpgrade upgrades a connection.
func dialUpgrade(addr, label string) (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n\r\n", frame.Path, frame.Protocol, LabelHeader, label)
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
	go func() {
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
	}()
	go func() {
		tick := time.NewTicker(gossip.TickInterval)
		defer tick.Stop()
		for seq := uint32(0); ; seq++ {
			a.gossip.Tick()
			if state != nil && seq%5 == 0 {
				next := *state
				next.Seq = seq
				if writeFrame(conn, &frame.Frame{State: &next}) != nil {
					return
				}
			}
			select {
			case <-a.done:
				return
			case <-tick.C:
			}
		}
	}()
	t.Cleanup(a.close)
	return a
}

func (a *fakeAgent) close() { a.closeOnce.Do(func() { a.conn.Close(); <-a.done }) }

func (a *fakeAgent) closed() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (a *fakeAgent) isQuotaConfirmed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quotaConfirmed
}

func (a *fakeAgent) fleetSize() (size FleetSize) {
	for _, f := range a.gossip.Entries(gossip.FleetSize) {
		size, _ = ParseFleetSize(f.Body)
	}
	return size
}

var servingState = &frame.State{Serving: true}

// Agents of several hubs are counted together; one that is dead for certain counts once, though two hubs lost it, as does
// one that said goodbye; and one that is back counts no more.
func TestFleetSizeCountsEachAgentOnce(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 3, 10)
	a := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 1}, servingState)
	b := attachAgent(t, hubs[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{})
	firstProcess, secondProcess := listenAsProcess(t), listenAsProcess(t)
	c1 := attachAgent(t, hubs[1], frame.Hello{Name: "c", Incarnation: 1, Addr: firstProcess.Addr().String()}, servingState)
	waitFor(t, "three agents", func() bool { return a.fleetSize() == FleetSize{3, 1, 0} && b.fleetSize() == FleetSize{3, 1, 0} })
	d := attachAgent(t, hubs[2], frame.Hello{Name: "d", Incarnation: 1, Addr: secondProcess.Addr().String()}, servingState)
	waitFor(t, "that nobody else uses a part", func() bool { return a.isQuotaConfirmed() && d.isQuotaConfirmed() })
	c2 := attachAgent(t, hubs[2], frame.Hello{Name: "c", Incarnation: 1, Addr: firstProcess.Addr().String()}, servingState)
	waitFor(t, "five streams", func() bool { return a.fleetSize().Attached == 5 })
	// Its process is dead, and both hubs have lost it.
	hubs[1].registry.mu.Lock()
	clear(hubs[1].registry.remote)
	hubs[1].registry.mu.Unlock()
	hubs[2].registry.mu.Lock()
	clear(hubs[2].registry.remote)
	hubs[2].registry.mu.Unlock()
	firstProcess.Close()
	c1.close()
	c2.close()
	waitFor(t, "a dead one", func() bool { return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1} })
	// One that says goodbye is dead at once.
	if err := writeFrame(d.conn, &frame.Frame{Leave: true}); err != nil {
		t.Fatal(err)
	}
	secondProcess.Close()
	waitFor(t, "two that are dead", func() bool { return a.fleetSize() == FleetSize{2, 1, 2} })
	for _, hub := range hubs[1:] {
		names := hub.registry.confirmedDead(3*time.Second, time.Now())
		if len(names) == 0 || len(names) > 2 {
			t.Errorf("%s says of %d that they are dead", hub.cfg.Name, len(names))
		}
	}
	// It is back, elsewhere, and nobody may count it as dead for long; and it is not told that its part is its own while anyone may.
	back := attachAgent(t, hubs[0], frame.Hello{Name: "c", Incarnation: 2, Addr: listenAsProcess(t).Addr().String()}, servingState)
	waitFor(t, "it back", func() bool { return a.fleetSize() == FleetSize{3, 1, 1} && b.fleetSize() == FleetSize{3, 1, 1} })
	if back.isQuotaConfirmed() {
		t.Error("it is told that its part is its own, and some may still use it")
	}
	waitFor(t, "its part", back.isQuotaConfirmed)
	waitFor(t, "it looked for no more", func() bool { return len(hubs[1].registry.confirmedDead(time.Hour, time.Now())) == 0 })
}

// A sum is as old as the oldest word in it: told beside the words themselves, it is never younger.
func TestFleetSizeIsAsOldAsItsOldestEntry(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 2, 10)
	a := attachAgent(t, hubs[0], frame.Hello{Name: "a", Site: "a", Incarnation: 1}, servingState)
	waitFor(t, "a hub that counts the dead", func() bool { return hubs[0].uptime(time.Now()) > hubs[0].deadMaxAge() })
	const old = 1500 * time.Millisecond
	at := time.Now().Add(-old)
	hubs[0].fleet.Gossip().PublishAged(gossip.DeadProcesses, "aged", []byte{0x81, 0x61, 'z'}, old)
	waitFor(t, "a census with it", func() bool {
		for _, f := range a.gossip.Entries(gossip.FleetSize) {
			if c, err := ParseFleetSize(f.Body); err == nil && c.Dead == 1 {
				if time.Since(at) > f.Age {
					t.Errorf("the census is %v old, and rests on a word of %v ago", f.Age, time.Since(at))
				}
				return true
			}
		}
		return false
	})
}

// A hub that has just begun says of nobody that he is dead, and to nobody that his part is his own, whatever it hears.
func TestNewHubCountsNoDeadAndConfirmsNoQuota(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	a := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState)
	waitFor(t, "a census", func() bool { return a.fleetSize().Attached == 1 })
	for hub.uptime(time.Now()) < 2*time.Second {
		hub.fleet.Gossip().Publish(gossip.DeadProcesses, "x", []byte{0x81, 0x61, 'z'})
		if c := a.fleetSize(); c.Dead != 0 || a.isQuotaConfirmed() {
			if hub.uptime(time.Now()) < 3*time.Second {
				t.Fatalf("%+v, sure %v", c, a.isQuotaConfirmed())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "that its part is its own", a.isQuotaConfirmed)
	// As after a stop: it begins anew, and its agents go.
	hub.resetAfterSuspend(time.Now())
	waitFor(t, "the stream's end", a.closed)
	if b := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, servingState); b.isQuotaConfirmed() {
		t.Error("sure at once")
	}
}

// Of two processes of one name the later has the stream, at one hub and at two.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	t.Parallel()
	hubs := startHubs(t, 2, 10)
	first := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 5}, servingState)
	waitFor(t, "it", func() bool { return first.fleetSize().Attached == 1 })
	if early := attachAgent(t, hubs[0], frame.Hello{Name: "a", Incarnation: 4}, servingState); true {
		waitFor(t, "an earlier one's end", early.closed)
	}
	early := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 4}, servingState)
	waitFor(t, "an earlier one's end at another hub", early.closed)
	if first.closed() {
		t.Error("the later one's stream has ended, too")
	}
	later := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 6}, servingState)
	waitFor(t, "the end of one that was the latest", first.closed)
	last := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 7}, servingState)
	waitFor(t, "the end of one at the same hub", later.closed)
	waitFor(t, "one agent", func() bool { return last.fleetSize().Attached == 1 })
}

// What one agent does costs nobody else: nonsense, too much, or nothing read.
func TestMisbehavingAgentDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	good := attachAgent(t, hub, frame.Hello{Name: "good", Incarnation: 1}, servingState)
	waitFor(t, "a census", func() bool { return good.fleetSize().Attached == 1 })
	for name, text := range map[string]string{"long": "\x7f\xff\xff\xff", "malformed": "\x00\x00\x00\x02\xff\xff", "welcome": "\x00\x00\x00\x08\xa2\x01\x01\x03\xa1\x01\x61h"} {
		bad := attachAgent(t, hub, frame.Hello{Name: name, Incarnation: 1}, nil)
		waitFor(t, "a welcome", func() bool { bad.mu.Lock(); defer bad.mu.Unlock(); return bad.welcome != nil })
		if _, err := bad.conn.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "its end: "+name, bad.closed)
	}
	if hub.protocolErrors.Load() != 3 {
		t.Errorf("%d streams counted", hub.protocolErrors.Load())
	}
	// A thousand frames a second, and what others say in its name.
	flooding := attachAgent(t, hub, frame.Hello{Name: "loud", Incarnation: 1}, nil)
	startedAt := time.Now()
	_ = flooding.conn.SetWriteDeadline(startedAt.Add(2 * time.Second)) // they are not taken in time
	for i := range 2000 {
		if writeFrame(flooding.conn, &frame.Frame{State: &frame.State{Seq: uint32(i), Serving: true, Settings: frame.AppliedVersion{Version: 1, Reason: strings.Repeat("x", 500)}}}) != nil {
			break
		}
	}
	applied := func() (n uint32) {
		for _, a := range hub.registry.attachments() {
			if a.name == "loud" {
				n = a.status().Seq
			}
		}
		return n
	}
	if n := applied(); float64(n) > frameBurst+frameRate*(time.Since(startedAt).Seconds()+1) {
		t.Errorf("%d frames taken in %v", n, time.Since(startedAt))
	}
	// One that does not read: its stream ends, once its buffers are full.
	unresponsive, _, err := dialUpgrade(hub.fleet.Addr(), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	if err := writeFrame(unresponsive, &frame.Frame{Hello: &frame.Hello{Label: t.Name(), Name: "deaf", Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it", func() bool { return findAttachment(hub, "deaf") != nil })
	a := findAttachment(hub, "deaf")
	big := make([]byte, 4<<20)
	for !isClosed(a.done) { // each replaces the one before: no more than one is held
		a.enqueue(big)
		if writeFrame(unresponsive, &frame.Frame{State: servingState}) != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if good.closed() || good.fleetSize().Attached == 0 {
		t.Error("the good one is not told any more")
	}
}

func findAttachment(hub *testHub, name string) *attachment {
	for _, a := range hub.registry.attachments() {
		if a.name == name {
			return a
		}
	}
	return nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// An agent of another fleet is sent away with a status, or at its first word; too many at once are told when to come again.
func TestAdmissionRejectsOtherFleetsAndLimitsRate(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 100, func(c *Config) { c.AdmitRate = 10 })
	if _, _, err := dialUpgrade(hub.fleet.Addr(), "other"); !errors.Is(err, errStatus) || !strings.Contains(err.Error(), "403") {
		t.Errorf("another fleet's: %v", err)
	}
	conn, reader, err := dialUpgrade(hub.fleet.Addr(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = writeFrame(conn, &frame.Frame{Hello: &frame.Hello{Label: "other", Name: "x"}})
	if f, err := frame.Read(reader); err == nil {
		t.Errorf("another fleet's is told %+v", f)
	}
	startedAt, admitted := time.Now(), 0
	var waits []time.Duration
	for i := range 20 {
		a := attachAgent(t, hub, frame.Hello{Name: fmt.Sprint("n", i), Incarnation: 1}, servingState)
		waitFor(t, "an answer", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.busy != nil {
				waits = append(waits, a.busy.RetryAfter)
			} else if a.welcome != nil {
				admitted++
			}
			return a.busy != nil || a.welcome != nil
		})
	}
	if limit := 1 + 10*time.Since(startedAt).Seconds(); float64(admitted) > limit || admitted == 0 {
		t.Errorf("%d taken in %v", admitted, time.Since(startedAt))
	}
	for _, wait := range waits {
		if wait <= 0 || wait > maxRetryAfter {
			t.Errorf("come again after %v", wait)
		}
	}
}

// fakeHolder is a holder of settings.
type fakeHolder struct {
	mu      sync.Mutex
	version int64
	text    string
}

func (h *fakeHolder) Apply(version int64, text string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return errors.New("old")
	}
	h.version, h.text = version, text
	return nil
}

func (h *fakeHolder) Text(string) (int64, string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, h.text, h.version > 0
}

func (h *fakeHolder) documentKind() *documents.Document {
	return &documents.Document{GossipKind: gossip.SettingsVersion, Subject: "settings", Path: "/settings/", MaxBytes: 1 << 10, Holder: h, Digest: func(text string) string { return "of " + text },
		Applied: func() documents.AppliedVersion {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.version == 0 {
				return documents.AppliedVersion{}
			}
			return documents.AppliedVersion{Version: h.version, Digests: []string{"of " + h.text}}
		}}
}

// Settings given to one hub are told by all, never go back, and who does not have them can be asked of any.
func TestSettingsReportNamesLaggingAgents(t *testing.T) {
	t.Parallel()
	var hubs []*testHub
	var holders []*fakeHolder
	for i := range 2 {
		holder := &fakeHolder{}
		holders = append(holders, holder)
		hubs = append(hubs, startHub(t, fmt.Sprint("hub", i), 10, func(c *Config) { c.Settings = holder.documentKind() }, hubs...))
	}
	a := attachAgent(t, hubs[1], frame.Hello{Name: "a", Incarnation: 1}, &frame.State{Settings: frame.AppliedVersion{Version: 2, Digest: "of two"}})
	b := attachAgent(t, hubs[1], frame.Hello{Name: "b", Incarnation: 1}, &frame.State{Settings: frame.AppliedVersion{Version: 1, Reason: "a key is unknown"}})
	published := func(agent *fakeAgent, v int64) func() bool {
		return func() bool {
			for _, f := range agent.gossip.Entries(gossip.SettingsVersion) {
				if s, ok := documents.ParseAppliedVersion(f.Body); ok && s.Version == v {
					return true
				}
			}
			return false
		}
	}
	for v, text := range map[int64]string{1: "one", 2: "two"} {
		_ = holders[0].Apply(v, text) // the second goes before the first, or comes too late
	}
	waitFor(t, "the settings", published(a, 2))
	waitFor(t, "the settings", published(b, 2))
	var report SettingsReport
	waitFor(t, "the report", func() bool {
		resp, err := http.Get("http://" + hubs[0].fleet.Addr() + pathSettings)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		report = SettingsReport{}
		return json.NewDecoder(resp.Body).Decode(&report) == nil && report.Agents == 2 && report.Applied == 1
	})
	if report.Version != 2 || len(report.Lagging) != 1 || report.Lagging[0] != (LaggingAgent{"b", "hub1", 1, "a key is unknown"}) {
		t.Errorf("%+v", report)
	}
}

// An earlier or a later program says less or more: what is known of it is taken.
func TestUnknownFieldsOfOtherVersionsAreIgnored(t *testing.T) {
	t.Parallel()
	hub := startHub(t, "hub", 10, nil)
	a := attachAgent(t, hub, frame.Hello{Name: "a", Incarnation: 1}, nil)
	writeRaw := func(v any) {
		body, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := a.conn.Write(append([]byte{0, 0, 0, byte(len(body))}, body...)); err != nil {
			t.Fatal(err)
		}
	}
	writeRaw(map[int]any{1: 9, 5: map[int]any{2: true, 17: "later"}, 30: "later still"})
	writeRaw(map[int]any{1: 1, 5: map[int]any{1: 3, 2: true}})
	writeRaw(map[int]any{1: 9, 31: "only what is not known"})
	waitFor(t, "its state", func() bool { return a.fleetSize() == FleetSize{1, 0, 0} })
	size, err := ParseFleetSize([]byte{0xa2, 0x01, 0x03, 0x18, 0x20, 0x01}) // without some fields, with another
	if err != nil || size != (FleetSize{3, 0, 0}) {
		t.Errorf("%+v, %v", size, err)
	}
	if a.closed() {
		t.Error("its stream ended")
	}
}
