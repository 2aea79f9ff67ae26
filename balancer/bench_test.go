package balancer_test

// Benchmarks of a step, and tests that its cost and memory stay bounded.

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"martenbeam/balancer"
)

// BenchmarkStep measures a request and its outcome, and for one request in fifty also an error and a retry. The metric
// heap-growth-B shows whether state grows with the number of requests.
func BenchmarkStep(b *testing.B) {
	lb, err := balancer.New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(14)}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playOne(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// playOne runs request i from its arrival to its end.
func playOne(lb *balancer.Balancer, now *time.Duration, i int) {
	id := fmt.Sprint("q", i)
	events := []balancer.Event{balancer.Request{ID: id, Class: idempotent, TimeRemaining: time.Second}}
	for n := 0; len(events) > 0; {
		acts := lb.Step(*now, events)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case balancer.Send:
				*now += 2 * ms
				o := balancer.Outcome{Request: id, Attempt: n, Backend: a.Backend, Latency: 2 * ms, Done: true}
				if n == 0 && i%50 == 0 {
					o.Result, o.Done = balancer.Errored, false
				}
				n++
				events = append(events, o)
			case balancer.SetTimer:
				*now += a.After
				events = append(events, balancer.TimerFired{Token: a.Token})
			}
		}
	}
}

// Memory and allocations per request stay bounded over a long run.
func TestStateIsBounded(t *testing.T) {
	lb, err := balancer.New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []balancer.Event{balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(14)}})
	heapAfter := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			playOne(lb, &now, i)
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	early := heapAfter(0, 5000)
	late := heapAfter(5000, 60000)
	runtime.KeepAlive(lb)
	if late > early+256<<10 {
		t.Errorf("the heap grew from %d to %d bytes over 55,000 requests, want at most 256 KiB more", early, late)
	}
	i := 100000
	if n := testing.AllocsPerRun(2000, func() { playOne(lb, &now, i); i++ }); n > 25 {
		t.Errorf("%.1f allocations per request, want at most 25", n)
	}
}

// largeFleet returns the balancer of one agent in a fleet of the given size.
func largeFleet(tb testing.TB, agents, backends int, now time.Duration) *balancer.Balancer {
	tb.Helper()
	s := settings()
	s.Balancers = agents
	lb, err := balancer.New(s, 1)
	if err != nil {
		tb.Fatal(err)
	}
	lb.Step(now, []balancer.Event{balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backendsInThreeZones(backends)}})
	return lb
}

// BenchmarkStepBySize measures requests in fleets of two sizes.
func BenchmarkStepBySize(b *testing.B) {
	for _, size := range []struct{ agents, backends int }{{300, 200}, {900, 3200}} {
		b.Run(fmt.Sprint(size.backends), func(b *testing.B) {
			now := time.Hour
			lb := largeFleet(b, size.agents, size.backends, now)
			for i := 0; b.Loop(); i++ {
				now += 23 * ms
				playOne(lb, &now, i)
			}
		})
	}
}

// The cost of a request must grow far less than the fleet: a step counts only backends whose state changes.
func TestStepCostsLittleMoreInALargeFleet(t *testing.T) {
	const rounds, requests, maxRatio = 20, 100, 4
	nowSmall, nowLarge := time.Hour, time.Hour
	small, large := largeFleet(t, 300, 200, nowSmall), largeFleet(t, 900, 3200, nowLarge)
	elapsed := func(lb *balancer.Balancer, now *time.Duration, round int) time.Duration {
		start := time.Now()
		for i := range requests {
			*now += 23 * ms
			playOne(lb, now, round*requests+i)
		}
		return time.Since(start)
	}
	shortest := [2]time.Duration{time.Hour, time.Hour} // shortest of all rounds: other load on the machine only adds time
	for round := range rounds {
		shortest[0] = min(shortest[0], elapsed(small, &nowSmall, round))
		shortest[1] = min(shortest[1], elapsed(large, &nowLarge, round))
	}
	if shortest[1] > maxRatio*shortest[0] {
		t.Errorf("%d requests took %v with 200 backends and %v with 3200, want at most 4 times as long",
			requests, shortest[0], shortest[1])
	}
}

// backendsInThreeZones returns n backends in three zones.
func backendsInThreeZones(n int) (list []balancer.Backend) {
	for i := range n {
		list = append(list, balancer.Backend{ID: fmt.Sprint("s", i), Zone: i % 3, Cell: i / 4})
	}
	return list
}
