package balancer_test

// The auditor: an independent check of the balancer's rules, and a test that each of its checks can fail.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
)

// auditor checks the rules from events and actions alone. It models no backend: it only records the events that the
// balancer received and the actions that it returned.
type auditor struct {
	s          balancer.Settings
	now        time.Duration
	requests   map[string]*auditedRequest
	backends   map[string]*auditedBackend
	violations []string
}

// auditedRequest is the auditor's record of one request.
type auditedRequest struct {
	class           balancer.Class
	deadline        time.Duration
	sends           []auditedSend
	ended           bool
	abandonedAt     time.Duration // when the client disconnected; a final answer in that step is allowed
	responseStarted bool
}

// auditedSend is the auditor's record of one attempt.
type auditedSend struct {
	backend          string
	at               time.Duration
	outstanding      bool
	possiblyExecuted bool // true also while outstanding
}

// auditedBackend is the auditor's record of one backend.
type auditedBackend struct {
	balancer.Backend
	unavailableAt time.Duration // when the endpoint list first had it as draining or removed
	started       time.Duration // its start according to the endpoint list; 0: warm
	sends         []time.Duration
}

func newAuditor(s balancer.Settings) *auditor {
	return &auditor{s: s, requests: map[string]*auditedRequest{}, backends: map[string]*auditedBackend{}}
}

// violation records that a rule was broken at the present time.
func (a *auditor) violation(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf("at %v: ", a.now)+fmt.Sprintf(format, args...))
}

// event records an event that the balancer received.
func (a *auditor) event(e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		if e.Class >= 0 && e.Class < len(a.s.Classes) && a.requests[e.ID] == nil {
			a.requests[e.ID] = &auditedRequest{class: a.s.Classes[e.Class], deadline: a.now + e.TimeRemaining}
		}
	case balancer.Outcome:
		r := a.requests[e.Request]
		if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sends) || !r.sends[e.Attempt].outstanding {
			return
		}
		r.sends[e.Attempt].outstanding = false
		r.sends[e.Attempt].possiblyExecuted = !e.Result.NeverRan()
		r.ended = r.ended || e.Done
	case balancer.ResponseStarted:
		if r := a.requests[e.Request]; r != nil {
			r.responseStarted = true
		}
	case balancer.Abandoned:
		if r := a.requests[e.Request]; r != nil && !r.ended {
			r.ended, r.abandonedAt = true, a.now
		}
	case balancer.EndpointUpdate:
		if e.Kind == balancer.UpdateFailed {
			return
		}
		listed := map[string]bool{}
		for _, n := range e.Backends {
			listed[n.ID] = true
			b := a.backends[n.ID]
			if b == nil {
				b = &auditedBackend{}
				a.backends[n.ID] = b
			}
			if n.Started > b.Started {
				b.started, b.sends = n.Started, nil
			}
			if n.State == balancer.Up {
				b.unavailableAt = 0
			} else if b.Backend.State == balancer.Up || b.unavailableAt == 0 {
				b.unavailableAt = a.now
			}
			b.Backend = n
		}
		if e.Kind != balancer.UpdateDelta {
			for id, b := range a.backends {
				if !listed[id] && b.unavailableAt == 0 {
					b.unavailableAt = a.now
					b.State = balancer.Removed
				}
			}
		}
	}
}

// action checks an action that the balancer returned.
func (a *auditor) action(act balancer.Action) {
	switch act := act.(type) {
	case balancer.Send:
		a.send(act)
	case balancer.Refuse:
		r := a.final(act.Request)
		if r == nil {
			return
		}
		for _, s := range r.sends {
			refusalAllowed := r.class.Idempotency == balancer.Idempotent ||
				r.class.Idempotency == balancer.IdempotencyKey && r.class.Scope == balancer.ScopeAll
			if (s.possiblyExecuted || s.outstanding) && !refusalAllowed {
				a.violation("%s refused though an attempt may have executed", act.Request)
			}
		}
	case balancer.Fail:
		a.final(act.Request)
	case balancer.SetTimer:
		if act.After < 0 {
			a.violation("timer in the past: after %v", act.After)
		}
	case balancer.SendGossip:
		if !a.s.GossipAllowed || len(act.Data) > 256 || act.To < 0 || act.To >= a.s.Balancers || act.To == a.s.Self {
			a.violation("message of %d bytes to peer %d is not allowed", len(act.Data), act.To)
		}
	}
}

