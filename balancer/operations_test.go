package balancer_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"martenbeam/balancer"
)

// override makes an operator's call and returns whether it was taken.
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

// A detached backend gets nothing, whatever the list says, until the one call back that ends any
// number of calls out.
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

// No retry goes there either, and with every backend detached a request gets its answer in the
// ordinary way.
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

// An id that nobody has is owed a no; one that left the list while it was detached is known.
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

// What another process of the agent was told holds here, also before the list names the backend.
func TestInheritedOverridesHold(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2)[1:])
	if !r.override(balancer.Disable{Call: 1, Backend: "a", Inherited: true}) {
		t.Fatal("not taken")
	}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
	if n := r.serve(60, idempotent, 10*ms)["a"]; n > 0 {
		t.Errorf("%d requests went to the detached backend", n)
	}
	// Called back elsewhere a while ago: it is as far from warm as that tells.
	at := r.now - settings().SlowStartWindow
	r.override(balancer.Enable{Call: 2, Backend: "a", Inherited: true, At: at})
	if n := r.serve(90, idempotent, 10*ms)["a"]; n < 20 {
		t.Errorf("%d of 90 requests went to a backend that has had time to get warm", n)
	}
}

// A backend that was called back is cold, with nothing of before held against it.
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

// Operators wait 5 s for a backend that they called back to be used, also where an agent with
// little traffic keeps to a few others, and each key to the few nearest to it.
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
		// One far down this agent's order and far from the key.
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

// The retry bucket goes on over an upgrade: two processes are one agent. What the file holds may make
// no sense, and is no more than a full bucket.
func TestRetryBudgetSurvivesHandover(t *testing.T) {
	older := newRig(t, settings(), 1, backends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		older.request(id, idempotent)
		older.outcome(id, balancer.Errored, 10*ms)
	}
	left := older.b.Snapshot().Tokens
	for told, want := range map[float64]float64{left: left, -1: 100, 1e9: 100, math.NaN(): 100} {
		r := newRig(t, settings(), 1, backends(2))
		r.step(balancer.Restore{Snapshot: balancer.Snapshot{Tokens: told}})
		if got := r.b.Snapshot().Tokens; got != want {
			t.Errorf("told %v: %v tokens, want %v", told, got, want)
		}
	}
	if left > 60 {
		t.Errorf("%v tokens left after ten retries", left)
	}
}

// A request whose large body is still coming keeps no backend busy and takes no room: its backend has
// nothing to do yet. From its last byte on it is an attempt like any other.
func TestStreamingBodyTakesNoCapacity(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	r.serve(20, idempotent, 10*ms)
	for i := range 40 { // far past the limit of one backend
		id := fmt.Sprint("large", i)
		r.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms, Streaming: true})
		if len(r.sent[id]) != 1 {
			t.Fatalf("the %dth large body was not sent", i)
		}
	}
	r.advance(5 * time.Second) // longer than any aim or deadline
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served beside bodies on their way", n)
	}
	for i := range 40 {
		r.step(balancer.BodyComplete{Request: fmt.Sprint("large", i)})
	}
	if r.request("late", idempotent); len(r.sent["late"]) > 0 {
		t.Error("sent past the limit: bodies that are whole don't count")
	}
	for i := range 40 {
		r.outcome(fmt.Sprint("large", i), balancer.OK, 10*ms)
	}
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served afterwards", n)
	}
}

// Of a body of which a part is gone nothing can be sent again; if it never ran the client may try.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for result, want := range map[balancer.Result]string{balancer.ConnectFailed: "refuse", balancer.Reset: "fail"} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.Request{ID: "q", Class: idempotent, TimeRemaining: 2000 * ms, Streaming: true})
		r.step(balancer.BodyConsumed{Request: "q"})
		all := r.outcome("q", result, 10*ms)
		all = append(all, r.advance(2000*ms)...)
		if len(r.sent["q"]) != 1 || final("q", all) != want {
			t.Errorf("%v: %d attempts, final answer %q, want %q", result, len(r.sent["q"]), final("q", all), want)
		}
	}
}

