package latency

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

// field is a fleet of probers in memory: ways between sites are what the test says.
type field struct {
	mu      sync.Mutex
	way     func(from, to string) (time.Duration, bool) // one way, and whether it arrives
	members []member.Member
	who     *member.View
	probers map[netip.AddrPort]*Prober
	stores  []*gossip.Store
	bytes   map[string]int // by member
	lies    map[string]time.Duration
	tasks   sync.WaitGroup
}

func newField(ctx context.Context, sizes map[string]int, way func(from, to string) (time.Duration, bool)) *field {
	f := &field{way: way, probers: map[netip.AddrPort]*Prober{}, bytes: map[string]int{}, lies: map[string]time.Duration{}}
	n := 0
	for _, site := range []string{"a", "b", "c"} {
		for i := range sizes[site] {
			n++
			f.members = append(f.members, member.Member{Name: fmt.Sprint(site, i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)}), 1),
				Meta: member.Meta{Site: site}})
		}
	}
	f.who = member.NewView(f.members...)
	view := func() *member.View { return f.who }
	for _, m := range f.members {
		store := gossip.New(m.Name, 1, gossip.DefaultBounds, nil)
		p := New(Config{Self: m.Name, Site: m.Site, Label: "x", View: view, Facts: store, Write: f.writer(m)})
		f.probers[m.Addr], f.stores = p, append(f.stores, store)
		f.tasks.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(gossip.TickEvery)
				store.Tick()
			}
		})
	}
	for _, p := range f.probers {
		f.tasks.Go(func() { p.Run(ctx) })
	}
	f.tasks.Go(func() { f.spread(ctx) })
	return f
}

func (f *field) writer(m member.Member) func([]byte, netip.AddrPort) (time.Time, error) {
	return func(data []byte, to netip.AddrPort) (time.Time, error) {
		now := time.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.bytes[m.Name] += len(data) + 28
		var site string
		for _, o := range f.members {
			if o.Addr == to {
				site = o.Site
			}
		}
		d, arrives := f.way(m.Site, site)
		if p := f.probers[to]; arrives && p != nil {
			time.AfterFunc(d+time.Duration(rand.Float64()*0.25*float64(d))+f.lies[m.Name], func() { p.Heard(data, m.Addr, time.Now()) })
		}
		return now, nil
	}
}

// spread gossips facts, as the membership does.
func (f *field) spread(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		for i, s := range f.stores {
			for range 3 {
				if data := s.Gossip(1000, len(f.stores)); data != nil {
					to := rand.IntN(len(f.stores))
					if to != i {
						f.mu.Lock()
						f.bytes[f.members[i].Name] += len(data) + 28
						f.mu.Unlock()
						_ = f.stores[to].Hear(data)
					}
				}
			}
		}
	}
}

func (f *field) set(by func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	by()
}

// seen is what a member makes of the matrix now.
func (f *field) seen(i int) Matrix { return Make(f.stores[i].Now(gossip.Distance), f.who) }

func even(from, to string) (time.Duration, bool) {
	if from == to {
		return 200 * time.Microsecond, true
	}
	return time.Millisecond, true
}

// A change is known everywhere within 3 s, about as it is; liars move nothing much; a pair that is cut becomes unknown
// with its loss, and a half that is cut off keeps nothing of the other past the bound.
func TestMatrixFollowsTheWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		slow, cut := time.Duration(0), false
		way := func(from, to string) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			d, ok := even(from, to)
			if from != to && from != "b" && to != "b" {
				d += slow
				ok = !cut
			}
			return d, ok
		}
		f := newField(ctx, map[string]int{"a": 8, "b": 8, "c": 8}, way)
		defer func() { cancel(); f.tasks.Wait(); time.Sleep(time.Second) }()
		check := func(when string, a, b string, want time.Duration) {
			t.Helper()
			off := 0
			for i := range f.members {
				e, known := f.seen(i).Of(a, b)
				low, high := want*85/100-300*time.Microsecond, want*130/100+300*time.Microsecond
				if !known || e.Trip < low || e.Trip > high || e.Observers < 2 {
					if off++; off == 1 {
						t.Logf("%s: %s %s at %s: %+v, want %v", when, a, b, f.members[i].Name, e, want)
					}
				}
			}
			if off > 2 { // a member that missed a few rows has some of the others
				t.Errorf("%s: %d of %d have %s %s wrong", when, off, len(f.members), a, b)
			}
		}
		time.Sleep(3 * time.Second)
		check("at the start", "a", "c", 2*time.Millisecond)
		check("at the start", "a", "a", 400*time.Microsecond)
		mu.Lock()
		slow = 20 * time.Millisecond
		mu.Unlock()
		time.Sleep(3*time.Second + 500*time.Millisecond)
		check("slower", "a", "c", 42*time.Millisecond)
		check("slower", "a", "b", 2*time.Millisecond)
		f.set(func() { f.lies["a0"], f.lies["a1"] = 300*time.Millisecond, 300*time.Millisecond })
		time.Sleep(3 * time.Second)
		check("with liars", "a", "c", 42*time.Millisecond)
		mu.Lock()
		cut = true
		mu.Unlock()
		time.Sleep(4 * time.Second)
		for i := range f.members {
			e, _ := f.seen(i).Of("a", "c")
			if e.Trip != 0 || e.Loss < 0.9 {
				t.Errorf("cut: %+v at %s", e, f.members[i].Name)
				break
			}
		}
		check("beside the cut", "a", "b", 2*time.Millisecond)
	})
}

