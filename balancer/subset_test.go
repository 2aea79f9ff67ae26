package balancer_test

// Tests of subsetting: how many backends an agent uses.

import (
	"fmt"
	"testing"

	"martenbeam/balancer"
)

// Satx big-1: a quiet agent that spreads over every backend hears from each once a day. It keeps to a subset in an
// order of its own, other agents to others, and goes further in its order when those fail.
func TestQuietAgentUsesASubset(t *testing.T) {
	s := settings()
	s.Balancers = 500
	firsts := map[string]int{}
	for self := range 60 {
		s.Self = self
		r := newRig(t, s, uint64(self), backends(40))
		used := map[string]int{}
		for i := range 80 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			r.advance(30 * ms)
			if len(r.sent[id]) > 0 {
				r.outcome(id, balancer.OK, 30*ms)
				used[r.sent[id][0]]++
			}
			r.advance(370 * ms)
		}
		if len(used) > 12 {
			t.Errorf("agent %d used %d servers, want a few", self, len(used))
		}
		for id := range used {
			firsts[id]++
		}
		for id := range used { // all of these die
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
				Backends: []balancer.Backend{{ID: id, State: balancer.Removed}}})
		}
		r.request("next", idempotent)
		if len(r.sent["next"]) == 0 || used[r.sent["next"][0]] > 0 {
			t.Errorf("agent %d found no further server", self)
		}
	}
	if len(firsts) < 38 {
		t.Errorf("60 agents together used %d of 40 servers", len(firsts))
	}
}

// Another site's calm day: backends at their connection limit reject new connections. That does not indicate queues:
// the limit stays, and the agent keeps to fewer backends, to which it has connections.
func TestRejectedConnectionsAreNoOverload(t *testing.T) {
	rush := func(fresh bool) (out int, met int) {
		s := settings()
		s.MaxAttempts = 1
		r := newRig(t, s, 1, backends(8))
		for n := range 1 {
			r.burst(fmt.Sprint("calm", n), 20*ms)
		}
		for n := range 60 {
			id := fmt.Sprint("turned", n)
			r.request(id, idempotent)
			r.step(balancer.Outcome{Request: id, Backend: r.sent[id][0], Result: balancer.Rejected, Latency: ms,
				NewConnection: fresh})
			r.advance(100 * ms)
		}
		return r.burst("after", 20*ms), len(r.serve(100, idempotent, 20*ms))
	}
	queues, all := rush(false)
	caps, few := rush(true)
	if caps < queues*3/2 {
		t.Errorf("%d in flight after connections were turned away, %d after queues were full", caps, queues)
	}
	if few > all/2 {
		t.Errorf("%d backends in use after connections were turned away, %d after queues were full", few, all)
	}
}
