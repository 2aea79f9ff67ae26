package hubclient

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/hub/frame"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

// clusterAgent is an agent that is nothing but its place in the fleet.
type clusterAgent struct {
	*Client
	monitor  *monitor
	settings *settings.Holder
	policy   *residency.Holder
	cancel   context.CancelFunc
	done     chan struct{}
}

// cluster is hubs of the zones a, b, c and d, each a process, and agents that are watched. a and b are of one region, c and d of
// another; hub x has the address 127.2.0.x, and agent n 127.1.x.n.
type cluster struct {
	t                      *testing.T
	monitor                *monitor
	maxAgents              int
	hubs                   map[string]*hubProcess
	stateDir               string
	untraced               bool
	preferredCheckInterval time.Duration // how long agents stay elsewhere; 0: as they do
	singleRegion           bool          // all zones are of one region
}

func (c *cluster) region(zone string) string {
	if zone < "c" || c.singleRegion {
		return "r"
	}
	return "q"
}

func hubIP(zone string) string { return fmt.Sprintf("127.2.0.%d", 1+zone[0]-'a') }

func agentIP(zone string, i int) string { return fmt.Sprintf("127.1.%d.%d", 1+zone[0]-'a', 1+i%250) }

// cutPaths are to the hubs and the first agents of some zones.
func cutPaths(cut uint8, hubs, agents string) map[string]uint8 {
	m := map[string]uint8{}
	for _, z := range hubs {
		m[hubIP(string(z))] = cut
	}
	for _, z := range agents {
		for i := range 20 {
			m[agentIP(string(z), i)] = cut
		}
	}
	return m
}

func newCluster(t *testing.T, maxAgents int, untraced bool, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, monitor: newMonitor(), maxAgents: maxAgents, hubs: map[string]*hubProcess{}, stateDir: t.TempDir(), untraced: untraced}
	for _, z := range zones {
		c.startHub(z, "0")
	}
	return c
}

func (c *cluster) startHub(zone, port string) {
	c.t.Helper()
	spec := hubSpec{Name: "hub " + zone, Site: zone, Listen: hubIP(zone) + ":" + port, MaxAgents: c.maxAgents, Untraced: c.untraced, Source: zone == "c"}
	for other, h := range c.hubs {
		if other != zone {
			spec.Seeds = append(spec.Seeds, h.addr)
		}
	}
	c.hubs[zone] = startHubProcess(c.t, c.monitor, spec)
}

// restartHub starts a hub's process where it was.
func (c *cluster) restartHub(zone string) {
	c.t.Helper()
	_, port, _ := strings.Cut(c.hubs[zone].addr, ":")
	c.startHub(zone, port)
}

