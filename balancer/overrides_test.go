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
	taken, answers := false, 0
	for _, a := range r.step(e) {
		if a, ok := a.(balancer.OverrideResult); ok {
			taken = a.Accepted
			answers++
		}
	}
	if answers != 1 {
		r.t.Fatalf("%d answers to %+v", answers, e)
	}
	return taken
}

// A disabled backend gets nothing, whatever the endpoint list says, until one Enable reverts any number of Disable.
func TestDisabledBackendGetsNothing(t *testing.T) {
	list := backends(3)
	started := slices.Clone(list)
	started[0].Started = time.Hour + 100*ms
	for name, told := range map[string][]balancer.EndpointUpdate{
		"no list":       nil,
		"full list":     {{Kind: balancer.UpdateFull, Backends: list}},
		"delta":         {{Kind: balancer.UpdateDelta, Backends: list[:1]}},
		"cached list":   {{Kind: balancer.UpdateCached, Backends: list}},
		"a restart":     {{Kind: balancer.UpdateDelta, Backends: started}},
		"gone and back": {{Kind: balancer.UpdateFull, Backends: list[1:]}, {Kind: balancer.UpdateFull, Backends: list}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, settings(), 1, list)
			r.serve(20, idempotent, 10*ms)
			if !r.override(balancer.Disable{Call: 1, Backend: "a"}) || !r.override(balancer.Disable{Call: 2, Backend: "a"}) {
				t.Fatal("not taken")
			}
			for _, l := range told {
				r.step(l)
			}
			if n := r.serve(60, idempotent, 10*ms)["a"]; n > 0 {
				t.Errorf("%d requests went to the detached backend", n)
			}
			if !r.override(balancer.Enable{Call: 3, Backend: "a"}) {
				t.Fatal("the call back was not taken")
			}
			r.now += settings().SlowStartWindow
			if n := r.serve(60, idempotent, 10*ms)["a"]; n == 0 {
				t.Error("none went to it after the call back")
			}
		})
	}
}

// No retry goes to a disabled backend, and with every backend disabled a request gets its answer in the ordinary way.
func TestNothingIsRetriedAtADisabledBackend(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", idempotent)
	other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
	r.override(balancer.Disable{Call: 1, Backend: other})
	r.outcome("q", balancer.Errored, 10*ms)
	r.advance(400 * ms)
	if slices.Contains(r.sent["q"], other) {
		t.Errorf("attempts %v, though %s is detached", r.sent["q"], other)
	}
	for _, id := range []string{"a", "b"} {
		r.override(balancer.Disable{Call: 2, Backend: id})
	}
	all := r.request("last", idempotent)
	if all = append(all, r.advance(400*ms)...); len(r.sent["last"]) > 0 || final("last", all) != "refuse" {
		t.Errorf("sent to %v, final answer %q", r.sent["last"], final("last", all))
	}
}

// An override of an unknown ID is rejected. A backend that left the list while disabled is known.
func TestOverridesOfUnknownBackendsAreRejected(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	if r.override(balancer.Disable{Call: 1, Backend: "z"}) || r.override(balancer.Enable{Call: 2, Backend: "z"}) {
		t.Error("a call for an id that nobody has was taken")
	}
	if !r.override(balancer.Enable{Call: 3, Backend: "a"}) {
		t.Error("the call back of a backend in use was not taken")
	}
	r.override(balancer.Disable{Call: 4, Backend: "a"})
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)[1:]})
	if !r.override(balancer.Enable{Call: 5, Backend: "a"}) {
		t.Error("the call back of a detached backend that has left the list was not taken")
	}
}

// Overrides that an earlier process of the agent accepted hold here, also before the list names the backend.
func TestInheritedOverridesHold(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2)[1:])
	if !r.override(balancer.Disable{Call: 1, Backend: "a", Inherited: true}) {
		t.Fatal("not taken")
	}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
	if n := r.serve(60, idempotent, 10*ms)["a"]; n > 0 {
		t.Errorf("%d requests went to the detached backend", n)
	}
	// Re-enabled a while ago, in the earlier process: its slow start is over.
	at := r.now - settings().SlowStartWindow
	r.override(balancer.Enable{Call: 2, Backend: "a", Inherited: true, At: at})
	if n := r.serve(90, idempotent, 10*ms)["a"]; n < 20 {
		t.Errorf("%d of 90 requests went to a backend that has had time to get warm", n)
	}
}

