package balancer_test

// Tests of event dispatch and the life of a request.

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"martenbeam/balancer"
)

// Late and repeated events, and events with unknown names or numbers, cause no action.
func TestUnknownEventsDoNothing(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("done", idempotent)
	r.now += 10 * ms
	r.outcome("done", balancer.OK, 10*ms)
	r.request("open", nonIdempotent)
	stray := []balancer.Event{
		balancer.Outcome{Request: "never", Result: balancer.Errored},
		balancer.Outcome{Request: "done", Result: balancer.Errored},
		balancer.Outcome{Request: "open", Attempt: 7, Result: balancer.Errored},
		balancer.Outcome{Request: "open", Attempt: -1, Result: balancer.Errored},
		balancer.TimerFired{Token: 99}, balancer.TimerFired{Token: 0}, balancer.TimerFired{Token: -5},
		balancer.Abandoned{Request: "never"}, balancer.Abandoned{Request: "done"},
		balancer.ResponseStarted{Request: "never"},
		balancer.ProbeResult{Backend: "zz"},
		balancer.GossipReceived{From: 44, Data: []byte{1}},
		balancer.Request{ID: "bad", Class: 17, TimeRemaining: time.Second},
		balancer.Request{ID: "bad", Class: -1, TimeRemaining: time.Second},
		balancer.Request{ID: "open", Class: idempotent, TimeRemaining: time.Second},
	}
	for _, e := range stray {
		if acts := r.step(e); len(acts) != 0 {
			t.Errorf("%#v: %v, want no action", e, acts)
		}
	}
	r.now += 10 * ms
	if acts := r.outcome("open", balancer.Errored, 10*ms); final("open", acts) != "fail" {
		t.Errorf("outcome of the open request: %v, want one failure", acts)
	}
	if acts := r.outcome("open", balancer.Errored, 10*ms); len(acts) != 0 {
		t.Errorf("repeated outcome: %v, want no action", acts)
	}
}

// A request whose client has disconnected gets no retry and no final answer.
func TestAbandonedRequestGetsNoFurtherAction(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", idempotent)
	r.step(balancer.Abandoned{Request: "q"})
	r.now += 10 * ms
	acts := r.outcome("q", balancer.Errored, 10*ms)
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 {
		t.Errorf("after the client disconnected: %v, want no action", acts)
	}
}

// A request whose response has started is not retried.
func TestStartedResponseEndsRetries(t *testing.T) {
	r := newRig(t, settings(), 1, backends(2))
	r.request("q", idempotent)
	r.step(balancer.ResponseStarted{Request: "q"})
	r.now += 10 * ms
	acts := r.step(balancer.Outcome{Request: "q", Backend: r.sent["q"][0], Result: balancer.Reset, Done: true})
	acts = append(acts, r.advance(3*time.Second)...)
	if len(acts) != 0 || len(r.sent["q"]) != 1 {
		t.Errorf("after a broken response: %v, want no action", acts)
	}
}

// The same seed and events give the same actions.
func TestSameSeedGivesSameActions(t *testing.T) {
	play := func(seed uint64) (log []string) {
		r := newRig(t, settings(), seed, backends(6))
		for i := range 400 {
			id := fmt.Sprint("q", i)
			log = append(log, fmt.Sprint(r.request(id, i%5)))
			r.now += 3 * ms
			if i%3 != 0 && len(r.sent[id]) > 0 {
				log = append(log, fmt.Sprint(r.outcome(id, balancer.Result(i%6), 3*ms)))
			}
			log = append(log, fmt.Sprint(r.advance(2*ms)))
		}
		return log
	}
	if !reflect.DeepEqual(play(11), play(11)) {
		t.Error("two runs with the same seed differ, want the same actions")
	}
	if reflect.DeepEqual(play(11), play(12)) {
		t.Error("two runs with different seeds are equal, want different actions")
	}
}