// startAgent starts one of a zone, with what an earlier process of its name has kept.
func (c *cluster) startAgent(zone string, i int, name string) *clusterAgent {
	c.t.Helper()
	log := slog.New(slog.DiscardHandler)
	dir := c.stateDir + "/" + strings.ReplaceAll(name, " ", "-")
	a := &clusterAgent{monitor: c.monitor, done: make(chan struct{}), settings: settings.NewHolder(settings.Config{Save: settings.SaveFunc(dir), Log: log}),
		policy: residency.NewHolder([]string{"a", "b", "c", "d"}, time.Minute, false, log, nil)}
	if err := a.settings.Load(dir); err != nil {
		c.t.Fatal(err)
	}
	cfg := Config{Name: name, Site: zone, Region: c.region(zone), Listen: agentIP(zone, i) + ":0", Label: c.t.Name(), MaxAgents: c.maxAgents, Settings: a.settings, Residency: a.policy, Log: log}
	if !c.untraced {
		cfg.Trace = c.monitor
	}
	for z, h := range c.hubs {
		cfg.Hubs = append(cfg.Hubs, Hub{z, c.region(z), h.addr})
	}
	var err error
	if a.Client, err = New(cfg, []string{"a", "b", "c", "d"}, fleet.Callbacks{}); err != nil {
		c.t.Fatal(err)
	}
	if c.preferredCheckInterval > 0 {
		a.selector.preferredCheckInterval = c.preferredCheckInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	c.monitor.agentStarted(name, a.Status)
	go func() {
		defer close(a.done)
		_ = a.Run(ctx)
	}()
	a.Ready()
	c.t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func (c *cluster) startAgents(zone string, count int) (list []*clusterAgent) {
	c.t.Helper()
	for i := range count {
		list = append(list, c.startAgent(zone, i, fmt.Sprint(zone, " ", i)))
	}
	return list
}

// kill ends an agent without a word: its sockets are closed, as a system does with those of a process that is killed.
func (a *clusterAgent) kill() {
	a.mu.Lock()
	if a.attachment != nil {
		a.attachment.conn.Close()
	}
	a.mu.Unlock()
	a.cancel()
	<-a.done
	a.monitor.agentStopped(a.cfg.Name)
}

func allOf(list []*clusterAgent, holds func(Status) bool) func() bool {
	return func() bool {
		for _, a := range list {
			if !holds(a.Status()) {
				return false
			}
		}
		return true
	}
}

func attachedTo(zones string) func(Status) bool {
	return func(status Status) bool { return status.Hub != "" && strings.Contains(zones, status.Hub[len("hub "):]) }
}

func hasSettings(version int64) func(Status) bool {
	return func(status Status) bool { return status.SettingsVersion == version }
}

func hasQuota(quota float64) func(Status) bool {
	return func(status Status) bool { return status.Quota == quota }
}

func settingsText(version int, most int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, most)
}

func policyText(version int) string {
	return fmt.Sprintf("version = %d\n[regions]\nr = [\"a\", \"b\"]\n[others]\npermitted = [\"*\"]\n", version)
}

func waitWithin(t *testing.T, condition string, limit time.Duration, since time.Time, holds func() bool) {
	t.Helper()
	waitFor(t, condition, holds)
	if took := time.Since(since); took > limit {
		t.Errorf("%s: after %v, not within %v", condition, took, limit)
	} else {
		t.Logf("%s: after %v", condition, took)
	}
}

// A hub is killed, and two of its agents with it, and settings are given to another hub at that moment: all that live have
// them within 14 s.
func TestSettingsSpreadWhileHubIsKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 24, false, "a", "b", "c", "d")
	defer c.monitor.stopAndCheck(t)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	var list []*clusterAgent
	for _, z := range []string{"a", "b", "c", "d"} {
		list = append(list, c.startAgents(z, 6)...)
	}
	for i, z := range []string{"a", "b", "c", "d"} {
		waitFor(t, "the agents of "+z+" at home", allOf(list[6*i:6*i+6], attachedTo(z)))
	}
	waitFor(t, "the first settings", allOf(list, hasSettings(1)))
	c.hubs["c"].execute(t, hubCommand{Policy: policyText(1)})
	waitFor(t, "the first policy", allOf(list, func(k Status) bool { return k.PolicyVersion == 1 }))
	waitFor(t, "an even part for each", allOf(list, hasQuota(1./24)))
	began := time.Now()
	c.hubs["a"].kill()
	list[0].kill()
	list[1].kill()
	c.hubs["d"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	waitWithin(t, "the settings at all that live", 14*time.Second, began, allOf(list[2:], hasSettings(2)))
	waitWithin(t, "a hub for each", 14*time.Second, began, allOf(list[2:], attachedTo("bcd")))
	c.restartHub("a")
	waitFor(t, "the second settings at the hub that is back", func() bool {
		return c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)}).Error != ""
	})
}

// dialHub attaches to a hub as an agent does, and reads nothing yet but that it is welcome.
func dialHub(addr, label, name string, buffer int) (conn net.Conn, reader *bufio.Reader, err error) {
	d := net.Dialer{Timeout: time.Second}
	if buffer > 0 {
		d.Control = func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
		}
	}
	if conn, err = d.Dial("tcp", addr); err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	reader = bufio.NewReaderSize(conn, 16)
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", frame.Path, frame.Protocol)
	resp, err := http.ReadResponse(reader, nil)
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err == nil {
		writeFrame(conn, &frame.Frame{Hello: &frame.Hello{Label: label, Name: name, Incarnation: 1, Site: "a"}})
		var reply *frame.Frame
		if reply, err = frame.Read(reader); err == nil && reply.Welcome == nil {
			err = fmt.Errorf("%+v", reply)
		}
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, reader, nil
}

