package latency

// This file tests probers against each other over a network in memory.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

// testNetwork is a fleet of probers in memory, with delays between sites that the test sets.
type testNetwork struct {
	mu         sync.Mutex                                  // protects oneWay, bytes and addedDelay
	oneWay     func(from, to string) (time.Duration, bool) // delay in one direction, and whether the datagram arrives
	members    []member.Member
	view       *member.View
	probers    map[netip.AddrPort]*Prober
	stores     []*gossip.Store
	bytes      map[string]int           // sent, by member
	addedDelay map[string]time.Duration // of replies and requests, by sender
	tasks      sync.WaitGroup
}

// newTestNetwork starts a fleet of the given sizes by site, until ctx ends.
func newTestNetwork(ctx context.Context, sizes map[string]int, oneWay func(from, to string) (time.Duration, bool)) *testNetwork {
	network := &testNetwork{oneWay: oneWay, probers: map[netip.AddrPort]*Prober{}, bytes: map[string]int{},
		addedDelay: map[string]time.Duration{}}
	n := 0
	for _, site := range []string{"a", "b", "c"} {
		for i := range sizes[site] {
			n++
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), 1)
			network.members = append(network.members, member.Member{Name: fmt.Sprint(site, i), Addr: addr, Meta: member.Meta{Site: site}})
		}
	}
	network.view = member.NewView(network.members...)
	view := func() *member.View { return network.view }
	for _, m := range network.members {
		store := gossip.New(m.Name, 1, gossip.DefaultAgeBounds, nil)
		p := New(Config{Name: m.Name, Site: m.Site, Label: "x", View: view, Store: store, Send: network.sender(m)})
		network.probers[m.Addr], network.stores = p, append(network.stores, store)
		network.tasks.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(gossip.TickInterval)
				store.Tick()
			}
		})
	}
	for _, p := range network.probers {
		network.tasks.Go(func() { p.Run(ctx) })
	}
	network.tasks.Go(func() { network.gossip(ctx) })
	return network
}

// sender returns the Send function of a member.
func (n *testNetwork) sender(m member.Member) func([]byte, netip.AddrPort) (time.Time, error) {
	return func(data []byte, to netip.AddrPort) (time.Time, error) {
		now := time.Now()
		n.mu.Lock()
		defer n.mu.Unlock()
		n.bytes[m.Name] += len(data) + 28
		var targetSite string
		for _, o := range n.members {
			if o.Addr == to {
				targetSite = o.Site
			}
		}
		d, arrives := n.oneWay(m.Site, targetSite)
		if p := n.probers[to]; arrives && p != nil {
			delay := d + time.Duration(rand.Float64()*0.25*float64(d)) + n.addedDelay[m.Name]
			time.AfterFunc(delay, func() { p.HandleDatagram(data, m.Addr, time.Now()) })
		}
		return now, nil
	}
}

// gossip exchanges entries between random members, as the member list does.
func (n *testNetwork) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		for i, s := range n.stores {
			for range 3 {
				if data := s.NextMessage(1000, len(n.stores)); data != nil {
					to := rand.IntN(len(n.stores))
					if to != i {
						n.mu.Lock()
						n.bytes[n.members[i].Name] += len(data) + 28
						n.mu.Unlock()
						_ = n.stores[to].Merge(data)
					}
				}
			}
		}
	}
}