// An attempt whose answer has begun waits for nothing: while a slow client reads it the backend is idle.
func TestStartedResponseTakesNoCapacity(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	r.serve(20, idempotent, 10*ms)
	for i := range 40 {
		id := fmt.Sprint("large", i)
		r.request(id, nonIdempotent)
		if len(r.sent[id]) != 1 {
			t.Fatalf("the %dth was not sent", i)
		}
		r.step(balancer.ResponseStarted{Request: id, Attempt: 0})
	}
	r.advance(5 * time.Second)
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served beside answers on their way", n)
	}
	for i := range 40 {
		if all := r.outcome(fmt.Sprint("large", i), balancer.OK, 10*ms); len(all) > 0 {
			t.Errorf("%v after an answer that has gone on", all)
		}
	}
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served afterwards", n)
	}
}

// busyAgent is an agent that has nearly all of the traffic of twenty.
func busyAgent(t *testing.T, seed uint64) *rig {
	s := settings()
	s.Balancers, s.GossipAllowed = 20, true
	return newRig(t, s, seed, backends(4))
}

// receiveQuietPeers tells it of its peers that their clients ask for nothing.
func (r *rig) receiveQuietPeers() {
	for i := range 19 {
		r.step(balancer.GossipReceived{From: i + 1, Data: make([]byte, 8)})
	}
}

// overload asks twenty times a second for 2 s. Every backend but the cold one, z, keeps what it gets;
// crowd returns how many requests z got.
func (r *rig) overload() (n int) {
	for i := range 40 {
		id := fmt.Sprint("crowd", len(r.sent), "-", i)
		r.receiveQuietPeers()
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

// A day of operations (upgrade+hand): while most was refused, what was served told little of what a
// backend can do, and the cold ones were left idle beside the crowded.
func TestSlowStartBudgetSurvivesOverload(t *testing.T) {
	r := busyAgent(t, 1)
	for range 50 {
		r.receiveQuietPeers()
		r.serve(10, idempotent, 10*ms) // 25 a second for each
	}
	r.step(backendInSlowStart(r.now))
	if n := r.overload(); n < 12 { // a fifth of that times the root of 2.5 is 8 a second
		t.Errorf("%d requests in 2 s to the one that is idle", n)
	}
}

// What the process before had learned of rates, delays and peers is gone on from: the next one's cold
// backends get their part at once, and so does it of the limit.
func TestSnapshotIsRestored(t *testing.T) {
	older := busyAgent(t, 1)
	for range 50 {
		older.receiveQuietPeers()
		older.serve(10, idempotent, 10*ms)
	}
	told := older.b.Snapshot()
	got := func(l *balancer.Snapshot) int {
		r := busyAgent(t, 2)
		if l != nil {
			r.step(balancer.Restore{Snapshot: *l})
			if again := r.b.Snapshot(); again.LatencyRatio != l.LatencyRatio || again.LimitPerBackend != l.LimitPerBackend || math.Abs(again.Demand/l.Demand-1) > 0.1 {
				t.Errorf("handed on %+v, gone on from %+v", *l, again)
			}
		}
		r.step(backendInSlowStart(r.now))
		return r.overload()
	}
	with, without := got(&told), got(nil)
	if with < 2*without || with < 8 {
		t.Errorf("%d requests in 2 s to an idle cold backend, %d with nothing handed on", with, without)
	}
	for name, l := range map[string]balancer.Snapshot{
		"nothing":       {},
		"other classes": {LimitPerBackend: 6, Latency: []float64{1}},
		"no numbers":    {LimitPerBackend: math.NaN(), LatencyRatio: math.Inf(1), PeakThroughput: math.NaN(), Demand: -1, Latency: told.Latency, PeerDemand: told.PeerDemand},
		"huge":          {LimitPerBackend: 1e300, PeakThroughput: 1e300, Demand: 1e300, Latency: told.Latency, PeerDemand: told.PeerDemand},
	} {
		r := busyAgent(t, 2)
		r.step(balancer.Restore{Snapshot: l})
		if n := r.serve(60, idempotent, 10*ms); len(n) != 4 {
			t.Errorf("%s: served by %v", name, n)
		}
	}
}

// An agent that is emptied hands its part of the limit to those that its clients go to, at once, and gets
// it back when they return. What agents learn of each other's demand follows it by seconds.
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
			quiet.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms, ClientRetry: true}) // no demand of its own
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
	// All of the limit is 24 or a little more: of that, first hardly any, then nearly half.
	if before > 5 || emptied < 10 || emptied > 14 || after > before+1 {
		t.Errorf("room for %d before, %d while the other is emptied, %d after", before, emptied, after)
	}
}