// final checks and records a final answer, and returns the record of its request, or nil for an unknown request.
func (a *auditor) final(id string) *auditedRequest {
	r := a.requests[id]
	switch {
	case r == nil:
		a.violation("final answer for the unknown request %s", id)
		return nil
	case r.ended && r.abandonedAt != a.now:
		a.violation("%s answered twice", id)
	case a.now > r.deadline+a.s.AnswerGrace && !r.responseStarted:
		a.violation("%s answered late", id)
	}
	r.ended, r.abandonedAt = true, 0
	return r
}

// send checks and records a Send.
func (a *auditor) send(act balancer.Send) {
	r, b := a.requests[act.Request], a.backends[act.Backend]
	if r == nil || b == nil {
		a.violation("send of %q to %q, of which one is unknown", act.Request, act.Backend)
		return
	}
	if r.ended && r.abandonedAt != a.now {
		a.violation("%s sent after its final answer", act.Request)
	}
	if len(r.sends) >= max(1, a.s.MaxAttempts) {
		a.violation("%s sent past the attempt limit", act.Request)
	}
	if b.unavailableAt > 0 && a.now > b.unavailableAt+a.s.DrainGrace {
		a.violation("%s sent to %s, which has been draining or removed for %v", act.Request, act.Backend, a.now-b.unavailableAt)
	}
	var firstExecuted *auditedSend
	for i := range r.sends {
		s := &r.sends[i]
		if s.outstanding && !a.s.HedgingAllowed {
			a.violation("%s has two outstanding attempts", act.Request)
		}
		if firstExecuted == nil && (s.outstanding || s.possiblyExecuted) {
			firstExecuted = s
		}
	}
	if firstExecuted != nil {
		firstBackend := a.backends[firstExecuted.backend]
		switch {
		case r.class.Idempotency == balancer.NonIdempotent:
			a.violation("%s sent again though it is not idempotent and may have executed", act.Request)
		case r.class.Idempotency == balancer.IdempotencyKey && a.now-firstExecuted.at > r.class.DedupWindow:
			a.violation("%s sent again after its deduplication window", act.Request)
		case r.class.Idempotency == balancer.IdempotencyKey && r.class.Scope == balancer.ScopeZone && firstBackend.Zone != b.Zone,
			r.class.Idempotency == balancer.IdempotencyKey && r.class.Scope == balancer.ScopeCell && firstBackend.Cell != b.Cell:
			a.violation("%s sent again outside its idempotency scope", act.Request)
		}
	}
	r.sends = append(r.sends, auditedSend{backend: act.Backend, at: a.now, outstanding: true})
	b.sends = append(b.sends, a.now)
	a.checkSlowStart(b)
}

// checkSlowStart checks this agent's share of the load of a backend in slow start. The auditor does not model capacity.
// The bound is the number of requests that the busiest other backend was sent in three times the span, divided by the
// warmth of that backend, times OverloadMultiple and the guaranteed warmth, plus three requests.
func (a *auditor) checkSlowStart(b *auditedBackend) {
	if b.started == 0 || a.now-b.started >= a.s.SlowStartWindow || a.s.SlowStartWindow == 0 {
		return
	}
	span := max(a.s.OverloadWindow, 1)
	count := func(b *auditedBackend, span time.Duration) (n int) {
		for _, at := range b.sends {
			if a.now-at < span {
				n++
			}
		}
		return n
	}
	warmth := func(b *auditedBackend) float64 {
		if b.started == 0 || a.now-b.started >= a.s.SlowStartWindow {
			return 1
		}
		return a.s.InitialCapacity + (1-a.s.InitialCapacity)*max(0, float64(a.now-b.started)/float64(a.s.SlowStartWindow))
	}
	busiest := 0.0
	for _, o := range a.backends {
		if o != b {
			busiest = max(busiest, float64(count(o, 3*span))/warmth(o))
		}
	}
	if got := count(b, span); float64(got) > a.s.OverloadMultiple*warmth(b)*busiest+3 {
		a.violation("%s is in slow start for %v and got %d sends in %v; the busiest other backend, scaled to full warmth, got %.1f in three times that span",
			b.ID, a.now-b.started, got, span, busiest)
	}
}