// withLock calls do with the lock held.
func (n *testNetwork) withLock(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// matrixAt returns the matrix that member i computes now.
func (n *testNetwork) matrixAt(i int) Matrix {
	return NewMatrix(n.stores[i].Entries(gossip.LatencyRow), n.view)
}

// uniformDelay returns a delay of 200 us within a site and 1 ms between sites. Every datagram arrives.
func uniformDelay(from, to string) (time.Duration, bool) {
	if from == to {
		return 200 * time.Microsecond, true
	}
	return time.Millisecond, true
}

// checkRTT checks that all members except at most two have approximately the expected round trip between two sites, from at
// least two observers.
func (n *testNetwork) checkRTT(t *testing.T, when, a, b string, want time.Duration) {
	t.Helper()
	wrong := 0
	for i := range n.members {
		e, known := n.matrixAt(i).Between(a, b)
		low, high := want*85/100-300*time.Microsecond, want*130/100+300*time.Microsecond
		if !known || e.RTT < low || e.RTT > high || e.Observers < 2 {
			if wrong++; wrong == 1 {
				t.Logf("%s: %s to %s at %s: got %+v, want round trip %v", when, a, b, n.members[i].Name, e, want)
			}
		}
	}
	if wrong > 2 { // a member that missed a few rows may have other values
		t.Errorf("%s: %d of %d members have a wrong round trip from %s to %s, want at most 2", when, wrong, len(n.members), a, b)
	}
}

// Within 3 s of a change of latency nearly all members have approximately the new round trip. Members with false
// measurements have little effect. The round trip of a partitioned pair of sites becomes unknown and its loss is reported;
// other pairs are not affected.
func TestMatrixFollowsLatencyAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		addedDelay, partitioned := time.Duration(0), false
		oneWay := func(from, to string) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			d, ok := uniformDelay(from, to)
			if from != to && from != "b" && to != "b" {
				d += addedDelay
				ok = !partitioned
			}
			return d, ok
		}
		network := newTestNetwork(ctx, map[string]int{"a": 8, "b": 8, "c": 8}, oneWay)
		defer func() { cancel(); network.tasks.Wait(); time.Sleep(time.Second) }()
		check := func(when string, a, b string, want time.Duration) { t.Helper(); network.checkRTT(t, when, a, b, want) }
		time.Sleep(3 * time.Second)
		check("at the start", "a", "c", 2*time.Millisecond)
		check("at the start", "a", "a", 400*time.Microsecond)
		mu.Lock()
		addedDelay = 20 * time.Millisecond
		mu.Unlock()
		time.Sleep(3*time.Second + 500*time.Millisecond)
		check("after latency rose", "a", "c", 42*time.Millisecond)
		check("after latency of another pair rose", "a", "b", 2*time.Millisecond)
		network.withLock(func() {
			network.addedDelay["a0"], network.addedDelay["a1"] = 300*time.Millisecond, 300*time.Millisecond
		})
		time.Sleep(3 * time.Second)
		check("with false measurements", "a", "c", 42*time.Millisecond)
		mu.Lock()
		partitioned = true
		mu.Unlock()
		time.Sleep(4 * time.Second)
		for i := range network.members {
			e, _ := network.matrixAt(i).Between("a", "c")
			if e.RTT != 0 || e.Loss < 0.9 {
				t.Errorf("partitioned pair: got %+v at %s, want no round trip and a loss of at least 0.9", e, network.members[i].Name)
				break
			}
		}
		check("other pair during the partition", "a", "b", 2*time.Millisecond)
	})
}

// The rate of probes for a pair of sites does not grow with the fleet.
func TestProbeRateDoesNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{3, 30, 90} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			network := newTestNetwork(ctx, map[string]int{"a": n / 3, "b": n / 3, "c": n / 3}, uniformDelay)
			defer func() { cancel(); network.tasks.Wait(); time.Sleep(time.Second) }()
			time.Sleep(10 * time.Second)
			totalBytes, maxBytes, probes := 0, 0, 0
			network.withLock(func() {
				for _, b := range network.bytes {
					totalBytes, maxBytes = totalBytes+b, max(maxBytes, b)
				}
			})
			for _, p := range network.probers {
				p.mu.Lock()
				probes += p.probesSent
				p.mu.Unlock()
			}
			t.Logf("%d members: mean %.0f B/s, maximum %d B/s, %.1f probes/s per pair",
				n, float64(totalBytes)/float64(n)/10, maxBytes/10, float64(probes)/10/6)
			if rate := float64(probes) / 10 / 6; rate > 2*pairRate {
				t.Errorf("%d members: got %.1f probes per second for a pair of sites, want at most %.1f", n, rate, 2*pairRate)
			}
		})
	}
}

