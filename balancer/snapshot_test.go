package balancer_test

// Tests of the state that a process hands over to its successor.

import (
	"fmt"
	"math"
	"testing"
	"time"

	"martenbeam/balancer"
)

// The successor continues with the retry budget of its predecessor. A snapshot with invalid tokens gives a full budget
// and no more.
func TestRetryBudgetSurvivesHandover(t *testing.T) {
	predecessor := newRig(t, settings(), 1, backends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		predecessor.request(id, idempotent)
		predecessor.outcome(id, balancer.Errored, 10*ms)
	}
	remaining := predecessor.b.Snapshot().Tokens
	for tokens, want := range map[float64]float64{remaining: remaining, -1: 100, 1e9: 100, math.NaN(): 100} {
		r := newRig(t, settings(), 1, backends(2))
		r.step(balancer.Restore{Snapshot: balancer.Snapshot{Tokens: tokens}})
		if got := r.b.Snapshot().Tokens; got != want {
			t.Errorf("restored from %v: %v tokens, want %v", tokens, got, want)
		}
	}
	if remaining > 60 {
		t.Errorf("%v tokens left after ten retries, want at most 60", remaining)
	}
}

// busyAgent returns the rig of one agent in a fleet of twenty.
func busyAgent(t *testing.T, seed uint64) *rig {
	t.Helper()
	s := settings()
	s.Balancers, s.GossipAllowed = 20, true
	return newRig(t, s, seed, backends(4))
}

// receiveIdlePeers delivers a message from each peer that reports no demand.
func (r *rig) receiveIdlePeers() {
	for i := range 19 {
		r.step(balancer.GossipReceived{From: i + 1, Data: make([]byte, 8)})
	}
}

// overload submits twenty requests per second for 2 s. Only backend z, which is in slow start, responds; the other
// backends keep all attempts outstanding. overload returns how many requests z got.
func (r *rig) overload() (n int) {
	for i := range 40 {
		id := fmt.Sprint("overload", len(r.sent), "-", i)
		r.receiveIdlePeers()
		r.request(id, idempotent)
		r.advance(20 * ms)
		if len(r.sent[id]) > 0 && r.sent[id][0] == "z" {
			n++
			r.outcome(id, balancer.OK, 20*ms)
		}
		r.advance(30 * ms)
	}
	return n
}

func backendInSlowStart(started time.Duration) balancer.EndpointUpdate {
	return balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "z", Started: started}}}
}

// While most requests were refused, throughput was far below the capacity of a backend, so that backends in slow start
// were idle beside overloaded ones (upgrade+hand).
func TestSlowStartBudgetSurvivesOverload(t *testing.T) {
	r := busyAgent(t, 1)
	for range 50 {
		r.receiveIdlePeers()
		r.serve(10, idempotent, 10*ms) // 25 per second for each backend
	}
	r.step(backendInSlowStart(r.now))
	if n := r.overload(); n < 12 { // 25 per second, times a fifth, times the square root of 2.5: 8 per second
		t.Errorf("%d requests in 2 s to the idle backend, want at least 12", n)
	}
}

// The successor continues with its predecessor's rates, latencies and peer demand: the budgets of backends in slow
// start and its share of the limit are right at once.
func TestSnapshotIsRestored(t *testing.T) {
	predecessor := busyAgent(t, 1)
	for range 50 {
		predecessor.receiveIdlePeers()
		predecessor.serve(10, idempotent, 10*ms)
	}
	snapshot := predecessor.b.Snapshot()
	requestsToIdle := func(restored *balancer.Snapshot) int {
		r := busyAgent(t, 2)
		if restored != nil {
			r.step(balancer.Restore{Snapshot: *restored})
			if current := r.b.Snapshot(); current.LatencyRatio != restored.LatencyRatio ||
				current.LimitPerBackend != restored.LimitPerBackend || math.Abs(current.Demand/restored.Demand-1) > 0.1 {
				t.Errorf("snapshot %+v, restored as %+v", *restored, current)
			}
		}
		r.step(backendInSlowStart(r.now))
		return r.overload()
	}
	restoredCount, freshCount := requestsToIdle(&snapshot), requestsToIdle(nil)
	if restoredCount < 2*freshCount || restoredCount < 8 {
		t.Errorf("%d requests in 2 s to the idle backend in slow start, %d without a snapshot, want at least 8 and twice as many",
			restoredCount, freshCount)
	}
	for name, restored := range map[string]balancer.Snapshot{
		"empty":         {},
		"other classes": {LimitPerBackend: 6, Latency: []float64{1}},
		"not finite": {LimitPerBackend: math.NaN(), LatencyRatio: math.Inf(1), PeakThroughput: math.NaN(),
			Demand: -1, Latency: snapshot.Latency, PeerDemand: snapshot.PeerDemand},
		"huge": {LimitPerBackend: 1e300, PeakThroughput: 1e300, Demand: 1e300, Latency: snapshot.Latency,
			PeerDemand: snapshot.PeerDemand},
	} {
		r := busyAgent(t, 2)
		r.step(balancer.Restore{Snapshot: restored})
		if n := r.serve(60, idempotent, 10*ms); len(n) != 4 {
			t.Errorf("%s: requests were served by %v, want four backends", name, n)
		}
	}
}
