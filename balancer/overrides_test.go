package balancer_test

// Tests of the operators' overrides: disabled and re-enabled backends.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"martenbeam/balancer"
)

// override applies an operator's override and reports whether it was accepted.
func (r *rig) override(e balancer.Event) bool {
	r.t.Helper()
	accepted, results := false, 0
	for _, a := range r.step(e) {
		if a, ok := a.(balancer.OverrideResult); ok {
			accepted = a.Accepted
			results++
		}
	}
	if results != 1 {
		r.t.Fatalf("%d results of %+v, want 1", results, e)
	}
	return accepted
}

// A disabled backend gets no requests after any endpoint update. One Enable reverts any number of Disable events.
func TestDisabledBackendGetsNoRequests(t *testing.T) {
	list := backends(3)
	started := slices.Clone(list)
	started[0].Started = time.Hour + 100*ms
	for name, updates := range map[string][]balancer.EndpointUpdate{
		"no update":            nil,
		"full list":            {{Kind: balancer.UpdateFull, Backends: list}},
		"delta":                {{Kind: balancer.UpdateDelta, Backends: list[:1]}},
		"cached list":          {{Kind: balancer.UpdateCached, Backends: list}},
		"restart":              {{Kind: balancer.UpdateDelta, Backends: started}},
		"removed and relisted": {{Kind: balancer.UpdateFull, Backends: list[1:]}, {Kind: balancer.UpdateFull, Backends: list}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, settings(), 1, list)
			r.serve(20, idempotent, 10*ms)
			if !r.override(balancer.Disable{Call: 1, Backend: "a"}) || !r.override(balancer.Disable{Call: 2, Backend: "a"}) {
				t.Fatal("Disable was rejected")
			}
			for _, update := range updates {
				r.step(update)
			}
			if n := r.serve(60, idempotent, 10*ms)["a"]; n > 0 {
				t.Errorf("%d requests went to the disabled backend, want none", n)
			}
			if !r.override(balancer.Enable{Call: 3, Backend: "a"}) {
				t.Fatal("Enable was rejected")
			}
			r.now += settings().SlowStartWindow
			if n := r.serve(60, idempotent, 10*ms)["a"]; n == 0 {
				t.Error("the backend got no request after Enable, want some")
			}
		})
	}
}

// No retry goes to a disabled backend. With every backend disabled, a request is refused as usual.
func TestNoRetryGoesToADisabledBackend(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", idempotent)
	other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
	r.override(balancer.Disable{Call: 1, Backend: other})
	r.outcome("q", balancer.Errored, 10*ms)
	r.advance(400 * ms)
	if slices.Contains(r.sent["q"], other) {
		t.Errorf("attempts went to %v, want none at the disabled backend %s", r.sent["q"], other)
	}
	for _, id := range []string{"a", "b"} {
		r.override(balancer.Disable{Call: 2, Backend: id})
	}
	all := r.request("last", idempotent)
	if all = append(all, r.advance(400*ms)...); len(r.sent["last"]) > 0 || final("last", all) != "refuse" {
		t.Errorf("with all backends disabled: sent to %v, final answer %q, want refuse", r.sent["last"], final("last", all))
	}
}

// An override of an unknown ID is rejected. Enable is accepted for a backend that left the list while disabled.
func TestOverridesOfUnknownBackendsAreRejected(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	if r.override(balancer.Disable{Call: 1, Backend: "z"}) || r.override(balancer.Enable{Call: 2, Backend: "z"}) {
		t.Error("an override of an unknown ID was accepted, want it rejected")
	}
	if !r.override(balancer.Enable{Call: 3, Backend: "a"}) {
		t.Error("Enable of a backend in use was rejected, want it accepted")
	}
	r.override(balancer.Disable{Call: 4, Backend: "a"})
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)[1:]})
	if !r.override(balancer.Enable{Call: 5, Backend: "a"}) {
		t.Error("Enable of a disabled backend that has left the list was rejected, want it accepted")
	}
}

// Overrides that an earlier process of the agent accepted stay in force, also before the list contains the backend.
func TestInheritedOverridesHold(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2)[1:])
	if !r.override(balancer.Disable{Call: 1, Backend: "a", Inherited: true}) {
		t.Fatal("the inherited Disable was rejected")
	}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
	if n := r.serve(60, idempotent, 10*ms)["a"]; n > 0 {
		t.Errorf("%d requests went to the disabled backend, want none", n)
	}
	// The earlier process re-enabled the backend one slow-start window ago, so its slow start is over.
	at := r.now - settings().SlowStartWindow
	r.override(balancer.Enable{Call: 2, Backend: "a", Inherited: true, At: at})
	if n := r.serve(90, idempotent, 10*ms)["a"]; n < 20 {
		t.Errorf("%d of 90 requests went to a backend whose slow start is over, want at least 20", n)
	}
}