// What a pair of sites is measured at does not grow with the fleet, nor what each member sends.
func TestCostStaysFlat(t *testing.T) {
	for _, n := range []int{3, 30, 90} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newField(ctx, map[string]int{"a": n / 3, "b": n / 3, "c": n / 3}, even)
			defer func() { cancel(); f.tasks.Wait(); time.Sleep(time.Second) }()
			time.Sleep(10 * time.Second)
			sum, most, probes := 0, 0, 0
			f.set(func() {
				for _, b := range f.bytes {
					sum, most = sum+b, max(most, b)
				}
			})
			for _, p := range f.probers {
				p.mu.Lock()
				probes += p.sent
				p.mu.Unlock()
			}
			t.Logf("%d members: %.0f B/s each, %d B/s at the most, %.1f probes/s a pair", n, float64(sum)/float64(n)/10, most/10, float64(probes)/10/6)
			if rate := float64(probes) / 10 / 6; rate > 2*pairRate {
				t.Errorf("%.1f probes a second for a pair", rate)
			}
		})
	}
}

// A row counts from an observer of its own site alone, one word for a pair, and what makes no sense is no row.
func TestRowsAreHeldAgainstMembers(t *testing.T) {
	alive := member.NewView(member.Member{Name: "a0", Meta: member.Meta{Site: "a"}}, member.Member{Name: "b0", Meta: member.Meta{Site: "b"}})
	body := func(r row) []byte { data, _ := cbor.Marshal(r); return data }
	one := entry{Site: "b", Micros: 1000, Count: 3}
	for name, c := range map[string]struct {
		f    gossip.Fact
		want int
	}{
		"sound":         {gossip.Fact{Subject: "a", Observer: "a0", Body: body(row{[]entry{one}})}, 1},
		"another site":  {gossip.Fact{Subject: "b", Observer: "a0", Body: body(row{[]entry{one}})}, 0},
		"not a member":  {gossip.Fact{Subject: "a", Observer: "z", Body: body(row{[]entry{one}})}, 0},
		"twice":         {gossip.Fact{Subject: "a", Observer: "a0", Body: body(row{[]entry{one, one}})}, 1},
		"no site":       {gossip.Fact{Subject: "a", Observer: "a0", Body: body(row{[]entry{{Micros: 1, Count: 1}}})}, 0},
		"loss over 100": {gossip.Fact{Subject: "a", Observer: "a0", Body: body(row{[]entry{{Site: "b", Loss: 200}}})}, 0},
		"a minute":      {gossip.Fact{Subject: "a", Observer: "a0", Body: body(row{[]entry{{Site: "b", Micros: 60e6, Count: 1}}})}, 0},
		"no row":        {gossip.Fact{Subject: "a", Observer: "a0", Body: []byte{0xff}}, 0},
	} {
		if got := Make([]gossip.Fact{c.f}, alive); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
		if e, known := Make([]gossip.Fact{c.f}, alive).Of("b", "a"); known && e.Observers != 1 {
			t.Errorf("%s: %d observers", name, e.Observers)
		}
	}
}

// A site that was not heard of for a while is left out of a row: the rest is as old as it is without it.
func TestRowLeavesOutTheOld(t *testing.T) {
	m := Matrix{{"a", "b"}: {Trip: 3 * time.Millisecond, Age: time.Second}, {"a", "c"}: {Trip: 4 * time.Millisecond, Age: 2900 * time.Millisecond},
		{"b", "c"}: {Trip: time.Millisecond}}
	body, age := m.Row("a", 2*time.Second)
	if r, err := ReadRow(body); err != nil || len(r) != 1 || r["b"].Trip != 3*time.Millisecond || age != time.Second {
		t.Errorf("%v, %v, %v", r, age, err)
	}
	if body, _ := m.Row("a", time.Millisecond); body != nil {
		t.Errorf("%x of what is too old", body)
	}
}

func FuzzDatagram(f *testing.F) {
	f.Add(datagram{what: ask, label: 1, nonce: 2, dwell: 3}.encode(member.ProbeByte))
	f.Fuzz(func(t *testing.T, data []byte) {
		p := New(Config{View: func() *member.View { return member.NewView() }, Write: func([]byte, netip.AddrPort) (time.Time, error) { return time.Now(), nil }})
		if len(data) > 0 {
			p.Heard(data, netip.AddrPort{}, time.Now())
		}
		if r, err := decodeRow(data); err == nil && r.check() != nil {
			t.Error("a row that does not hold its bounds is taken")
		}
	})
}
