package balancer

// Tests of the capacity totals: the incremental totals equal a full count.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// countAll computes the totals from all backends, without the incremental ones.
func (b *Balancer) countAll() (totals capacityTotals) {
	for _, backend := range b.backends {
		z := b.zone(backend)
		if backend.State == Up {
			totals.up++
		}
		if share := b.trafficShare(z); backend.State != Up || backend.presumedDead || b.now < backend.ejectedUntil || share == 0 {
			totals.uncountedOutstanding += len(backend.outstanding)
		} else if totals.capacity += b.warmth(backend) * share; !backend.warmingUp {
			totals.warmCapacity += share
			totals.warmOutstanding += len(backend.outstanding)
		}
	}
	return totals
}

const ms = time.Millisecond

func totalsSettings() Settings {
	return Settings{Balancers: 3, MaxAttempts: 4, Tick: ms, ConnectTimeout: 100 * ms, DrainGrace: 500 * ms,
		InitialCapacity: 0.2,
		SlowStartWindow: 2 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second, PollInterval: time.Second, GoalOverall: 1,
		Classes: []Class{{LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1}}}
}

// checkTotals compares the incremental totals with a full count.
func (b *Balancer) checkTotals(t *testing.T, when string) {
	t.Helper()
	b.recomputeCapacity()
	got, want := b.capacityTotals, b.countAll()
	if got.up != want.up || got.uncountedOutstanding != want.uncountedOutstanding ||
		got.warmOutstanding != want.warmOutstanding ||
		math.Abs(got.capacity-want.capacity) > 1e-6 || math.Abs(got.warmCapacity-want.warmCapacity) > 1e-6 {
		t.Fatalf("%s: incremental totals %+v, want %+v", when, got, want)
	}
	up := 0
	for _, z := range b.zones {
		up += z.up
	}
	if up != want.up || len(got.unstable) > len(b.backends) {
		t.Fatalf("%s: the zones have %d backends up, want %d; %d backends are unstable, want at most %d",
			when, up, want.up, len(got.unstable), len(b.backends))
	}
}

// The totals stay correct when a backend is presumed dead through an attempt that was sent before its ejection.
func TestTotalsFollowALateOutcome(t *testing.T) {
	settings := totalsSettings()
	settings.Balancers = 1
	b, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Step(now, []Event{EndpointUpdate{Kind: UpdateFull, Backends: []Backend{{ID: "s"}}},
		Request{ID: "a", TimeRemaining: time.Minute},
		Request{ID: "b", TimeRemaining: time.Minute}, Request{ID: "c", TimeRemaining: time.Minute}})
	reset := func(id string) {
		now += 10 * ms
		b.Step(now, []Event{Outcome{Request: id, Backend: "s", Result: Reset, Latency: 10 * ms}})
		b.checkTotals(t, id)
	}
	reset("a")
	reset("b")
	if s := b.byID["s"]; s.ejectedUntil <= now || s.presumedDead {
		t.Fatalf("after two resets: ejected %v, presumed dead %v, want ejected only",
			s.ejectedUntil > now, s.presumedDead)
	}
	now = b.byID["s"].ejectedUntil
	b.Step(now, nil)
	if !b.byID["s"].stable {
		t.Fatal("the backend is not stable after its ejection")
	}
	if reset("c"); !b.byID["s"].presumedDead {
		t.Fatal("the backend is not presumed dead after three resets")
	}
}

// The incremental totals equal a full count after any events.
func TestTotalsFollowEveryChange(t *testing.T) {
	closedSteps := 0 // steps in which a zone was failed over or recovering
	results := []Result{OK, OK, OK, OK, Errored, Reset, ConnectFailed, TimedOut, Rejected}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, err := New(totalsSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		now, attempts, outstanding := time.Hour, map[string]int{}, []Send{}
		randomBackends := func(n int) (list []Backend) {
			for range n {
				list = append(list, Backend{ID: fmt.Sprint("s", rng.IntN(40)), Zone: rng.IntN(3),
					State: BackendState(max(0, rng.IntN(6)-3))})
				if rng.IntN(3) == 0 {
					list[len(list)-1].Started = now
				}
			}
			return list
		}
		for step := range 3000 {
			now += time.Duration(rng.IntN(20)) * ms
			events := []Event{Request{ID: fmt.Sprint(step), TimeRemaining: 2 * time.Second}}
			switch rng.IntN(30) {
			case 0:
				events = append(events, EndpointUpdate{Kind: UpdateDelta, Backends: randomBackends(4)})
			case 1:
				events = append(events, EndpointUpdate{Kind: UpdateFull, Backends: randomBackends(60)})
			case 2:
				events = append(events, Disable{Call: int64(step), Backend: fmt.Sprint("s", rng.IntN(40))})
			case 3:
				events = append(events, Enable{Call: int64(step), Backend: fmt.Sprint("s", rng.IntN(40)),
					Inherited: rng.IntN(2) == 0, At: now})
			}
			for len(outstanding) > 0 && rng.IntN(3) > 0 {
				i := rng.IntN(len(outstanding))
				o := outstanding[i]
				outstanding = slices.Delete(outstanding, i, i+1)
				r := results[rng.IntN(len(results))]
				if step/100%5 == 4 { // a period in which all attempts break
					r = Reset
				}
				events = append(events, Outcome{Request: o.Request, Attempt: attempts[o.Request], Backend: o.Backend, Result: r,
					Latency: time.Duration(1+rng.IntN(300)) * ms, Done: r == OK})
				attempts[o.Request]++
			}
			for _, a := range b.Step(now, events) {
				if s, ok := a.(Send); ok {
					outstanding = append(outstanding, s)
				}
			}
			if b.checkTotals(t, fmt.Sprintf("seed %d, step %d", seed, step)); !b.allZonesOpen {
				closedSteps++
			}
		}
	}
	if closedSteps == 0 {
		t.Error("no run had a zone failed over or recovering")
	}
}
