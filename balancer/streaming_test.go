package balancer_test

// Tests of large bodies and responses that take long to transfer.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A request whose large body is still arriving takes no capacity: its backend has nothing to do yet. From the last byte
// on, its attempt counts like any other.
func TestStreamingBodyTakesNoCapacity(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	r.serve(20, idempotent, 10*ms)
	for i := range 40 { // far above the limit for one backend
		id := fmt.Sprint("large", i)
		r.step(balancer.Request{ID: id, Class: nonIdempotent, TimeRemaining: 2000 * ms, Streaming: true})
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d with a large body was not sent", i)
		}
	}
	r.advance(5 * time.Second) // longer than any objective or deadline
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served while large bodies were arriving, want all", n)
	}
	for i := range 40 {
		r.step(balancer.BodyComplete{Request: fmt.Sprint("large", i)})
	}
	if r.request("late", idempotent); len(r.sent["late"]) > 0 {
		t.Error("a request was sent although attempts with complete bodies reach the limit, want it queued")
	}
	for i := range 40 {
		r.outcome(fmt.Sprint("large", i), balancer.OK, 10*ms)
	}
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served after the large requests ended, want all", n)
	}
}

// The deadline of a large request counts from the arrival of its last byte, which the agent may detect late.
func TestBodyCompleteSetsTheTimeRemaining(t *testing.T) {
	for remaining, want := range map[time.Duration]int{0: 2, 300 * ms: 1} { // 0: as long as the request announced
		r := newRig(t, settings(), 1, backends(2))
		r.step(balancer.Request{ID: "q", Class: idempotent, TimeRemaining: 2000 * ms, Streaming: true})
		r.advance(1000 * ms)
		r.step(balancer.BodyComplete{Request: "q", TimeRemaining: remaining})
		r.advance(400 * ms)
		r.outcome("q", balancer.ConnectFailed, 400*ms) // a retry is possible until the deadline
		r.advance(200 * ms)
		if got := len(r.sent["q"]); got != want {
			t.Errorf("remaining time %v: %d attempts, want %d", remaining, got, want)
		}
	}
}

// Once part of the body is consumed, no retry is possible. If the attempt was never executed, the request is refused,
// so that the client may retry.
func TestConsumedBodyIsNotRetried(t *testing.T) {
	for result, want := range map[balancer.Result]string{balancer.ConnectFailed: "refuse", balancer.Reset: "fail"} {
		r := newRig(t, settings(), 1, backends(3))
		r.step(balancer.Request{ID: "q", Class: idempotent, TimeRemaining: 2000 * ms, Streaming: true})
		r.step(balancer.BodyConsumed{Request: "q"})
		all := r.outcome("q", result, 10*ms)
		all = append(all, r.advance(2000*ms)...)
		if len(r.sent["q"]) != 1 || final("q", all) != want {
			t.Errorf("result %v: %d attempts, final answer %q, want 1 and %q", result, len(r.sent["q"]), final("q", all), want)
		}
	}
}

// An attempt whose response has started takes no capacity: while a slow client reads the response, the backend is idle.
func TestStartedResponseTakesNoCapacity(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	r.serve(20, idempotent, 10*ms)
	for i := range 40 {
		id := fmt.Sprint("large", i)
		r.request(id, nonIdempotent)
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		r.step(balancer.ResponseStarted{Request: id, Attempt: 0})
	}
	r.advance(5 * time.Second)
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served while responses were in transfer, want all", n)
	}
	for i := range 40 {
		if all := r.outcome(fmt.Sprint("large", i), balancer.OK, 10*ms); len(all) > 0 {
			t.Errorf("%v at the end of a started response, want no action", all)
		}
	}
	if n := r.serve(20, idempotent, 10*ms)["a"]; n != 20 {
		t.Errorf("%d of 20 requests served after the large responses ended, want all", n)
	}
}
