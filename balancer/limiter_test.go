package balancer_test

// Tests of the concurrency limit: how it moves, and how it follows the endpoint list.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// join+vast: backends get overloaded within two seconds, and with cuts of a tenth per round the limit fell by half in
// three. It is cut by the excess of latency over the target.
func TestLimitFallsWithOverload(t *testing.T) {
	r := newRig(t, settings(), 1, backends(10))
	full, jammed := 0, 0
	for n := range 6 {
		full = r.burst(fmt.Sprint("calm", n), 60*ms)
	}
	for n := range 4 {
		jammed = r.burst(fmt.Sprint("jam", n), 360*ms)
	}
	if full < 40 || jammed > full*2/3 {
		t.Errorf("%d in flight before a jam, %d after three slow rounds", full, jammed)
	}
}

// join+vast: the limit grew at full speed until latency, which is seen late, had passed the target, and by then the
// backends were overloaded. It grows by the distance to the target.
func TestLimitGrowsSlowerNearTheTarget(t *testing.T) {
	grown := func(latency time.Duration) int {
		r := newRig(t, settings(), 1, backends(10))
		first, last := 0, 0
		for n := range 5 {
			if last = r.burst(fmt.Sprint(n), latency); n == 0 {
				first = last
			}
		}
		return last - first
	}
	if far, near := grown(30*ms), grown(125*ms); near > far/2 {
		t.Errorf("the limit grows by %d far below the aimed delay, by %d near it", far, near)
	}
}

// Latency above the target cuts the limit. Requests beyond it wait and are refused, a client's retry at once.
func TestInFlightLimitHolds(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(2))
	for i := range 200 { // slow answers
		id := fmt.Sprint("s", i)
		r.request(id, idempotent)
		r.now += 350 * ms
		r.outcome(id, balancer.OK, 350*ms)
	}
	out := 0
	var all []balancer.Action
	for i := range 20 {
		id := fmt.Sprint("q", i)
		all = append(all, r.request(id, idempotent)...)
		out += len(r.sent[id])
	}
	if want := 4 * 2 / 2; out != want {
		t.Errorf("%d in flight, want this agent's share of 4 per backend: %d", out, want)
	}
	repeat := r.step(balancer.Request{ID: "again", Class: idempotent, TimeRemaining: 2000 * ms, ClientRetry: true})
	if final("again", repeat) != "refuse" {
		t.Errorf("a client's repeat: %v, want a refusal at once", repeat)
	}
	all = append(all, r.advance(400*ms)...)
	for i := range 20 {
		id := fmt.Sprint("q", i)
		if len(r.sent[id]) == 0 && final(id, all) != "refuse" {
			t.Errorf("%s: %q, want one refusal", id, final(id, all))
		}
	}
}

// Incident i6c6372: with many agents each one's share must shrink, also on idle backends.
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
		t.Errorf("%d in flight among 20 agents against %d alone", many, one)
	}
}

// Incident ia38185: the limit follows the endpoint list down.
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
		t.Errorf("%d in flight on two backends", n)
	}
}

// Incidents idacc77 and i574e74: the load of dead backends must not land on the living ones while the list still names
// the dead.
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
	if n > 28 { // six for each of four, and a few for what the outcomes taught
		t.Errorf("%d in flight on four living backends", n)
	}
}

// Incident i37feae: a fleet that grows fivefold is cold. What it cannot take yet must not land on the warm backends,
// nor all on one.
func TestFleetGrowthDoesNotLoadWarmBackends(t *testing.T) {
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
			t.Errorf("%s holds %d in flight", id, n)
		}
	}
	if sum := warm["a"] + warm["b"] + warm["c"] + warm["d"]; sum > 60 {
		t.Errorf("the four warm backends hold %d in flight", sum)
	}
}

// Incident ieeee80: chance must not cut the limit of a busy agent whose answers are well within the objective in the
// mean but vary a lot.
func TestLimitOfBusyAgentIsNotCutByChance(t *testing.T) {
	s := settings()
	s.Balancers = 2
	r := newRig(t, s, 1, backends(30))
	seq := []time.Duration{30, 40, 300, 20, 60, 380, 50, 90, 30, 100} // ms; mean 110, objective 400
	refused, queue := 0, []string{}
	for i := range 4000 {
		id := fmt.Sprint("q", i)
		if final(id, r.request(id, idempotent)) != "" {
			refused++
		}
		queue = append(queue, id)
		r.now += ms
		if len(queue) > 75 {
			if len(r.sent[queue[0]]) > 0 {
				// answers in runs, so that twenty in a row can all be slow
				r.outcome(queue[0], balancer.OK, seq[(i/25)%10]*ms)
			}
			queue = queue[1:]
		}
	}
	if refused > 0 {
		t.Errorf("%d of 4000 refused", refused)
	}
}

// Incident ieb2a7b: many agents that grow their limits at once must not overshoot together.
func TestLimitGrowsPerBackend(t *testing.T) {
	total := func(balancers int) int {
		s := settings()
		s.Balancers = balancers
		r := newRig(t, s, 1, backends(20))
		var out []string // in flight, oldest first
		sends := func(actions []balancer.Action) {
			for _, a := range actions {
				if a, ok := a.(balancer.Send); ok {
					out = append(out, a.Request)
				}
			}
		}
		for i := range 1000 { // what exceeds the limit is queued
			sends(r.request(fmt.Sprint("q", i), idempotent))
		}
		for i := range 4 * len(out) { // four rounds of fast answers
			sends(r.outcome(out[0], balancer.OK, 20*ms))
			out = out[1:]
			sends(r.request(fmt.Sprint("more", i), idempotent))
		}
		return len(out) * balancers
	}
	if one, many := total(1), total(20); one < 130 || many > one*3/2 {
		t.Errorf("after four rounds one agent has %d in flight, want growth from 120; 20 agents %d", one, many)
	}
}

// Houston big-1: with a noisy neighbour on a third of the backends mean latency passed the target, and 40 of 100
// requests were refused though the rest had capacity. The latency of a backend known to be slow says little about the
// rest.
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
		t.Errorf("%d of 200 were sent though most servers have no queue", sent)
	}
}

// join+vast: 80 agents switched from counting to credit when a release had taken half of 60 backends, and the credit
// saved up in quiet times overloaded the rest. Where each may have an attempt or more in flight, attempts are counted
// however the list changes.
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
	for i := range 20 { // nothing is answered
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		sent += len(r.sent[id])
	}
	if sent < 1 || sent > 4 {
		t.Errorf("%d of 20 were sent at once, want an even part of the limit", sent)
	}
}
