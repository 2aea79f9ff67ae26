package balancer_test

// The test rig that drives one balancer in the tests of this package.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

const ms = time.Millisecond

// Indices of the classes of the test settings.
const (
	idempotent = iota
	nonIdempotent
	scopeAll
	scopeZone
	scopeCell
)

// settings returns the test settings: one agent, and classes of equal weight that differ in idempotency.
func settings() balancer.Settings {
	class := func(idempotency balancer.Idempotency, scope balancer.IdempotencyScope) balancer.Class {
		return balancer.Class{LatencyObjective: 400 * ms, Deadline: 2000 * ms, PriorityWeight: 1, Idempotency: idempotency,
			Scope: scope, DedupWindow: 300 * ms}
	}
	return balancer.Settings{
		Balancers: 1, MaxAttempts: 4, Tick: 5 * ms,
		Classes: []balancer.Class{
			class(balancer.Idempotent, 0), class(balancer.NonIdempotent, 0), class(balancer.IdempotencyKey, balancer.ScopeAll),
			class(balancer.IdempotencyKey, balancer.ScopeZone), class(balancer.IdempotencyKey, balancer.ScopeCell),
		},
		DrainGrace: 500 * ms, AnswerGrace: 20 * ms, InitialCapacity: 0.2, SlowStartWindow: 10 * time.Second,
		OverloadMultiple: 2.5, OverloadWindow: time.Second, PollInterval: 10 * time.Second,
		GoalOverall: 0.6, GoalWorstWindow: 0.2, GoalWorstClass: 0.2,
	}
}

// sparseSettings returns settings with which an even share of the concurrency limit is smaller than one attempt.
func sparseSettings() balancer.Settings {
	s := settings()
	s.Balancers, s.GossipAllowed = 100, true
	return s
}

// backends returns n backends named a, b, c ...; two per zone and cell.
func backends(n int) []balancer.Backend {
	var list []balancer.Backend
	for i := range n {
		list = append(list, balancer.Backend{ID: string(rune('a' + i)), Zone: i / 2, Cell: i / 2})
	}
	return list
}

// rig drives one balancer and records its sends, timers and latest actions.
type rig struct {
	t        *testing.T
	b        *balancer.Balancer
	now      time.Duration
	sent     map[string][]string // backends of each request's attempts
	timers   []balancer.TimerFired
	timersAt []time.Duration
	actions  []balancer.Action // of the last step
	audit    *auditor          // checks the rules; may be nil
}

// newRig returns a rig whose balancer has the listed backends, from a cached endpoint list.
func newRig(t *testing.T, s balancer.Settings, seed uint64, list []balancer.Backend) *rig {
	t.Helper()
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: time.Hour, sent: map[string][]string{}}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateCached, Backends: list})
	return r
}

// step handles the events at the present time, records the actions and returns them.
func (r *rig) step(events ...balancer.Event) []balancer.Action {
	r.actions = r.b.Step(r.now, events)
	if r.audit != nil {
		r.audit.now = r.now
		for _, e := range events {
			r.audit.event(e)
		}
	}
	for _, a := range r.actions {
		if r.audit != nil {
			r.audit.action(a)
		}
		switch a := a.(type) {
		case balancer.Send:
			r.sent[a.Request] = append(r.sent[a.Request], a.Backend)
		case balancer.SetTimer:
			r.timers = append(r.timers, balancer.TimerFired{Token: a.Token})
			r.timersAt = append(r.timersAt, r.now+a.After)
		}
	}
	return r.actions
}

// advance moves the clock, fires the timers that are due on the way, and returns all actions.
func (r *rig) advance(d time.Duration) []balancer.Action {
	var all []balancer.Action
	end := r.now + d
	for {
		next := -1
		for i, at := range r.timersAt {
			if at <= end && (next < 0 || at < r.timersAt[next]) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		fired := r.timers[next]
		r.now = max(r.now, r.timersAt[next])
		r.timers = append(r.timers[:next], r.timers[next+1:]...)
		r.timersAt = append(r.timersAt[:next], r.timersAt[next+1:]...)
		all = append(all, r.step(fired)...)
	}
	r.now = end
	return all
}

// request submits a request with 2 s until its client stops waiting.
func (r *rig) request(id string, class int) []balancer.Action {
	return r.step(balancer.Request{ID: id, Class: class, TimeRemaining: 2000 * ms})
}

// outcome ends the latest attempt of a request.
func (r *rig) outcome(id string, res balancer.Result, latency time.Duration) []balancer.Action {
	r.t.Helper()
	n := len(r.sent[id]) - 1
	if n < 0 {
		r.t.Fatalf("%s: no attempt was sent", id)
	}
	return r.step(balancer.Outcome{Request: id, Attempt: n, Backend: r.sent[id][n], Result: res,
		Latency: latency, Done: res == balancer.OK})
}

// serve sends n requests one after the other and answers each after the latency. It returns the first attempts by
// backend.
func (r *rig) serve(n int, class int, latency time.Duration) map[string]int {
	r.t.Helper()
	counts := map[string]int{}
	for range n {
		id := fmt.Sprintf("serve-%d", len(r.sent))
		r.request(id, class)
		r.now += latency
		r.outcome(id, balancer.OK, latency)
		counts[r.sent[id][0]]++
	}
	return counts
}

// burst submits 150 requests at once and answers each one that is sent, at first or later from the queue, after the
// latency. It returns how many were sent at first.
func (r *rig) burst(name string, latency time.Duration) (sentAtFirst int) {
	answered := map[string]bool{}
	id := func(i int) string { return fmt.Sprint(name, "-", i) }
	for i := range 150 {
		r.request(id(i), idempotent)
		sentAtFirst += len(r.sent[id(i)])
	}
	for progress := true; progress; {
		progress = false
		r.advance(latency)
		for i := range 150 {
			if len(r.sent[id(i)]) > 0 && !answered[id(i)] {
				answered[id(i)], progress = true, true
				r.outcome(id(i), balancer.OK, latency)
			}
		}
	}
	return sentAtFirst
}

// final returns "refuse" or "fail" for a request's final answer among the actions, several in a row if there are more,
// and "" if there is none.
func final(id string, actions []balancer.Action) string {
	found := ""
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Refuse:
			if a.Request == id {
				found += "refuse"
			}
		case balancer.Fail:
			if a.Request == id {
				found += "fail"
			}
		}
	}
	return found
}

// firstSend returns the first Send among the actions, and fails the test if there is none.
func firstSend(t *testing.T, actions []balancer.Action) balancer.Send {
	t.Helper()
	for _, a := range actions {
		if a, ok := a.(balancer.Send); ok {
			return a
		}
	}
	t.Fatal("the actions contain no Send")
	panic("unreachable")
}