// sendStates tells a hub each second that an agent is there, until its stream ends.
func sendStates(conn net.Conn) {
	for n := uint32(1); ; n++ {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		data, err := frame.Encode(&frame.Frame{State: &frame.State{Seq: n, Serving: true}})
		if err != nil {
			panic(err)
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// receivedMessage is what a hub said to one who listens, and when.
type receivedMessage struct {
	at             time.Time
	settings       int64 // -1: nothing of them
	dead           int   // -1
	quotaConfirmed bool
}

// receiveFrom attaches to a hub whenever it may, and hands on what it says.
func receiveFrom(ctx context.Context, addr, label, name string, handle func(receivedMessage)) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, reader, err := dialHub(addr, label, name, 0)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go sendStates(c)
		for {
			received, err := frame.Read(reader)
			if err != nil {
				break
			}
			message := receivedMessage{time.Now(), -1, -1, received.QuotaConfirmed}
			if m, err := gossip.DecodeMessage(received.Gossip); len(received.Gossip) > 0 && err == nil {
				for _, entry := range m.Entries {
					if s, ok := documents.ParseAppliedVersion(entry.Body); entry.Kind == gossip.SettingsVersion && ok {
						message.settings = s.Version
					}
					if c, err := hub.ParseFleetSize(entry.Body); entry.Kind == gossip.FleetSize && err == nil {
						message.dead = int(c.Dead)
					}
				}
			}
			handle(message)
		}
		stop()
		c.Close()
	}
}

// A hub is stopped for 10 s. Meanwhile one that it knew to be dead is back, another dies, and there are new settings. When it
// goes on, it says nothing of before: of nobody that he is dead and to nobody that his part is his own until it has heard the
// others for the bound of such a word, and the old settings no longer than it takes to ask for the new ones.
func TestResumedHubSendsNothingStale(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 12, false, "a", "b", "c")
	cluster.preferredCheckInterval = 2 * time.Second
	defer cluster.monitor.stopAndCheck(t)
	cluster.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	atA := cluster.startAgents("a", 4)
	list := append(append(cluster.startAgents("b", 2), cluster.startAgents("c", 2)...), atA[0], atA[2])
	waitFor(t, "the agents at home", allOf(atA, attachedTo("a")))
	waitFor(t, "the first settings", allOf(list, hasSettings(1)))
	waitFor(t, "an even part for each", allOf(list, hasQuota(1./12)))
	messages := make(chan receivedMessage, 100000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go receiveFrom(ctx, cluster.hubs["a"].addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	atA[3].kill()
	waitFor(t, "their share of a dead one's part", allOf(list, hasQuota(1./11)))
	waitFor(t, "a census without it, by which the others reckon while this hub is not heard", allOf(list, func(k Status) bool { return k.FleetSize.Attached == 8 }))

	stoppedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGSTOP)
	cluster.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	restarted := cluster.startAgent("a", 3, "a 3")
	waitFor(t, "another hub", allOf(append(list[:len(list):len(list)], atA[1]), attachedTo("bc"))) // the one that dies too: else only this hub knew it
	atA[1].kill()
	list = append(list, restarted)
	waitFor(t, "the one that is back", allOf(list, attachedTo("bc")))
	cluster.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings without the hub that is stopped", allOf(list, hasSettings(3)))
	waitFor(t, "their share of the other dead one's part", allOf(list, hasQuota(1./11)))
	time.Sleep(time.Until(stoppedAt.Add(10 * time.Second))) // so long it is stopped at the least
	for len(messages) > 0 {
		<-messages
	}
	resumedAt := time.Now()
	cluster.hubs["a"].signal(t, syscall.SIGCONT)
	var received, withSettings int
	var lastOld time.Duration
	for newest := int64(0); newest < 3 || time.Since(resumedAt) < 6*time.Second; {
		select {
		case message := <-messages:
			received++
			since := message.at.Sub(resumedAt)
			if message.settings >= 0 {
				withSettings++
				if message.settings < newest {
					t.Errorf("settings %d after %d", message.settings, newest)
				}
				if newest = message.settings; newest < 3 {
					lastOld = since
				}
			}
			if since < 2500*time.Millisecond && (message.dead > 0 || message.quotaConfirmed) {
				t.Errorf("%v after it goes on: %d dead, sure %v", since, message.dead, message.quotaConfirmed)
			}
			if message.dead > 1 {
				t.Errorf("%v after it goes on: %d dead, and one is", since, message.dead)
			}
		case <-time.After(waitTimeout):
			t.Fatal("the hub says nothing any more")
		}
	}
	t.Logf("%d words heard, %d of settings; the last old one after %v", received, withSettings, lastOld)
	if lastOld > 3*time.Second {
		t.Errorf("old settings are told for %v", lastOld)
	}
	waitFor(t, "the agents of a at home", allOf([]*clusterAgent{atA[0], atA[2], restarted}, attachedTo("a")))
	waitFor(t, "the share of the dead one's part", allOf(list, hasQuota(1./11)))
}

// The ways to and from a hub are cut one way: between it and all agents, or between it and the other hubs. Its agents go
// elsewhere or stay, nobody is taken for dead, and the settings that are given meanwhile come to everyone, at the latest when
// the way is whole again.
func TestHubCutInOneDirection(t *testing.T) {
	for name, test := range map[string]struct {
		cut   map[string]uint8
		alone string // zones whose agents hear of nobody else's then; "": all hear of all
	}{
		"from agents": {cutPaths(in, "", "abc"), ""},
		"to agents":   {cutPaths(out, "", "abc"), ""},
		"from hubs":   {cutPaths(in, "bc", ""), "a"},
		"to hubs":     {cutPaths(out, "bc", ""), "bc"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 6, false, "a", "b", "c")
			c.preferredCheckInterval = 2 * time.Second
			defer c.monitor.stopAndCheck(t)
			c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
			atA := c.startAgents("a", 2)
			list := append(append(c.startAgents("b", 2), c.startAgents("c", 2)...), atA...)
			waitFor(t, "the agents at home", allOf(atA, attachedTo("a")))
			waitFor(t, "the first settings", allOf(list, hasSettings(1)))
			waitFor(t, "an even part for each", allOf(list, hasQuota(1./6)))
			waitFor(t, "a census of all", allOf(list, func(k Status) bool { return k.FleetSize.Attached == 6 }))
			c.monitor.require(1./8, true) // those that move are counted twice for a moment
			c.hubs["a"].execute(t, hubCommand{Cut: test.cut})
			startedAt := time.Now()
			c.hubs["b"].execute(t, hubCommand{Settings: settingsText(2, 4)})
			if test.alone != "" {
				waitFor(t, "the settings at the others", allOf(list[:4], hasSettings(2)))
				here := map[string][]*clusterAgent{"a": atA, "bc": list[:4]}[test.alone]
				waitFor(t, "a census of them alone", allOf(here, func(k Status) bool { return int(k.FleetSize.Attached) == len(here) }))
			} else {
				waitFor(t, "another hub", allOf(atA, attachedTo("bc")))
				waitWithin(t, "the settings at all", 14*time.Second, startedAt, allOf(list, hasSettings(2)))
			}
			c.hubs["a"].execute(t, hubCommand{Cut: map[string]uint8{}})
			waitWithin(t, "the settings at all", 14*time.Second, time.Now(), allOf(list, hasSettings(2)))
			waitFor(t, "the agents at home", allOf(atA, attachedTo("a")))
			waitFor(t, "a census of all", allOf(list, func(k Status) bool { return k.FleetSize.Attached == 6 }))
		})
	}
}

