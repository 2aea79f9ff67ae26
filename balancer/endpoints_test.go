package balancer_test

// Tests of endpoint updates: polling, draining and removed backends.

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
)

func TestDrainingAndRemovedBackendsGetNothing(t *testing.T) {
	for _, state := range []balancer.BackendState{balancer.Draining, balancer.Removed} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", State: state}}})
		if n := r.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: %d requests went there", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(3)[1:]})
		if n := r.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("%d requests went there", n)
		}
	})
	t.Run("while waiting out a backoff", func(t *testing.T) {
		for seed := uint64(0); seed < 20; seed++ {
			r := newRig(t, settings(), seed, backends(2))
			r.request("q", idempotent)
			other := map[string]string{"a": "b", "b": "a"}[r.sent["q"][0]]
			r.now += ms
			r.outcome("q", balancer.Errored, ms)
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
				Backends: []balancer.Backend{{ID: other, State: balancer.Draining}}})
			r.advance(time.Second)
			for _, b := range r.sent["q"][1:] {
				if b == other {
					t.Fatalf("seed %d: a retry went to the draining backend", seed)
				}
			}
		}
	})
	t.Run("back with the same id", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(50, idempotent, 20*ms)
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", State: balancer.Removed}}})
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", Started: r.now}}})
		r.serve(400, idempotent, 20*ms)
		r.advance(10 * time.Second)
		if n := r.serve(200, idempotent, 20*ms)["a"]; n < 50 {
			t.Errorf("warm again it got %d of 200", n)
		}
	})
}

func TestSubscribeIsRetriedWithBackoff(t *testing.T) {
	s := settings()
	s.Subscribe = true
	asks := func(acts []balancer.Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(balancer.Subscribe); ok {
				n++
			}
		}
		return n
	}
	delays := map[time.Duration]bool{}
	for seed := uint64(0); seed < 10; seed++ {
		r := newRig(t, s, seed, backends(2))
		delays[r.timersAt[0]-r.now] = true
		if n := asks(r.advance(s.PollInterval / 10)); n != 1 {
			t.Fatalf("asked %d times at the start, want once", n)
		}
		for range 8 { // every failure is followed by one more poll, in time
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
			if n := asks(r.advance(s.PollInterval / 2)); n != 1 {
				t.Fatalf("asked %d times after a failure, want once", n)
			}
		}
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
		if n := asks(r.advance(time.Minute)); n != 0 {
			t.Errorf("asked %d times while subscribed", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents ask after only %d different waits", len(delays))
	}
	r := newRig(t, settings(), 1, backends(2))
	if n := asks(append(r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFailed}), r.advance(time.Minute)...)); n != 0 {
		t.Error("asked although the list comes unasked")
	}
}

// A fleet that is replaced again and again leaves nothing behind: the cost of a step and the memory depend on the
// listed backends, not on those that ever existed.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	var before, after runtime.MemStats
	r := newRig(t, settings(), 1, nil)
	replace := func(n int) {
		for i := range 100 {
			list := balancer.EndpointUpdate{Kind: balancer.UpdateKind(i % 2)} // deltas and full lists in turn
			for k := range 20 {
				id := fmt.Sprintf("%03d-%03d-%02d-%s", n, i, k, strings.Repeat("x", 1000))
				list.Backends = append(list.Backends, balancer.Backend{ID: id, State: balancer.BackendState(2 * (k % 2))})
			}
			r.step(list)
		}
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull})
	}
	replace(0)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range 10 {
		replace(1 + n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 2<<20 { // 20 MB of names were listed
		t.Errorf("%d bytes are kept of backends that are gone", grown)
	}
	runtime.KeepAlive(r)
}