// A row counts only if its observer is a member of its site, once for each pair, and only if it is well-formed.
func TestRowsAreCheckedAgainstMembership(t *testing.T) {
	view := member.NewView(member.Member{Name: "a0", Meta: member.Meta{Site: "a"}},
		member.Member{Name: "b0", Meta: member.Meta{Site: "b"}})
	body := func(r row) []byte { data, _ := cbor.Marshal(r); return data }
	entryToB := rowEntry{Site: "b", RTTMicros: 1000, Count: 3}
	for name, c := range map[string]struct {
		entry gossip.Entry
		want  int
	}{
		"valid":                    {gossip.Entry{Subject: "a", Observer: "a0", Body: body(row{[]rowEntry{entryToB}})}, 1},
		"observer of another site": {gossip.Entry{Subject: "b", Observer: "a0", Body: body(row{[]rowEntry{entryToB}})}, 0},
		"not a member":             {gossip.Entry{Subject: "a", Observer: "z", Body: body(row{[]rowEntry{entryToB}})}, 0},
		"duplicate entry":          {gossip.Entry{Subject: "a", Observer: "a0", Body: body(row{[]rowEntry{entryToB, entryToB}})}, 1},
		"no site":                  {gossip.Entry{Subject: "a", Observer: "a0", Body: body(row{[]rowEntry{{RTTMicros: 1, Count: 1}}})}, 0},
		"loss over 100":            {gossip.Entry{Subject: "a", Observer: "a0", Body: body(row{[]rowEntry{{Site: "b", LossPercent: 200}}})}, 0},
		"round trip of 60 s":       {gossip.Entry{Subject: "a", Observer: "a0", Body: body(row{[]rowEntry{{Site: "b", RTTMicros: 60e6, Count: 1}}})}, 0},
		"malformed CBOR":           {gossip.Entry{Subject: "a", Observer: "a0", Body: []byte{0xff}}, 0},
	} {
		if got := NewMatrix([]gossip.Entry{c.entry}, view); len(got) != c.want {
			t.Errorf("%s: got matrix %v, want %d pairs", name, got, c.want)
		}
		if e, known := NewMatrix([]gossip.Entry{c.entry}, view).Between("b", "a"); known && e.Observers != 1 {
			t.Errorf("%s: got %d observers, want 1", name, e.Observers)
		}
	}
}

// Row omits estimates that are older than the limit, and its age is that of the others.
func TestRowLeavesOutOldEstimates(t *testing.T) {
	m := Matrix{{"a", "b"}: {RTT: 3 * time.Millisecond, Age: time.Second}, {"a", "c"}: {RTT: 4 * time.Millisecond, Age: 2900 * time.Millisecond},
		{"b", "c"}: {RTT: time.Millisecond}}
	body, age := m.Row("a", 2*time.Second)
	if r, err := DecodeRow(body); err != nil || len(r) != 1 || r["b"].RTT != 3*time.Millisecond || age != time.Second {
		t.Errorf("got row %v, age %v, error %v, want only site b with a round trip of 3ms, and age 1s", r, age, err)
	}
	if body, _ := m.Row("a", time.Millisecond); body != nil {
		t.Errorf("got row %x from estimates that are too old, want none", body)
	}
}

func FuzzDatagram(f *testing.F) {
	f.Add(datagram{kind: probeRequest, label: 1, nonce: 2, dwell: 3}.encode(member.ProbeByte))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := New(Config{View: func() *member.View { return member.NewView() },
			Send: func([]byte, netip.AddrPort) (time.Time, error) { return time.Now(), nil }})
		if len(data) > 0 {
			p.HandleDatagram(data, netip.AddrPort{}, time.Now())
		}
		if r, err := unmarshalRow(data); err == nil && r.validate() != nil {
			t.Error("unmarshalRow accepted a row that exceeds its limits, want an error")
		}
	})
}
