package balancer_test

// Tests of subsetting: how many backends an agent uses.

import (
	"fmt"
	"testing"

	"martenbeam/balancer"
)

// Satx big-1: an agent that spread little traffic over all backends got one response a day from each. An agent uses a
// subset instead: the first backends of an order that differs between agents. If these are removed, it uses the next.
func TestAgentWithLittleTrafficUsesASubset(t *testing.T) {
	s := settings()
	s.Balancers = 500
	agentsByBackend := map[string]int{}
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
			t.Errorf("agent %d used %d backends, want up to 12", self, len(used))
		}
		for id := range used {
			agentsByBackend[id]++
		}
		for id := range used { // remove the complete subset
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
				Backends: []balancer.Backend{{ID: id, State: balancer.Removed}}})
		}
		r.request("next", idempotent)
		if len(r.sent["next"]) == 0 || used[r.sent["next"][0]] > 0 {
			t.Errorf("agent %d sent to no backend outside of the removed subset, want one", self)
		}
	}
	if len(agentsByBackend) < 38 {
		t.Errorf("60 agents together used %d of 40 backends, want at least 38", len(agentsByBackend))
	}
}

// Backends at their connection limit reject new connections, as seen at a site without overload. Such rejections don't
// indicate queues: the concurrency limit is unchanged, and the agent uses fewer backends, to which it has connections.
func TestRejectedConnectionsAreNotOverload(t *testing.T) {
	play := func(newConnection bool) (inFlight int, used int) {
		s := settings()
		s.MaxAttempts = 1
		r := newRig(t, s, 1, backends(8))
		for n := range 1 {
			r.burst(fmt.Sprint("before", n), 20*ms)
		}
		for n := range 60 {
			id := fmt.Sprint("rejected", n)
			r.request(id, idempotent)
			r.step(balancer.Outcome{Request: id, Backend: r.sent[id][0], Result: balancer.Rejected, Latency: ms,
				NewConnection: newConnection})
			r.advance(100 * ms)
		}
		return r.burst("after", 20*ms), len(r.serve(100, idempotent, 20*ms))
	}
	inFlightAfterRequests, usedAfterRequests := play(false)
	inFlightAfterConnections, usedAfterConnections := play(true)
	if inFlightAfterConnections < inFlightAfterRequests*3/2 {
		t.Errorf("%d in flight after rejected connections, %d after rejected requests, want the first 1.5 times as large",
			inFlightAfterConnections, inFlightAfterRequests)
	}
	if usedAfterConnections > usedAfterRequests/2 {
		t.Errorf("%d backends in use after rejected connections, %d after rejected requests, want the first up to half as large",
			usedAfterConnections, usedAfterRequests)
	}
}