// A hundred agents that never read cost their hub little, and the others hear it each second all the while.
func TestSlowReadersDoNotDelayOthers(t *testing.T) {
	t.Parallel()
	const slow = 100
	m := newMonitor()
	c := &cluster{t: t, monitor: m, maxAgents: slow + 10, hubs: map[string]*hubProcess{}, stateDir: t.TempDir()}
	defer m.stopAndCheck(t)
	c.hubs["a"] = startHubProcess(t, m, hubSpec{Name: "hub a", Site: "a", Listen: hubIP("a") + ":0", MaxAgents: c.maxAgents, SendBuffer: 4096, Untraced: true})
	hub := c.hubs["a"]
	list := c.startAgents("a", 3)
	waitFor(t, "the agents", allOf(list, attachedTo("a")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	messages := make(chan receivedMessage, 100000)
	go receiveFrom(ctx, hub.addr, t.Name(), "listener", func(message receivedMessage) { messages <- message })
	waitFor(t, "the listener", func() bool { return len(messages) > 0 })
	before := hub.execute(t, hubCommand{Heap: true}).Heap
	var dropped, attached atomic.Int32
	done := make(chan struct{}, slow)
	for i := range slow {
		go func() {
			defer func() { done <- struct{}{} }()
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				conn, _, err := dialHub(hub.addr, t.Name(), fmt.Sprint("slow ", i), 2048)
				if err != nil {
					continue
				}
				attached.Add(1)
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				sendStates(conn)
				stop()
				conn.Close()
				attached.Add(-1)
				dropped.Add(1)
			}
		}()
	}
	version, maxHeap := 1, uint64(0)
	waitFor(t, "that each slow reader was dropped", func() bool { // news for everyone all the while
		hub.execute(t, hubCommand{Settings: settingsText(version, 3)})
		version++
		if m := hub.execute(t, hubCommand{Heap: true}).Heap; attached.Load() > slow/2 {
			maxHeap = max(maxHeap, m)
		}
		return dropped.Load() >= slow
	})
	var longest time.Duration
	last := time.Time{}
	for len(messages) > 0 {
		if message := <-messages; !last.IsZero() {
			longest = max(longest, message.at.Sub(last))
			last = message.at
		} else {
			last = message.at
		}
	}
	t.Logf("heap and stacks %d kB before, %d kB at most; the longest pause between words %v; %d versions", before>>10, maxHeap>>10, longest, version-1)
	if longest > 1500*time.Millisecond {
		t.Errorf("nothing was heard for %v", longest)
	}
	if maxHeap > before+slow*64<<10 {
		t.Errorf("%d bytes for each", (maxHeap-before)/slow)
	}
	if !allOf(list, attachedTo("a"))() {
		t.Error("an agent went, and there is no other hub")
	}
	cancel()
	for range slow {
		<-done
	}
}

// 257 agents lose their hub at once: no other hub hears more than 100 hellos in a second, all are attached again within 10 s, and nobody is without a part
// meanwhile. The hub is back: they go home, no more than twice as many in a second as if they came evenly.
func TestAgentsOfLostHubMoveWithoutBurst(t *testing.T) {
	t.Parallel()
	const many = 257
	c := newCluster(t, many, true, "a", "b", "c", "d")
	c.singleRegion, c.preferredCheckInterval = true, 6*time.Second
	defer c.monitor.stopAndCheck(t)
	list := c.startAgents("a", many)
	waitFor(t, "all at home", allOf(list, attachedTo("a")))
	waitFor(t, "an even part for each", allOf(list, hasQuota(1./many)))
	c.monitor.require(1./(2*many), true) // those that move are counted twice for a moment
	startedAt := time.Now()
	c.hubs["a"].kill()
	waitFor(t, "that it is lost", func() bool { return !allOf(list, attachedTo("a"))() })
	waitWithin(t, "all at other hubs", 10*time.Second, startedAt, allOf(list, attachedTo("bcd")))
	for _, z := range []string{"b", "c", "d"} {
		peak, hellos := c.hubs[z].helloRate(startedAt)
		t.Logf("hub %s: %d hellos, %d in the worst second", z, hellos, peak)
		if peak > 100 || hellos < many/10 {
			t.Errorf("hub %s: %d hellos, %d in the worst second", z, hellos, peak)
		}
	}
	startedAt = time.Now()
	c.restartHub("a")
	// Two looks for home are at most one and a half times n.home apart each; on a busy machine one may fail.
	waitWithin(t, "all at home again", 3*c.preferredCheckInterval, startedAt, allOf(list, attachedTo("a")))
	peak, hellos := c.hubs["a"].helloRate(startedAt)
	t.Logf("home: %d hellos, %d in the worst second", hellos, peak)
	if peak > 2*many/int(c.preferredCheckInterval/time.Second) {
		t.Errorf("%d hellos at home in the worst second", peak)
	}
}

func firstDigestIs(digest string) func(a *clusterAgent) bool {
	return func(a *clusterAgent) bool { return a.settings.State().Digests[0] == digest }
}

// Two regions are cut from each other. On both sides there are new settings, an agent dies, and another that dies is started again on the other
// side. Together again, all have the higher version, and the parts of the dead are shared. Apart once more, each side is given a text of one version: the first that
// came stands on each side, and everyone says so, until there is a higher version.
func TestRegionsPartitionedAndRejoined(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 12, false, "a", "b", "c", "d")
	defer c.monitor.stopAndCheck(t)
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(1, 3)})
	sides := [2][]*clusterAgent{append(c.startAgents("a", 3), c.startAgents("b", 3)...), append(c.startAgents("c", 3), c.startAgents("d", 3)...)}
	both := func() []*clusterAgent { return append(append([]*clusterAgent(nil), sides[0]...), sides[1]...) }
	waitFor(t, "the first settings", allOf(both(), hasSettings(1)))
	waitFor(t, "an even part for each", allOf(both(), hasQuota(1./12)))
	partition := func() {
		t.Helper()
		for z, h := range c.hubs {
			other := "cd"
			if z > "b" {
				other = "ab"
			}
			h.execute(t, hubCommand{Cut: cutPaths(in|out, other, other)})
		}
		for i, side := range sides {
			waitFor(t, fmt.Sprint("a census of side ", i, " alone"), allOf(side, func(k Status) bool { return int(k.FleetSize.Attached) == len(side) }))
		}
	}
	rejoin := func() {
		t.Helper()
		for _, h := range c.hubs {
			h.execute(t, hubCommand{Cut: map[string]uint8{}})
		}
		waitFor(t, "a census of all", allOf(both(), func(k Status) bool { return int(k.FleetSize.Attached) == len(both()) }))
	}
	partition()
	c.hubs["a"].execute(t, hubCommand{Settings: settingsText(2, 4)})
	c.hubs["c"].execute(t, hubCommand{Settings: settingsText(3, 5)})
	waitFor(t, "the settings of one side", allOf(sides[0], hasSettings(2)))
	waitFor(t, "the settings of the other", allOf(sides[1], hasSettings(3)))
	for i, zone := range []string{"c", "b"} {
		sides[i][0].kill()
		moving := sides[i][1]
		moving.kill()
		sides[i] = sides[i][2:]
		sides[1-i] = append(sides[1-i], c.startAgent(zone, 9, moving.cfg.Name))
	}
	waitFor(t, "a hub for each", allOf(both(), attachedTo("abcd")))
	waitFor(t, "the parts of the dead", allOf(both(), func(k Status) bool { return k.Quota > 1./12 }))
	startedAt := time.Now()
	rejoin()
	waitWithin(t, "the higher settings everywhere", 14*time.Second, startedAt, allOf(both(), hasSettings(3)))
	waitFor(t, "the parts of two who are dead", allOf(both(), hasQuota(1./10)))

	partition()
	x, y := settingsText(5, 2), settingsText(5, 6)
	c.hubs["b"].execute(t, hubCommand{Settings: x})
	c.hubs["d"].execute(t, hubCommand{Settings: y})
	digests := [2]string{settings.Digest(x), settings.Digest(y)}
	waitFor(t, "a text of one version on each side", allOf(both(), hasSettings(5)))
	rejoin()
	waitFor(t, "that all say so", func() bool {
		for _, a := range both() {
			if !strings.Contains(a.settings.Status().Reason, "2 texts have version 5") {
				return false
			}
		}
		return true
	})
	for i, side := range sides {
		for _, a := range side {
			if !firstDigestIs(digests[i])(a) {
				t.Errorf("%s does not have the first text of its side", a.cfg.Name)
			}
		}
	}
	startedAt = time.Now()
	c.hubs["d"].execute(t, hubCommand{Settings: settingsText(6, 2)})
	waitWithin(t, "one text everywhere", 14*time.Second, startedAt, allOf(both(), func(k Status) bool { return k.SettingsVersion == 6 }))
	for _, a := range both() {
		if why := a.settings.Status().Reason; why != "" {
			t.Errorf("%s: %s", a.cfg.Name, why)
		}
	}
}
