package balancer_test

// Tests of the concurrency limit: how it moves, and how it follows the endpoint list.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// Backends were overloaded within two seconds (join+vast), but with cuts of a tenth per round the limit took three
// seconds to fall by half. Each cut must be in proportion to the excess of latency over the target.
func TestLimitFallsWithOverload(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	before, after := 0, 0
	for n := range 6 {
		before = r.burst(fmt.Sprint("fast", n), 60*ms)
	}
	for n := range 4 {
		after = r.burst(fmt.Sprint("slow", n), 360*ms)
	}
	if before < 40 || after > before*2/3 {
		t.Errorf("%d in flight before the overload, %d after three slow rounds, want at least 40 and at most two thirds of the first",
			before, after)
	}
}

// The limit grew at full speed until latency, which is measured with a delay, had passed the target; by then the
// backends were overloaded (join+vast). The limit must grow more slowly near the target.
func TestLimitGrowsSlowerNearTheTarget(t *testing.T) {
	growth := func(latency time.Duration) int {
		r := newRig(t, settings(), 1, backends(10))
		first, last := 0, 0
		for n := range 5 {
			if last = r.burst(fmt.Sprint(n), latency); n == 0 {
				first = last
			}
		}
		return last - first
	}
	if far, near := growth(30*ms), growth(125*ms); near > far/2 {
		t.Errorf("the limit grows by %d far below the target latency and by %d near it, want at most half near it", far, near)
	}
}

// Latency above the target cuts the limit. Requests beyond the limit are queued and refused later; a client's retry is
// refused at once.
func TestInFlightLimitHolds(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(2))
	for i := range 200 { // slow responses
		id := fmt.Sprint("s", i)
		r.request(id, idempotent)
		r.now += 350 * ms
		r.outcome(id, balancer.OK, 350*ms)
	}
	inFlight := 0
	var all []balancer.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, r.request(id, idempotent)...)
		inFlight += len(r.sent[id])
	}
	if want := 4 * 2 / 2; inFlight != want {
		t.Errorf("%d in flight, want this agent's share of 4 per backend: %d", inFlight, want)
	}
	retry := r.step(balancer.Request{ID: "again", Class: idempotent, TimeRemaining: 2000 * ms, ClientRetry: true})
	if final("again", retry) != "refuse" {
		t.Errorf("a client's retry: %v, want a refusal at once", retry)
	}
	all = append(all, r.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(r.sent[id]) == 0 && final(id, all) != "refuse" {
			t.Errorf("%s: final answer %q, want one refusal", id, final(id, all))
		}
	}
}

// The share of each agent must shrink as the number of agents grows, also at idle backends (incident i6c6372).
func TestLimitIsSharedAmongAgents(t *testing.T) {
	inFlight := func(balancers int) (n int) {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(10))
		for i := range 100 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			n += len(r.sent[id])
		}
		return n
	}
	if one, many := inFlight(1), inFlight(20); many*10 > one {
		t.Errorf("%d in flight for one of 20 agents and %d for a single agent, want at most a tenth of the latter", many, one)
	}
}

// The limit must fall when backends leave the endpoint list (incident ia38185).
func TestLimitFollowsTheEndpointList(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		n += len(r.sent[id])
	}
	if n > 12 {
		t.Errorf("%d in flight at two backends, want at most 12", n)
	}
}

// The load of dead backends must not move to the others while the dead ones are still listed (incidents idacc77 and
// i574e74).
func TestLimitExcludesDeadBackends(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	r.serve(50, idempotent, 5*ms)
	dead := map[string]bool{}
	for i := 0; len(dead) < 6 && i < 500; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, idempotent)
		r.now += ms
		if b := r.sent[id][0]; b < "g" { // a to f
			dead[b] = true
			r.outcome(id, balancer.ConnectFailed, ms)
		} else {
			r.outcome(id, balancer.OK, ms)
		}
	}
	r.advance(50 * ms)
	n := 0
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		n += len(r.sent[id])
	}
	if n > 28 { // six for each of four, and a few for growth of the limit
		t.Errorf("%d in flight at the four remaining backends, want at most 28", n)
	}
}

