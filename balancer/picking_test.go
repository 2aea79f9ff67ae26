package balancer_test

// Tests of picking: which backend a request goes to.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A backend of a kind that the settings don't list is used like any other.
func TestBackendOfUnknownKindIsUsed(t *testing.T) {
	list := backends(2)
	for i := range list {
		list[i].Kind = -1
	}
	r := newRig(t, settings(), 1, list)
	if counts := r.serve(20, idempotent, 50*ms); counts["a"] == 0 || counts["b"] == 0 {
		t.Errorf("requests by backend %v, want some at each", counts)
	}
}

func TestPickPrefersIdleNearFastBackends(t *testing.T) {
	t.Run("idle backends at random", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		counts := r.serve(400, idempotent, 50*ms)
		for _, id := range []string{"a", "b", "c", "d"} {
			if counts[id] < 60 || counts[id] > 140 {
				t.Errorf("%s got %d of 400 requests, want 60 to 140", id, counts[id])
			}
		}
	})
	t.Run("idle before busy", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, idempotent, 50*ms)
		used := map[string]bool{}
		for i := range 4 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			used[r.sent[id][0]] = true
		}
		if len(used) != 4 {
			t.Errorf("four requests went to %d backends, want 4", len(used))
		}
	})
	t.Run("fewest in flight", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, idempotent, 50*ms)
		counts := map[string]int{}
		for i := range 12 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			counts[r.sent[id][0]]++
		}
		for id, n := range counts {
			if n < 2 || n > 4 {
				t.Errorf("%s has %d of 12 requests at 4 backends in flight, want 2 to 4", id, n)
			}
		}
	})
	t.Run("new backend counts at the mean", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		r.serve(80, idempotent, 50*ms)
		for i := range 8 {
			r.request(fmt.Sprint("q", i), idempotent)
		}
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "new"}}})
		sentToNew := 0
		for i := range 4 {
			id := fmt.Sprint("n", i)
			r.request(id, idempotent)
			if r.sent[id][0] == "new" {
				sentToNew++
			}
		}
		if sentToNew > 2 {
			t.Errorf("the new backend got %d of 4 requests, want up to 2", sentToNew)
		}
	})
	t.Run("own zone where crossing has a cost", func(t *testing.T) {
		s := settings()
		s.CrossZoneCost = 0.02
		r := newRig(t, s, 2, backends(4))
		r.now += s.SlowStartWindow + 1 // proximity counts only some time after a cut of the limit
		counts := r.serve(400, idempotent, 50*ms)
		if own := counts["a"] + counts["b"]; own < 280 || own > 380 {
			t.Errorf("the own zone got %d of 400 requests, want 280 to 380", own)
		}
	})
	t.Run("slow backends less", func(t *testing.T) {
		r := newRig(t, settings(), 2, backends(4))
		slow := 0
		for i := range 600 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			lat := 40 * ms
			if r.sent[id][0] == "a" {
				lat = 160 * ms
				if i >= 300 {
					slow++
				}
			}
			r.now += lat
			r.outcome(id, balancer.OK, lat)
		}
		if slow > 40 {
			t.Errorf("a backend four times slower got %d of the last 300 requests, want up to 40", slow)
		}
	})
}