// A re-enabled backend is in slow start, and nothing from before is held against it.
func TestReenabledBackendStartsSlowAndForgiven(t *testing.T) {
	cold := func(attach bool) int {
		s := settings()
		s.InitialCapacity = 0.05
		r := newRig(t, s, 1, backends(4))
		r.serve(200, idempotent, 10*ms)
		if attach {
			r.override(balancer.Disable{Call: 1, Backend: "a"})
			r.override(balancer.Enable{Call: 2, Backend: "a"})
		}
		return r.serve(200, idempotent, 10*ms)["a"]
	}
	if warm, back := cold(false), cold(true); back == 0 || back > warm/2 {
		t.Errorf("%d requests to a backend just called back, %d to a warm one", back, warm)
	}
	r := newRig(t, settings(), 1, backends(2))
	for i := 0; len(r.sent) < 400; i++ { // "a" fails all it gets, and is ejected for longer and longer
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
		t.Errorf("%d of 60 requests went to a backend that was restarted since it failed", n)
	}
}

// Operators expect a re-enabled backend to be used within 5 s, also where an agent with little traffic keeps to a
// small subset, and each key to the few backends closest to it.
func TestReenabledBackendIsSoonUsed(t *testing.T) {
	for seed := range uint64(20) {
		s := settings()
		s.Balancers = []int{5, 100}[seed%2]
		s.InitialCapacity, s.SlowStartWindow, s.KeyAffinity, s.CrossZoneCost = 0.12, 24*time.Second, true, 0.03
		r := newRig(t, s, seed, backends(20))
		ask := func() string {
			id := fmt.Sprint("q", len(r.sent))
			r.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms, AffinityKey: 7})
			r.now += 20 * ms
			r.outcome(id, balancer.OK, 20*ms)
			r.advance(230 * ms)
			return r.sent[id][0]
		}
		for range 40 {
			ask()
		}
		// One that is late in this agent's own order and not close to the key.
		used := map[string]bool{}
		for range 40 {
			used[ask()] = true
		}
		far := "a"
		for _, b := range backends(20) {
			if !used[b.ID] {
				far = b.ID
			}
		}
		r.override(balancer.Disable{Call: 1, Backend: far})
		r.advance(time.Second)
		r.override(balancer.Enable{Call: 2, Backend: far})
		from, found := r.now, false
		for r.now < from+4*time.Second && !found {
			found = ask() == far
		}
		if !found {
			t.Errorf("seed %d: %s was left unused for 4 s after the call back", seed, far)
		}
	}
}

// A drained agent hands its share of the limit at once to the agents that get its clients, and gets it back when they
// return. What agents learn about each other's demand lags by seconds.
func TestDrainedAgentHandsOverItsQuota(t *testing.T) {
	s := settings()
	s.Balancers, s.GossipAllowed = 3, true
	quiet := newRig(t, s, 1, backends(4))
	s.Self = 1
	busy := newRig(t, s, 2, backends(4))
	s.Self = 2
	third := newRig(t, s, 3, backends(4))
	tell := func(from int, actions []balancer.Action) (n int) {
		for _, a := range actions {
			if a, ok := a.(balancer.SendGossip); ok && a.To == 0 {
				quiet.step(balancer.GossipReceived{From: from, Data: a.Data})
				n++
			}
		}
		return n
	}
	for i := range 200 {
		busy.serve(1, idempotent, 10*ms)
		tell(1, busy.advance(10*ms))
		if i%4 == 0 {
			third.serve(1, idempotent, 10*ms)
			third.now -= 10 * ms
		}
		tell(2, third.advance(20*ms))
		if i%20 == 0 {
			quiet.serve(1, idempotent, 10*ms)
			quiet.now -= 10 * ms
		}
		quiet.advance(20 * ms)
	}
	room := func(name string) (n int) {
		for i := range 40 {
			id := fmt.Sprint(name, i)
			quiet.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms,
				ClientRetry: true}) // adds no demand
			n += len(quiet.sent[id])
		}
		for i := range n {
			quiet.outcome(fmt.Sprint(name, i), balancer.OK, 10*ms)
		}
		return n
	}
	before := room("before")
	if told := tell(1, busy.step(balancer.Drain{On: true})); told != 1 {
		t.Fatalf("told %d times", told)
	}
	emptied := room("emptied")
	if again := busy.step(balancer.Drain{On: true}); len(again) > 0 {
		t.Errorf("a second call: %v", again)
	}
	tell(1, busy.step(balancer.Drain{On: false}))
	after := room("after")
	// The whole limit is 24 or a little more: first hardly any of it, then nearly half.
	if before > 5 || emptied < 10 || emptied > 14 || after > before+1 {
		t.Errorf("room for %d before, %d while the other is emptied, %d after", before, emptied, after)
	}
}
