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

func TestDrainingAndRemovedBackendsGetNoRequests(t *testing.T) {
	for _, state := range []balancer.BackendState{balancer.Draining, balancer.Removed} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", State: state}}})
		if n := r.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("state %d: %d requests were sent to the backend, want none", state, n)
		}
	}
	t.Run("missing from a full list", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(3)[1:]})
		if n := r.serve(100, idempotent, 20*ms)["a"]; n > 0 {
			t.Errorf("%d requests were sent to the removed backend, want none", n)
		}
	})
	t.Run("during a backoff", func(t *testing.T) {
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
					t.Fatalf("seed %d: a retry was sent to the draining backend", seed)
				}
			}
		}
	})
	t.Run("listed again with the same ID", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(2))
		r.serve(50, idempotent, 20*ms)
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", State: balancer.Removed}}})
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
			Backends: []balancer.Backend{{ID: "a", Started: r.now}}})
		r.serve(400, idempotent, 20*ms)
		r.advance(10 * time.Second)
		if n := r.serve(200, idempotent, 20*ms)["a"]; n < 50 {
			t.Errorf("after its slow start the backend got %d of 200 requests, want at least 50", n)
		}
	})
}

func TestSubscribeIsRetriedWithBackoff(t *testing.T) {
	s := settings()
	s.Subscribe = true
	polls := func(acts []balancer.Action) (n int) {
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
		if n := polls(r.advance(s.PollInterval / 10)); n != 1 {
			t.Fatalf("%d polls at the start, want one", n)
		}
		for range 8 { // each failure is followed by one poll within half the poll interval
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
			if n := polls(r.advance(s.PollInterval / 2)); n != 1 {
				t.Fatalf("%d polls after a failure, want one", n)
			}
		}
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
		if n := polls(r.advance(time.Minute)); n != 0 {
			t.Errorf("%d polls while subscribed, want none", n)
		}
	}
	if len(delays) < 9 {
		t.Errorf("10 agents use %d different delays for their first poll, want at least 9", len(delays))
	}
	r := newRig(t, settings(), 1, backends(2))
	if n := polls(append(r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFailed}), r.advance(time.Minute)...)); n != 0 {
		t.Error("the agent polled after a failure while updates are pushed, want no poll")
	}
}

// When a fleet is replaced many times, the records of its former backends must be removed: memory and the cost of a
// step depend only on the listed backends.
func TestRecordsOfRemovedBackendsAreDeleted(t *testing.T) {
	var before, after runtime.MemStats
	r := newRig(t, settings(), 1, nil)
	replace := func(n int) {
		for i := range 100 {
			update := balancer.EndpointUpdate{Kind: balancer.UpdateKind(i % 2)} // deltas and full lists alternate
			for k := range 20 {
				id := fmt.Sprintf("%03d-%03d-%02d-%s", n, i, k, strings.Repeat("x", 1000))
				update.Backends = append(update.Backends, balancer.Backend{ID: id, State: balancer.BackendState(2 * (k % 2))})
			}
			r.step(update)
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
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > 2<<20 { // the lists had 20 MB of names
		t.Errorf("%d bytes remain of removed backends, want at most 2 MiB", growth)
	}
	runtime.KeepAlive(r)
}
