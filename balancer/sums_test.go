package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// afresh counts all backends, whatever was counted before.
func (b *Balancer) afresh() (s sums) {
	for _, t := range b.backends {
		z := b.zone(t)
		if t.State == Up {
			s.up++
		}
		if part := b.part(z); t.State != Up || t.down || b.now < t.ejected || part == 0 {
			s.stuck += len(t.out)
		} else if s.capacity += b.warmth(t) * part; !t.cold {
			s.warm += part
			s.warmOut += len(t.out)
		}
	}
	return s
}

const ms = time.Millisecond

func countedSettings() Settings {
	return Settings{Balancers: 3, MaxAttempts: 4, Tick: ms, ConnectTimeout: 100 * ms, DrainGrace: 500 * ms, ColdShare: 0.2,
		RampTime: 2 * time.Second, FallMultiple: 2.5, FallWindow: time.Second, AskWithin: time.Second, GoalWhole: 1,
		Classes: []Class{{Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 1}}}
}

// check holds what was counted as it changed against counting all.
func (b *Balancer) check(t *testing.T, what string) {
	t.Helper()
	b.measure()
	got, want := b.sums, b.afresh()
	if got.up != want.up || got.stuck != want.stuck || got.warmOut != want.warmOut ||
		math.Abs(got.capacity-want.capacity) > 1e-6 || math.Abs(got.warm-want.warm) > 1e-6 {
		t.Fatalf("%s: %+v, want %+v", what, got, want)
	}
	up := 0
	for _, z := range b.zones {
		up += z.up
	}
	if up != want.up || len(got.unsettled) > len(b.backends) {
		t.Fatalf("%s: %d up by zones, want %d; %d looked at of %d", what, up, want.up, len(got.unsettled), len(b.backends))
	}
}

// An attempt that was sent before its backend was ejected may tell after that time that it is down.
func TestSumsFollowALateEnd(t *testing.T) {
	alone := countedSettings()
	alone.Balancers = 1
	b, err := New(alone, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	b.Step(now, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s"}}}, Request{ID: "a", Left: time.Minute},
		Request{ID: "b", Left: time.Minute}, Request{ID: "c", Left: time.Minute}})
	broke := func(id string) {
		now += 10 * ms
		b.Step(now, []Event{Outcome{Request: id, Backend: "s", Result: Reset, Latency: 10 * ms}})
		b.check(t, id)
	}
	broke("a")
	broke("b")
	if s := b.byID["s"]; s.ejected <= now || s.down {
		t.Fatalf("after two: ejected %v, down %v", s.ejected > now, s.down)
	}
	now = b.byID["s"].ejected
	b.Step(now, nil)
	if !b.byID["s"].settled {
		t.Fatal("it is looked at in each step still")
	}
	if broke("c"); !b.byID["s"].down {
		t.Fatal("it is not down after three")
	}
}

// What is counted as it changes is what counting all anew would find, after any events.
func TestSumsFollowEveryChange(t *testing.T) {
	left := 0 // steps in which a zone was left, or came back
	results := []Result{OK, OK, OK, OK, Errored, Reset, ConnectFailed, TimedOut, Full}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, err := New(countedSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		now, seen, out := time.Hour, map[string]int{}, []Send{}
		some := func(n int) (list []Backend) {
			for range n {
				list = append(list, Backend{ID: fmt.Sprint("s", rng.IntN(40)), Zone: rng.IntN(3), State: BackendState(max(0, rng.IntN(6)-3))})
				if rng.IntN(3) == 0 {
					list[len(list)-1].Started = now
				}
			}
			return list
		}
		for step := range 3000 {
			now += time.Duration(rng.IntN(20)) * ms
			events := []Event{Request{ID: fmt.Sprint(step), Left: 2 * time.Second}}
			switch rng.IntN(30) {
			case 0:
				events = append(events, List{Kind: ListDelta, Backends: some(4)})
			case 1:
				events = append(events, List{Kind: ListFull, Backends: some(60)})
			case 2:
				events = append(events, Detach{Call: int64(step), Backend: fmt.Sprint("s", rng.IntN(40))})
			case 3:
				events = append(events, Attach{Call: int64(step), Backend: fmt.Sprint("s", rng.IntN(40)), Carried: rng.IntN(2) == 0, At: now})
			}
			for len(out) > 0 && rng.IntN(3) > 0 {
				i := rng.IntN(len(out))
				o := out[i]
				out = slices.Delete(out, i, i+1)
				r := results[rng.IntN(len(results))]
				if step/100%5 == 4 { // a spell in which all break
					r = Reset
				}
				events = append(events, Outcome{Request: o.Request, Attempt: seen[o.Request], Backend: o.Backend, Result: r,
					Latency: time.Duration(1+rng.IntN(300)) * ms, Done: r == OK})
				seen[o.Request]++
			}
			for _, a := range b.Step(now, events) {
				if s, ok := a.(Send); ok {
					out = append(out, s)
				}
			}
			if b.check(t, fmt.Sprintf("seed %d, step %d", seed, step)); !b.allOpen {
				left++
			}
		}
	}
	if left == 0 {
		t.Error("no zone was ever left")
	}
}
