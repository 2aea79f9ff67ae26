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

// hollow is an agent that is nothing but its place in the fleet.
type hollow struct {
	*Spoke
	w      *watch
	set    *settings.Holder
	policy *residency.Holder
	cancel context.CancelFunc
	done   chan struct{}
}

// town is hubs of the zones a, b, c and d, each a process, and agents that are watched. a and b are of one region, c and d of
// another; hub x has the address 127.2.0.x, and agent n 127.1.x.n.
type town struct {
	t     *testing.T
	w     *watch
	most  int
	hubs  map[string]*proc
	state string
	quiet bool
	home  time.Duration // how long agents stay elsewhere; 0: as they do
	one   bool          // all zones are of one region
}

func (n *town) region(zone string) string {
	if zone < "c" || n.one {
		return "r"
	}
	return "q"
}

func ip(zone string) string { return fmt.Sprintf("127.2.0.%d", 1+zone[0]-'a') }

func agentIP(zone string, i int) string { return fmt.Sprintf("127.1.%d.%d", 1+zone[0]-'a', 1+i%250) }

// ways are to the hubs and the first agents of some zones.
func ways(cut uint8, hubs, agents string) map[string]uint8 {
	m := map[string]uint8{}
	for _, z := range hubs {
		m[ip(string(z))] = cut
	}
	for _, z := range agents {
		for i := range 20 {
			m[agentIP(string(z), i)] = cut
		}
	}
	return m
}

func newTown(t *testing.T, most int, quiet bool, zones ...string) *town {
	t.Helper()
	n := &town{t: t, w: newWatch(), most: most, hubs: map[string]*proc{}, state: t.TempDir(), quiet: quiet}
	for _, z := range zones {
		n.startHub(z, "0")
	}
	return n
}

func (n *town) startHub(zone, port string) {
	n.t.Helper()
	sp := spec{Name: "hub " + zone, Site: zone, Listen: ip(zone) + ":" + port, Most: n.most, Quiet: n.quiet, Source: zone == "c"}
	for z, h := range n.hubs {
		if z != zone {
			sp.Seeds = append(sp.Seeds, h.addr)
		}
	}
	n.hubs[zone] = newProc(n.t, n.w, sp)
}

// again starts a hub's process where it was.
func (n *town) again(zone string) {
	n.t.Helper()
	_, port, _ := strings.Cut(n.hubs[zone].addr, ":")
	n.startHub(zone, port)
}