// When a fleet grows fivefold, most backends are in slow start (incident i37feae). The load beyond their present
// capacity must not overload the warm backends, nor any one of them.
func TestFleetGrowthDoesNotOverloadWarmBackends(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.serve(100, idempotent, 50*ms)
	grown := backends(20)
	for i := 4; i < 20; i++ {
		grown[i].Started = r.now
	}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: grown})
	warm := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		for _, b := range r.sent[id] {
			if b < "e" {
				warm[b]++
			}
		}
	}
	for id, n := range warm {
		if n > 18 { // three even shares of six
			t.Errorf("%s has %d in flight, want at most 18", id, n)
		}
	}
	if sum := warm["a"] + warm["b"] + warm["c"] + warm["d"]; sum > 60 {
		t.Errorf("the four warm backends have %d in flight, want at most 60", sum)
	}
}

// Random variation must not cut the limit of a busy agent whose mean latency is well within the objective (incident
// ieeee80).
func TestLimitOfBusyAgentIsNotCutByChance(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(30))
	latencies := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; mean 110, objective 400
	refused, pending := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if final(id, r.request(id, idempotent)) != "" {
			refused++
		}
		pending = append(pending, id)
		r.now += ms
		if len(pending) > 75 {
			if len(r.sent[pending[0]]) > 0 {
				// each latency applies to 25 requests in a row, so that slow responses follow one another
				r.outcome(pending[0], balancer.OK, latencies[(i/25)%10]*ms)
			}
			pending = pending[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 requests refused, want none", refused)
	}
}

// Many agents that grow their limits at the same time must not overload the backends together (incident ieb2a7b).
func TestLimitGrowsPerBackend(t *testing.T) {
	totalInFlight := func(balancers int) int {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(20))
		var inFlight []string // in flight, oldest first
		addSends := func(actions []balancer.Action) {
			for _, a := range actions {
				if a, ok := a.(balancer.Send); ok {
					inFlight = append(inFlight, a.Request)
				}
			}
		}
		for i := range 1000 { // requests beyond the limit are queued
			addSends(r.request(fmt.Sprint("q", i), idempotent))
		}
		for i := range 4 * len(inFlight) { // four rounds of fast responses
			addSends(r.outcome(inFlight[0], balancer.OK, 20*ms))
			inFlight = inFlight[1:]
			addSends(r.request(fmt.Sprint("more", i), idempotent))
		}
		return len(inFlight) * balancers
	}
	if one, many := totalInFlight(1), totalInFlight(20); one < 130 || many > one*3/2 {
		t.Errorf("in flight after four rounds: one agent %d, want at least 130; 20 agents %d, want at most 1.5 times as many",
			one, many)
	}
}

// A noisy neighbour slowed a third of the backends (houston big-1). Mean latency passed the target, and 40 of 100
// requests were refused though the other backends had capacity. The latency of slow backends must not cut the limit.
func TestSlowBackendsDoNotCutTheLimit(t *testing.T) {
	r := newRig(t, sparseSettings(), 1, backends(8))
	sent := 0
	for i := range 600 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		if len(r.sent[id]) > 0 {
			latency := 110 * ms
			if r.sent[id][0] < "e" {
				latency = 235 * ms
			}
			r.advance(latency)
			r.outcome(id, balancer.OK, latency)
		}
		r.advance(100 * ms)
		if i >= 400 {
			sent += len(r.sent[id])
		}
	}
	if sent < 195 {
		t.Errorf("%d of 200 requests were sent while half of the backends are fast, want at least 195", sent)
	}
}

// When a release had taken half of 60 backends, 80 agents switched from the counted limit to credit, and the credit
// saved up under low load overloaded the other backends (join+vast). While each agent may have at least one attempt in
// flight, the counted limit must stay in use however the endpoint list changes.
func TestRollingReleaseKeepsTheCountedLimit(t *testing.T) {
	s := settings()
	s.Balancers, s.GossipAllowed = 80, true
	var list []balancer.Backend
	for i := range 60 {
		list = append(list, balancer.Backend{ID: fmt.Sprint("b", i)})
	}
	r := newRig(t, s, 1, list)
	r.serve(200, idempotent, 40*ms)
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: list[:27]})
	sent := 0
	for i := range 20 { // no backend responds
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		sent += len(r.sent[id])
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d of 20 requests were sent at once, want 1 to 4, an even share of the limit", sent)
	}
}