// checkUnanswered checks that each request got its final answer by its deadline plus AnswerGrace.
func (a *auditor) checkUnanswered() {
	for id, r := range a.requests {
		if !r.ended && !r.responseStarted && a.now > r.deadline+a.s.AnswerGrace {
			a.violation("%s got no final answer in time", id)
			r.ended = true
		}
	}
}

// Each check of the auditor must be able to fail: each row breaks one rule.
func TestAuditorRejects(t *testing.T) {
	send := func(b string) balancer.Action { return balancer.Send{Request: "q", Backend: b} }
	ended := func(n int, res balancer.Result) balancer.Event {
		return balancer.Outcome{Request: "q", Attempt: n, Result: res, Done: res == balancer.OK}
	}
	refuse, fail := balancer.Refuse{Request: "q"}, balancer.Fail{Request: "q"}
	drainUpdate := balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
		Backends: []balancer.Backend{{ID: "a", State: balancer.Draining}}}
	emptyUpdate := balancer.EndpointUpdate{Kind: balancer.UpdateFull}
	restartUpdate := balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{{ID: "a", Started: time.Hour}}}
	tests := []struct {
		name  string
		class int
		steps []any // events, actions, and durations by which the clock advances
		want  string
	}{
		{"no answer", idempotent, []any{2021 * ms}, "got no final answer in time"},
		{"two answers", idempotent, []any{fail, fail}, "answered twice"},
		{"refusal after a response", idempotent, []any{send("a"), ended(0, balancer.OK), refuse}, "answered twice"},
		{"late answer", idempotent, []any{2020*ms + 1, fail}, "answered late"},
		{"send after the answer", idempotent, []any{fail, send("a")}, "sent after its final answer"},
		{"unknown backend", idempotent, []any{send("zz")}, "of which one is unknown"},
		{"past the attempt limit", idempotent, []any{send("a"), ended(0, balancer.Errored), send("b"), ended(1, balancer.Errored),
			send("a"), ended(2, balancer.Errored), send("b"), ended(3, balancer.Errored), send("a")}, "past the attempt limit"},
		{"two attempts at once", idempotent, []any{send("a"), send("b")}, "two outstanding attempts"},
		{"non-idempotent retried", nonIdempotent, []any{send("a"), ended(0, balancer.TimedOut), send("b")},
			"is not idempotent"},
		{"non-idempotent refused", nonIdempotent, []any{send("a"), ended(0, balancer.Reset), refuse}, "refused though"},
		{"non-idempotent refused while outstanding", nonIdempotent, []any{send("a"), refuse}, "refused though"},
		{"refused with zone scope", scopeZone, []any{send("a"), ended(0, balancer.Errored), refuse}, "refused though"},
		{"outside the zone", scopeZone, []any{send("a"), ended(0, balancer.Errored), send("c")},
			"outside its idempotency scope"},
		{"outside the cell", scopeCell, []any{send("a"), ended(0, balancer.Errored), send("d")},
			"outside its idempotency scope"},
		{"after the window", scopeAll, []any{send("a"), 301 * ms, ended(0, balancer.Errored), send("b")},
			"after its deduplication window"},
		{"draining", idempotent, []any{drainUpdate, 501 * ms, send("a")}, "has been draining or removed"},
		{"removed from the list", idempotent, []any{emptyUpdate, 501 * ms, send("b")}, "has been draining or removed"},
		{"overloaded in slow start", idempotent, []any{restartUpdate, send("a"), ended(0, balancer.Rejected), send("a"), ended(1, balancer.Rejected),
			send("a"), ended(2, balancer.Rejected), send("a")}, "is in slow start"},
		{"message without GossipAllowed", idempotent, []any{balancer.SendGossip{To: 1, Data: []byte{1}}}, "bytes to peer 1 is not allowed"},
		{"timer in the past", idempotent, []any{balancer.SetTimer{After: -1}}, "timer in the past"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAuditor(settings())
			a.now = time.Hour
			a.event(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(4)})
			a.event(balancer.Request{ID: "q", Class: tt.class, TimeRemaining: 2000 * ms})
			for _, p := range tt.steps {
				switch p := p.(type) {
				case time.Duration:
					a.now += p
				case balancer.Event:
					a.event(p)
				case balancer.Action:
					a.action(p)
				}
			}
			a.checkUnanswered()
			if got := strings.Join(a.violations, "; "); !strings.Contains(got, tt.want) {
				t.Errorf("violations %q, want one that contains %q", got, tt.want)
			}
		})
	}
}