// A stalled backend is avoided because of the age of its oldest outstanding attempt, before any response or time-out.
func TestStalledBackendIsAvoided(t *testing.T) {
	r := newRig(t, settings(), 4, backends(3))
	r.serve(60, idempotent, 20*ms)
	for i := range 3 { // one at each backend
		r.request(fmt.Sprint("hang", i), idempotent)
	}
	for i := range 3 {
		id := fmt.Sprint("hang", i)
		if r.sent[id][0] != "a" {
			r.now += 10 * ms
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	r.now += 300 * ms
	for i := range 6 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		if r.sent[id][0] == "a" {
			t.Errorf("request %d went to the stalled backend, want another one", i)
		}
	}
}

// zone+vast: when 80 agents spread each key over 60 backends, nearly all of the work that a backend saves on a recent
// key was lost. Any two agents prefer the same few idle backends for a key, and different backends for other keys. A
// busy backend is not preferred.
func TestKeyAffinityPrefersTheSameBackends(t *testing.T) {
	play := func(keyAffinity bool, seed, key uint64) map[string]int {
		s := settings()
		s.KeyAffinity, s.Balancers, s.Self = keyAffinity, 20, int(seed)
		r := newRig(t, s, seed, backends(20))
		counts := map[string]int{}
		for i := range 100 {
			id := fmt.Sprint("q", i)
			r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: 2000 * ms, AffinityKey: key})
			r.now += 20 * ms
			r.outcome(id, balancer.OK, 20*ms)
			counts[r.sent[id][0]]++
		}
		return counts
	}
	// together returns the share of pairs of requests, one of each agent, that go to the same backend.
	together := func(x, y map[string]int) (share float64) {
		for id := range x {
			share += float64(x[id]*y[id]) / 1e4
		}
		return share
	}
	preferred, sum := map[string]bool{}, 0.0
	for key := uint64(1); key <= 40; key++ {
		x, y := play(true, 1, key<<40+key), play(true, 2, key<<40+key)
		sum += together(x, y)
		for id, n := range x {
			if n > 40 {
				preferred[id] = true
			}
		}
	}
	if sum < 40*0.25 {
		t.Errorf("%.2f of the request pairs of two agents for one key go to the same backend, want at least 0.25", sum/40)
	}
	if len(preferred) < 10 {
		t.Errorf("40 keys prefer %d of 20 backends, want at least 10", len(preferred))
	}
	for _, key := range []uint64{0, 7} {
		if share := together(play(key == 0, 1, key), play(key == 0, 2, key)); share > 0.1 {
			t.Errorf("key %d, without a key or without affinity: %.2f of the pairs go to the same backend, want up to 0.1",
				key, share)
		}
	}

	s := settings()
	s.KeyAffinity = true
	r := newRig(t, s, 1, backends(8))
	r.serve(100, idempotent, 20*ms)
	used := map[string]bool{}
	for i := range 8 { // no request gets a response
		id := fmt.Sprint("q", i)
		r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: 2000 * ms, AffinityKey: 99})
		used[r.sent[id][0]] = true
	}
	if len(used) != 8 {
		t.Errorf("8 requests with one key went to %d of 8 idle backends, want all", len(used))
	}
}

// Satx rough-1: kinds of machine differ in which classes they serve fast. The measured ratio of a kind and a class also
// applies to backends of the kind from which the agent has few responses.
func TestLatencyRatioIsPooledByKindAndClass(t *testing.T) {
	list := backends(20)
	for i := range list {
		list[i].Kind = i % 2
	}
	r := newRig(t, settings(), 4, list)
	fast := map[int]int{}
	for i := range 400 {
		class := i % 2
		id := fmt.Sprint("q", i)
		r.request(id, class)
		kind := int(r.sent[id][0][0]-'a') % 2
		latency := 60 * ms
		if kind == class {
			latency = 20 * ms
		}
		r.now += latency
		r.outcome(id, balancer.OK, latency)
		if i >= 200 && kind == class {
			fast[class]++
		}
	}
	if fast[0] < 85 || fast[1] < 85 {
		t.Errorf("%d and %d of 100 requests went to the kind that is fast for the class, want at least 85", fast[0], fast[1])
	}
	invalid := backends(2) // an invalid kind must not panic
	invalid[0].Kind = -3
	newRig(t, settings(), 1, invalid).serve(10, idempotent, 10*ms)
}

// Satx rough-2: a backend that rejects an attempt is overloaded for longer than one latency. It must get fewer requests
// than before for some time.
func TestRejectingBackendIsChosenLess(t *testing.T) {
	sentToRejecting := 0
	for seed := range uint64(100) {
		r := newRig(t, settings(), seed, backends(4))
		r.serve(20, idempotent, 20*ms)
		r.request("q", idempotent)
		rejecting := r.sent["q"][0]
		r.outcome("q", balancer.Rejected, ms)
		r.advance(2 * time.Second)
		r.request("next", idempotent)
		if r.sent["next"][0] == rejecting {
			sentToRejecting++
		}
	}
	if sentToRejecting > 18 {
		t.Errorf("the rejecting one of four backends got %d of 100 requests 2 s later, want up to 18", sentToRejecting)
	}
}

// A time-out is a lower bound of a backend's latency: a backend that responds only to its cheap requests must not keep
// the low latency ratio of these responses.
func TestTimeoutsRaiseLatencyRatio(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 3, backends(3))
	r.serve(60, idempotent, 20*ms)
	got := 0
	for round := range 60 {
		var unanswered []string
		answered := false
		for i := range 6 {
			r.request(fmt.Sprint("q", round, "-", i), idempotent)
		}
		r.now += 20 * ms
		for i := range 6 {
			id := fmt.Sprint("q", round, "-", i)
			if r.sent[id][0] == "a" {
				if got++; answered {
					unanswered = append(unanswered, id)
					continue
				}
				answered = true
			}
			r.outcome(id, balancer.OK, 20*ms)
		}
		r.now += 60 * ms
		for _, id := range unanswered {
			r.outcome(id, balancer.TimedOut, 80*ms)
		}
		r.now += 20 * ms
	}
	if got > 90 {
		t.Errorf("a backend that responds to only one request per round got %d of 360, want up to 90", got)
	}
}