// A re-enabled backend is in slow start, and its earlier failures are cleared.
func TestReenabledBackendIsInSlowStartWithoutFailures(t *testing.T) {
	requestsToA := func(reenable bool) int {
		s := settings()
		s.InitialCapacity = 0.05
		r := newRig(t, s, 1, backends(4))
		r.serve(200, idempotent, 10*ms)
		if reenable {
			r.override(balancer.Disable{Call: 1, Backend: "a"})
			r.override(balancer.Enable{Call: 2, Backend: "a"})
		}
		return r.serve(200, idempotent, 10*ms)["a"]
	}
	if warm, reenabled := requestsToA(false), requestsToA(true); reenabled == 0 || reenabled > warm/2 {
		t.Errorf("%d requests to a re-enabled backend, %d to a warm one, want at least 1 and up to half as many", reenabled, warm)
	}
	r := newRig(t, settings(), 1, backends(2))
	for i := 0; len(r.sent) < 400; i++ { // all attempts at backend a fail, and its ejections get longer
		id := fmt.Sprint("f", i)
		r.request(id, nonIdempotent)
		result := balancer.OK
		if r.sent[id][0] == "a" {
			result = balancer.Errored
		}
		r.now += 10 * ms
		r.outcome(id, result, 10*ms)
	}
	r.override(balancer.Disable{Call: 1, Backend: "a"})
	r.override(balancer.Enable{Call: 2, Backend: "a"})
	r.now += settings().SlowStartWindow
	if n := r.serve(60, nonIdempotent, 10*ms)["a"]; n < 15 {
		t.Errorf("%d of 60 requests went to a backend that was re-enabled after its failures, want at least 15", n)
	}
}

// Operators expect a re-enabled backend to be used within 5 s, also where an agent with little traffic uses a small
// subset, and key affinity prefers the few backends closest to a key.
func TestReenabledBackendIsSoonUsed(t *testing.T) {
	for seed := range uint64(20) {
		s := settings()
		s.Balancers = []int{5, 100}[seed%2]
		s.InitialCapacity, s.SlowStartWindow, s.KeyAffinity, s.CrossZoneCost = 0.12, 24*time.Second, true, 0.03
		r := newRig(t, s, seed, backends(20))
		request := func() string {
			id := fmt.Sprint("q", len(r.sent))
			r.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms, AffinityKey: 7})
			r.now += 20 * ms
			r.outcome(id, balancer.OK, 20*ms)
			r.advance(230 * ms)
			return r.sent[id][0]
		}
		for range 40 {
			request()
		}
		// Pick a backend that is late in this agent's own order and not close to the key.
		used := map[string]bool{}
		for range 40 {
			used[request()] = true
		}
		unused := "a"
		for _, b := range backends(20) {
			if !used[b.ID] {
				unused = b.ID
			}
		}
		r.override(balancer.Disable{Call: 1, Backend: unused})
		r.advance(time.Second)
		r.override(balancer.Enable{Call: 2, Backend: unused})
		from, found := r.now, false
		for r.now < from+4*time.Second && !found {
			found = request() == unused
		}
		if !found {
			t.Errorf("seed %d: %s got no request within 4 s of Enable", seed, unused)
		}
	}
}

// The quota of a drained agent moves at once to the agents that get its clients, and back when the clients return.
// Without the message that a drain sends, the peers would adapt seconds later.
func TestQuotaOfADrainedAgentMovesToItsPeers(t *testing.T) {
	s := settings()
	s.Balancers, s.GossipAllowed = 3, true
	idle := newRig(t, s, 1, backends(4))
	s.Self = 1
	busy := newRig(t, s, 2, backends(4))
	s.Self = 2
	third := newRig(t, s, 3, backends(4))
	deliver := func(from int, actions []balancer.Action) (n int) {
		for _, a := range actions {
			if a, ok := a.(balancer.SendGossip); ok && a.To == 0 {
				idle.step(balancer.GossipReceived{From: from, Data: a.Data})
				n++
			}
		}
		return n
	}
	for i := range 200 {
		busy.serve(1, idempotent, 10*ms)
		deliver(1, busy.advance(10*ms))
		if i%4 == 0 {
			third.serve(1, idempotent, 10*ms)
			third.now -= 10 * ms
		}
		deliver(2, third.advance(20*ms))
		if i%20 == 0 {
			idle.serve(1, idempotent, 10*ms)
			idle.now -= 10 * ms
		}
		idle.advance(20 * ms)
	}
	quota := func(name string) (n int) {
		for i := range 40 {
			id := fmt.Sprint(name, i)
			idle.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms,
				ClientRetry: true}) // adds no demand
			n += len(idle.sent[id])
		}
		for i := range n {
			idle.outcome(fmt.Sprint(name, i), balancer.OK, 10*ms)
		}
		return n
	}
	before := quota("before")
	if messages := deliver(1, busy.step(balancer.Drain{On: true})); messages != 1 {
		t.Fatalf("a drain sent %d messages to agent 0, want 1", messages)
	}
	drained := quota("drained")
	if again := busy.step(balancer.Drain{On: true}); len(again) > 0 {
		t.Errorf("a second Drain caused the actions %v, want none", again)
	}
	deliver(1, busy.step(balancer.Drain{On: false}))
	after := quota("after")
	// The limit of the fleet is 24 or a little more. The idle agent's quota is small at first, then about half of that.
	if before > 5 || drained < 10 || drained > 14 || after > before+1 {
		t.Errorf("quota of %d requests before, %d while the busy peer is drained, %d after, want up to 5, 10 to 14, and up to 1 more",
			before, drained, after)
	}
}