// agent starts one of a zone, with what an earlier process of its name has kept.
func (n *town) agent(zone string, i int, name string) *hollow {
	n.t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	dir := n.state + "/" + strings.ReplaceAll(name, " ", "-")
	a := &hollow{w: n.w, done: make(chan struct{}), set: settings.NewHolder(settings.Config{Keep: settings.Keep(dir), Log: quiet}),
		policy: residency.NewHolder([]string{"a", "b", "c", "d"}, time.Minute, false, quiet, nil)}
	if err := a.set.Load(dir); err != nil {
		n.t.Fatal(err)
	}
	c := Config{Name: name, Site: zone, Region: n.region(zone), Listen: agentIP(zone, i) + ":0", Label: n.t.Name(), Most: n.most, Settings: a.set, Residency: a.policy, Log: quiet}
	if !n.quiet {
		c.Trace = n.w
	}
	for z, h := range n.hubs {
		c.Hubs = append(c.Hubs, Hub{z, n.region(z), h.addr})
	}
	var err error
	if a.Spoke, err = New(c, []string{"a", "b", "c", "d"}, fleet.Told{}); err != nil {
		n.t.Fatal(err)
	}
	if n.home > 0 {
		a.choose.homing = n.home
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	n.w.lives(name, a.Known)
	go func() {
		defer close(a.done)
		_ = a.Run(ctx)
	}()
	a.Ready()
	n.t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func (n *town) agents(zone string, count int) (list []*hollow) {
	n.t.Helper()
	for i := range count {
		list = append(list, n.agent(zone, i, fmt.Sprint(zone, " ", i)))
	}
	return list
}

// kill ends an agent without a word: its sockets are closed, as a system does with those of a process that is killed.
func (a *hollow) kill() {
	a.mu.Lock()
	if a.stream != nil {
		a.stream.conn.Close()
	}
	a.mu.Unlock()
	a.cancel()
	<-a.done
	a.w.dead(a.cfg.Name)
}

func all(list []*hollow, is func(Known) bool) func() bool {
	return func() bool {
		for _, a := range list {
			if !is(a.Known()) {
				return false
			}
		}
		return true
	}
}

func at(zones string) func(Known) bool {
	return func(k Known) bool { return k.Hub != "" && strings.Contains(zones, k.Hub[len("hub "):]) }
}

func has(version int64) func(Known) bool { return func(k Known) bool { return k.Settings == version } }

func part(p float64) func(Known) bool { return func(k Known) bool { return k.Part == p } }

func set(version int, most int) string {
	return fmt.Sprintf("version = %d\n[attempts]\nmost = %d\n", version, most)
}

func law(version int) string {
	return fmt.Sprintf("version = %d\n[regions]\nr = [\"a\", \"b\"]\n[others]\npermitted = [\"*\"]\n", version)
}

func within(t *testing.T, what string, d time.Duration, since time.Time, holds func() bool) {
	t.Helper()
	await(t, what, holds)
	if took := time.Since(since); took > d {
		t.Errorf("%s: after %v, not within %v", what, took, d)
	} else {
		t.Logf("%s: after %v", what, took)
	}
}

// A hub is killed, and two of its agents with it, and settings are given to another hub at that moment: all that live have
// them within 14 s.
func TestSettingsWhileAHubIsKilled(t *testing.T) {
	t.Parallel()
	n := newTown(t, 24, false, "a", "b", "c", "d")
	defer n.w.over(t)
	n.hubs["a"].do(t, task{Settings: set(1, 3)})
	var list []*hollow
	for _, z := range []string{"a", "b", "c", "d"} {
		list = append(list, n.agents(z, 6)...)
	}
	for i, z := range []string{"a", "b", "c", "d"} {
		await(t, "the agents of "+z+" at home", all(list[6*i:6*i+6], at(z)))
	}
	await(t, "the first settings", all(list, has(1)))
	n.hubs["c"].do(t, task{Policy: law(1)})
	await(t, "the first policy", all(list, func(k Known) bool { return k.Policy == 1 }))
	await(t, "an even part for each", all(list, part(1./24)))
	began := time.Now()
	n.hubs["a"].kill()
	list[0].kill()
	list[1].kill()
	n.hubs["d"].do(t, task{Settings: set(2, 4)})
	within(t, "the settings at all that live", 14*time.Second, began, all(list[2:], has(2)))
	within(t, "a hub for each", 14*time.Second, began, all(list[2:], at("bcd")))
	n.again("a")
	await(t, "the second settings at the hub that is back", func() bool {
		return n.hubs["a"].do(t, task{Settings: set(1, 3)}).Error != ""
	})
}

// raw attaches to a hub as an agent does, and reads nothing yet but that it is welcome.
func raw(addr, label, name string, buffer int) (c net.Conn, r *bufio.Reader, err error) {
	d := net.Dialer{Timeout: time.Second}
	if buffer > 0 {
		d.Control = func(_, _ string, rc syscall.RawConn) error {
			return rc.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
		}
	}
	if c, err = d.Dial("tcp", addr); err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	r = bufio.NewReaderSize(c, 16)
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", frame.Path, frame.Protocol)
	resp, err := http.ReadResponse(r, nil)
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err == nil {
		put(c, &frame.Frame{Hello: &frame.Hello{Label: label, Name: name, Incarnation: 1, Site: "a"}})
		var f *frame.Frame
		if f, err = frame.Read(r); err == nil && f.Welcome == nil {
			err = fmt.Errorf("%+v", f)
		}
	}
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return c, r, nil
}

// beats tells a hub each second that an agent is there, until its stream ends.
func beats(c net.Conn) {
	for n := uint32(1); ; n++ {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		data, err := frame.Encode(&frame.Frame{State: &frame.State{Seq: n, Serving: true}})
		if err != nil {
			panic(err)
		}
		if _, err := c.Write(data); err != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// said is what a hub said to one who listens, and when.
type said struct {
	at       time.Time
	settings int64 // -1: nothing of them
	gone     int   // -1
	sure     bool
}

// listen attaches to a hub whenever it may, and hands on what it says.
func listen(ctx context.Context, addr, label, name string, to func(said)) {
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		c, r, err := raw(addr, label, name, 0)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go beats(c)
		for {
			f, err := frame.Read(r)
			if err != nil {
				break
			}
			x := said{time.Now(), -1, -1, f.Sure}
			if m, err := gossip.Decode(f.Facts); len(f.Facts) > 0 && err == nil {
				for _, w := range m.Facts {
					if s, ok := documents.ParseStanding(w.Body); w.Kind == gossip.Settings && ok {
						x.settings = s.Version
					}
					if c, err := hub.ParseCensus(w.Body); w.Kind == gossip.Census && err == nil {
						x.gone = int(c.Gone)
					}
				}
			}
			to(x)
		}
		stop()
		c.Close()
	}
}

// A hub is stopped for 10 s. Meanwhile one that it knew to be dead is back, another dies, and there are new settings. When it
// goes on, it says nothing of before: of nobody that he is dead and to nobody that his part is his own until it has heard the
// others for the bound of such a word, and the old settings no longer than it takes to ask for the new ones.
func TestAHubIsStoppedAndGoesOn(t *testing.T) {
	t.Parallel()
	n := newTown(t, 12, false, "a", "b", "c")
	n.home = 2 * time.Second
	defer n.w.over(t)
	n.hubs["a"].do(t, task{Settings: set(1, 3)})
	atA := n.agents("a", 4)
	list := append(append(n.agents("b", 2), n.agents("c", 2)...), atA[0], atA[2])
	await(t, "the agents at home", all(atA, at("a")))
	await(t, "the first settings", all(list, has(1)))
	await(t, "an even part for each", all(list, part(1./12)))
	words := make(chan said, 100000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go listen(ctx, n.hubs["a"].addr, t.Name(), "listener", func(x said) { words <- x })
	atA[3].kill()
	await(t, "their share of a dead one's part", all(list, part(1./11)))
	await(t, "a census without it, by which the others reckon while this hub is not heard", all(list, func(k Known) bool { return k.Census.Attached == 8 }))

	stopped := time.Now()
	n.hubs["a"].signal(t, syscall.SIGSTOP)
	n.hubs["b"].do(t, task{Settings: set(2, 4)})
	back := n.agent("a", 3, "a 3")
	await(t, "another hub", all(append(list[:len(list):len(list)], atA[1]), at("bc"))) // the one that dies too: else only this hub knew it
	atA[1].kill()
	list = append(list, back)
	await(t, "the one that is back", all(list, at("bc")))
	n.hubs["c"].do(t, task{Settings: set(3, 5)})
	await(t, "the settings without the hub that is stopped", all(list, has(3)))
	await(t, "their share of the other dead one's part", all(list, part(1./11)))
	time.Sleep(time.Until(stopped.Add(10 * time.Second))) // so long it is stopped at the least
	for len(words) > 0 {
		<-words
	}
	on := time.Now()
	n.hubs["a"].signal(t, syscall.SIGCONT)
	var heard, told int
	var lastOld time.Duration
	for newest := int64(0); newest < 3 || time.Since(on) < 6*time.Second; {
		select {
		case x := <-words:
			heard++
			since := x.at.Sub(on)
			if x.settings >= 0 {
				told++
				if x.settings < newest {
					t.Errorf("settings %d after %d", x.settings, newest)
				}
				if newest = x.settings; newest < 3 {
					lastOld = since
				}
			}
			if since < 2500*time.Millisecond && (x.gone > 0 || x.sure) {
				t.Errorf("%v after it goes on: %d dead, sure %v", since, x.gone, x.sure)
			}
			if x.gone > 1 {
				t.Errorf("%v after it goes on: %d dead, and one is", since, x.gone)
			}
		case <-time.After(patience):
			t.Fatal("the hub says nothing any more")
		}
	}
	t.Logf("%d words heard, %d of settings; the last old one after %v", heard, told, lastOld)
	if lastOld > 3*time.Second {
		t.Errorf("old settings are told for %v", lastOld)
	}
	await(t, "the agents of a at home", all([]*hollow{atA[0], atA[2], back}, at("a")))
	await(t, "the share of the dead one's part", all(list, part(1./11)))
}

// The ways to and from a hub are cut one way: between it and all agents, or between it and the other hubs. Its agents go
// elsewhere or stay, nobody is taken for dead, and the settings that are given meanwhile come to everyone, at the latest when
// the way is whole again.
func TestAHubIsCutOneWay(t *testing.T) {
	for name, c := range map[string]struct {
		cut   map[string]uint8
		alone string // zones whose agents hear of nobody else's then; "": all hear of all
	}{
		"from agents": {ways(in, "", "abc"), ""},
		"to agents":   {ways(out, "", "abc"), ""},
		"from hubs":   {ways(in, "bc", ""), "a"},
		"to hubs":     {ways(out, "bc", ""), "bc"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			n := newTown(t, 6, false, "a", "b", "c")
			n.home = 2 * time.Second
			defer n.w.over(t)
			n.hubs["a"].do(t, task{Settings: set(1, 3)})
			atA := n.agents("a", 2)
			list := append(append(n.agents("b", 2), n.agents("c", 2)...), atA...)
			await(t, "the agents at home", all(atA, at("a")))
			await(t, "the first settings", all(list, has(1)))
			await(t, "an even part for each", all(list, part(1./6)))
			await(t, "a census of all", all(list, func(k Known) bool { return k.Census.Attached == 6 }))
			n.w.hold(1./8, true) // those that move are counted twice for a moment
			n.hubs["a"].do(t, task{Cut: c.cut})
			began := time.Now()
			n.hubs["b"].do(t, task{Settings: set(2, 4)})
			if c.alone != "" {
				await(t, "the settings at the others", all(list[:4], has(2)))
				here := map[string][]*hollow{"a": atA, "bc": list[:4]}[c.alone]
				await(t, "a census of them alone", all(here, func(k Known) bool { return int(k.Census.Attached) == len(here) }))
			} else {
				await(t, "another hub", all(atA, at("bc")))
				within(t, "the settings at all", 14*time.Second, began, all(list, has(2)))
			}
			n.hubs["a"].do(t, task{Cut: map[string]uint8{}})
			within(t, "the settings at all", 14*time.Second, time.Now(), all(list, has(2)))
			await(t, "the agents at home", all(atA, at("a")))
			await(t, "a census of all", all(list, func(k Known) bool { return k.Census.Attached == 6 }))
		})
	}
}

// A hundred agents that never read cost their hub little, and the others hear it each second all the while.
func TestNobodyPaysForSlowReaders(t *testing.T) {
	t.Parallel()
	const slow = 100
	w := newWatch()
	n := &town{t: t, w: w, most: slow + 10, hubs: map[string]*proc{}, state: t.TempDir()}
	defer w.over(t)
	n.hubs["a"] = newProc(t, w, spec{Name: "hub a", Site: "a", Listen: ip("a") + ":0", Most: n.most, SendBuffer: 4096, Quiet: true})
	h := n.hubs["a"]
	list := n.agents("a", 3)
	await(t, "the agents", all(list, at("a")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	words := make(chan said, 100000)
	go listen(ctx, h.addr, t.Name(), "listener", func(x said) { words <- x })
	await(t, "the listener", func() bool { return len(words) > 0 })
	before := h.do(t, task{Heap: true}).Heap
	var ended, there atomic.Int32
	done := make(chan struct{}, slow)
	for i := range slow {
		go func() {
			defer func() { done <- struct{}{} }()
			for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				c, _, err := raw(h.addr, t.Name(), fmt.Sprint("slow ", i), 2048)
				if err != nil {
					continue
				}
				there.Add(1)
				stop := context.AfterFunc(ctx, func() { c.Close() })
				beats(c)
				stop()
				c.Close()
				there.Add(-1)
				ended.Add(1)
			}
		}()
	}
	version, most := 1, uint64(0)
	await(t, "that each slow reader was dropped", func() bool { // news for everyone all the while
		h.do(t, task{Settings: set(version, 3)})
		version++
		if m := h.do(t, task{Heap: true}).Heap; there.Load() > slow/2 {
			most = max(most, m)
		}
		return ended.Load() >= slow
	})
	var longest time.Duration
	last := time.Time{}
	for len(words) > 0 {
		if x := <-words; !last.IsZero() {
			longest = max(longest, x.at.Sub(last))
			last = x.at
		} else {
			last = x.at
		}
	}
	t.Logf("heap and stacks %d kB before, %d kB at most; the longest pause between words %v; %d versions", before>>10, most>>10, longest, version-1)
	if longest > 1500*time.Millisecond {
		t.Errorf("nothing was heard for %v", longest)
	}
	if most > before+slow*64<<10 {
		t.Errorf("%d bytes for each", (most-before)/slow)
	}
	if !all(list, at("a"))() {
		t.Error("an agent went, and there is no other hub")
	}
	cancel()
	for range slow {
		<-done
	}
}

// 257 agents lose their hub at once: no other hub hears more than 100 hellos in a second, all are attached again within 10 s, and nobody is without a part
// meanwhile. The hub is back: they go home, no more than twice as many in a second as if they came evenly.
func TestManyAgentsMoveAtOnce(t *testing.T) {
	t.Parallel()
	const many = 257
	n := newTown(t, many, true, "a", "b", "c", "d")
	n.one, n.home = true, 6*time.Second
	defer n.w.over(t)
	list := n.agents("a", many)
	await(t, "all at home", all(list, at("a")))
	await(t, "an even part for each", all(list, part(1./many)))
	n.w.hold(1./(2*many), true) // those that move are counted twice for a moment
	began := time.Now()
	n.hubs["a"].kill()
	await(t, "that it is lost", func() bool { return !all(list, at("a"))() })
	within(t, "all at other hubs", 10*time.Second, began, all(list, at("bcd")))
	for _, z := range []string{"b", "c", "d"} {
		second, hellos := n.hubs[z].worst(began)
		t.Logf("hub %s: %d hellos, %d in the worst second", z, hellos, second)
		if second > 100 || hellos < many/10 {
			t.Errorf("hub %s: %d hellos, %d in the worst second", z, hellos, second)
		}
	}
	began = time.Now()
	n.again("a")
	// Two looks for home are at most one and a half times n.home apart each; on a busy machine one may fail.
	within(t, "all at home again", 3*n.home, began, all(list, at("a")))
	second, hellos := n.hubs["a"].worst(began)
	t.Logf("home: %d hellos, %d in the worst second", hellos, second)
	if second > 2*many/int(n.home/time.Second) {
		t.Errorf("%d hellos at home in the worst second", second)
	}
}

func first(digest string) func(a *hollow) bool {
	return func(a *hollow) bool { return a.set.State().Digests[0] == digest }
}

// Two regions are cut from each other. On both sides there are new settings, an agent dies, and another that dies is started again on the other
// side. Together again, all have the higher version, and the parts of the dead are shared. Apart once more, each side is given a text of one version: the first that
// came stands on each side, and everyone says so, until there is a higher version.
func TestRegionsApartAndTogether(t *testing.T) {
	t.Parallel()
	n := newTown(t, 12, false, "a", "b", "c", "d")
	defer n.w.over(t)
	n.hubs["a"].do(t, task{Settings: set(1, 3)})
	sides := [2][]*hollow{append(n.agents("a", 3), n.agents("b", 3)...), append(n.agents("c", 3), n.agents("d", 3)...)}
	both := func() []*hollow { return append(append([]*hollow(nil), sides[0]...), sides[1]...) }
	await(t, "the first settings", all(both(), has(1)))
	await(t, "an even part for each", all(both(), part(1./12)))
	apart := func() {
		t.Helper()
		for z, h := range n.hubs {
			other := "cd"
			if z > "b" {
				other = "ab"
			}
			h.do(t, task{Cut: ways(in|out, other, other)})
		}
		for i, side := range sides {
			await(t, fmt.Sprint("a census of side ", i, " alone"), all(side, func(k Known) bool { return int(k.Census.Attached) == len(side) }))
		}
	}
	together := func() {
		t.Helper()
		for _, h := range n.hubs {
			h.do(t, task{Cut: map[string]uint8{}})
		}
		await(t, "a census of all", all(both(), func(k Known) bool { return int(k.Census.Attached) == len(both()) }))
	}
	apart()
	n.hubs["a"].do(t, task{Settings: set(2, 4)})
	n.hubs["c"].do(t, task{Settings: set(3, 5)})
	await(t, "the settings of one side", all(sides[0], has(2)))
	await(t, "the settings of the other", all(sides[1], has(3)))
	for i, zone := range []string{"c", "b"} {
		sides[i][0].kill()
		moves := sides[i][1]
		moves.kill()
		sides[i] = sides[i][2:]
		sides[1-i] = append(sides[1-i], n.agent(zone, 9, moves.cfg.Name))
	}
	await(t, "a hub for each", all(both(), at("abcd")))
	await(t, "the parts of the dead", all(both(), func(k Known) bool { return k.Part > 1./12 }))
	began := time.Now()
	together()
	within(t, "the higher settings everywhere", 14*time.Second, began, all(both(), has(3)))
	await(t, "the parts of two who are dead", all(both(), part(1./10)))

	apart()
	x, y := set(5, 2), set(5, 6)
	n.hubs["b"].do(t, task{Settings: x})
	n.hubs["d"].do(t, task{Settings: y})
	digests := [2]string{settings.Digest(x), settings.Digest(y)}
	await(t, "a text of one version on each side", all(both(), has(5)))
	together()
	await(t, "that all say so", func() bool {
		for _, a := range both() {
			if !strings.Contains(a.set.Standing().Why, "2 texts have version 5") {
				return false
			}
		}
		return true
	})
	for i, side := range sides {
		for _, a := range side {
			if !first(digests[i])(a) {
				t.Errorf("%s does not have the first text of its side", a.cfg.Name)
			}
		}
	}
	began = time.Now()
	n.hubs["d"].do(t, task{Settings: set(6, 2)})
	within(t, "one text everywhere", 14*time.Second, began, all(both(), func(k Known) bool { return k.Settings == 6 }))
	for _, a := range both() {
		if why := a.set.Standing().Why; why != "" {
			t.Errorf("%s: %s", a.cfg.Name, why)
		}
	}
}
