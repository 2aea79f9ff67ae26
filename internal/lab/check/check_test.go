package check

import (
	"testing"
	"time"
)

const (
	ms    = time.Millisecond
	grace = 500 * ms
	slack = 50 * ms
)

func rules() Rules {
	return Rules{Classes: []Class{{"get", Idempotent, 0}, {"put", IdempotencyKey, 10 * time.Second}, {"pay", NonIdempotent, 0}}, DrainGrace: grace, AnswerGrace: grace,
		Slack: slack, MaxClosedNewShare: 0.005}
}

// step is one call of a checker at a given time.
type step func(c *Checker)

func open(at time.Duration, class int) step {
	return func(c *Checker) {
		c.Open(at, &Request{ID: "r", FirstID: "r", Agent: 1, Class: class, SentAt: at, Timeout: time.Second, Fingerprint: 7})
		c.Accept(at, "r")
	}
}

func arrive(at time.Duration, backend string, cell int) step {
	return func(c *Checker) {
		c.Arrive(at, Arrival{ID: "r", Agent: 1, Backend: backend, Cell: cell, Fingerprint: 7, SentAt: at})
	}
}

func arriveWithTimeout(at, timeout time.Duration) step {
	return func(c *Checker) {
		c.Arrive(at, Arrival{ID: "r", Agent: 1, Backend: "x", Fingerprint: 7, SentAt: at, StatedTimeout: timeout})
	}
}

func reply(at time.Duration, backend string, neverRan bool) step {
	return func(c *Checker) { c.RecordReply(at, "r", backend, "responds", neverRan) }
}

func finish(at time.Duration, a Answer) step { return func(c *Checker) { c.Finish(at, "r", a) } }

func notify(at time.Duration, unavailable bool) step {
	return func(c *Checker) { c.Notify(at, 1, "x", unavailable, -1) }
}

func excuse(from, to time.Duration) step { return func(c *Checker) { c.Excuse(1, from, to) } }

// Each sequence of reported events violates the given rule, or none if the rule is "".
func TestRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		rule  string
		steps []step
	}{
		{"served", "", []step{open(0, 2), arrive(ms, "x", 0), finish(100*ms, Served)}},
		{"served within the slack", "", []step{open(0, 2), finish(time.Second+grace+slack, Served)}},
		{"served past the slack", RuleAnswer, []step{open(0, 2), finish(time.Second+grace+slack+1, Served)}},
		{"never answered", RuleAnswer, []step{open(0, 2), finish(3*time.Second, Unanswered)}},
		{"not finished before Close", RuleAnswer, []step{open(0, 2)}},
		{"never answered by a stopped agent", "", []step{open(0, 2), excuse(500*ms, 3*time.Second), finish(3*time.Second, Unanswered)}},
		{"never answered, sent after a stop", RuleAnswer, []step{excuse(0, ms), open(2*ms, 2), finish(3*time.Second, Unanswered)}},
		{"never accepted", "", []step{func(c *Checker) { c.Open(0, &Request{ID: "r", Class: 2, Agent: 1}) }, finish(3*time.Second, Closed)}},
		{"closed", RuleAnswer, []step{open(0, 2), finish(100*ms, Closed)}},
		{"closed while its agent is down", "", []step{open(0, 2), func(c *Checker) { c.Down(1, 50*ms) }, finish(100*ms, Closed)}},
		{"closed, sent after its agent runs again", RuleAnswer, []step{func(c *Checker) { c.Down(1, 0); c.Running(1, ms) }, open(2*ms, 2), finish(100*ms, Closed)}},
		{"closed new, above the allowed share", RuleAnswer, []step{open(0, 2), finish(100*ms, ClosedNew)}},
		{"answered with a foreign response", RuleAnswer, []step{open(0, 2), finish(100*ms, Foreign)}},
		{"idempotent, run twice", "", []step{open(0, 0), arrive(ms, "x", 0), arrive(2*ms, "y", 1), finish(100*ms, Rejected)}},
		{"non-idempotent, run twice", RuleDuplicate, []step{open(0, 2), arrive(ms, "x", 0), arrive(2*ms, "y", 0)}},
		{"non-idempotent, retried after a rejection", "", []step{open(0, 2), arrive(ms, "x", 0), reply(2*ms, "x", true), arrive(3*ms, "x", 0), finish(9*ms, Served)}},
		{"non-idempotent, retried after an error", RuleDuplicate, []step{open(0, 2), arrive(ms, "x", 0), reply(2*ms, "x", false), arrive(3*ms, "y", 0)}},
		{"idempotency key, retried in the same pod", "", []step{open(0, 1), arrive(ms, "x", 3), arrive(2*ms, "y", 3), finish(9*ms, Served)}},
		{"idempotency key, retried in another pod", RuleDuplicate, []step{open(0, 1), arrive(ms, "x", 3), arrive(2*ms, "y", 4)}},
		{"idempotency key, retried after the deduplication window", RuleDuplicate, []step{open(0, 1), arrive(ms, "x", 3), arrive(10*time.Second+slack+2*ms, "y", 3)}},
		{"refused though an attempt may have run", RuleDuplicate, []step{open(0, 1), arrive(ms, "x", 3), finish(9*ms, Rejected)}},
		{"refused after a rejection by the backend", "", []step{open(0, 2), arrive(ms, "x", 0), reply(2*ms, "x", true), finish(9*ms, Rejected)}},
		{"failed though an attempt may have run", "", []step{open(0, 2), arrive(ms, "x", 3), finish(9*ms, Failed)}},
		{"sent to a draining backend within the grace", "", []step{notify(0, true), open(0, 2), arrive(grace+slack, "x", 0), finish(grace+60*ms, Served)}},
		{"sent to a draining backend after the grace", RuleDrain, []step{notify(0, true), open(0, 2), arrive(grace+slack+2, "x", 0), finish(grace+60*ms, Served)}},
		{"a second notice does not extend the grace", RuleDrain, []step{notify(0, true), notify(grace, true), open(0, 2), arrive(grace+slack+2, "x", 0)}},
		{"sent to a backend that is ready again", "", []step{notify(0, true), notify(ms, false), open(0, 2), arrive(time.Second, "x", 0), finish(time.Second, Served)}},
		{"agent stopped within the grace", "", []step{notify(0, true), excuse(ms, time.Second), open(0, 2), arrive(time.Second+grace, "x", 0), finish(time.Second+grace, Served)}},
		{"agent stopped after the grace", RuleDrain, []step{notify(0, true), excuse(time.Second, 2*time.Second), open(0, 2), arrive(1500*ms, "x", 0)}},
		{"sent before the drain grace ended, delayed by the network", "", []step{notify(0, true), open(0, 2), func(c *Checker) {
			c.Arrive(time.Second, Arrival{ID: "r", Agent: 1, Backend: "x", Fingerprint: 7, SentAt: 100 * ms})
		}, finish(time.Second, Served)}},
		{"a request that no client sent", RuleUnknown, []step{arrive(ms, "x", 0)}},
		{"a request changed by the agent", RuleUnknown, []step{open(0, 2), func(c *Checker) { c.Arrive(ms, Arrival{ID: "r", Agent: 1, Backend: "x", Fingerprint: 8}) }}},
		{"sent by another agent", RuleUnknown, []step{open(0, 2), func(c *Checker) { c.Arrive(ms, Arrival{ID: "r", Agent: 2, Backend: "x", Fingerprint: 7}) }}},
		{"sent after the client disconnected", RuleCancelled, []step{open(0, 0), finish(100*ms, Disconnected), arrive(200*ms+slack+ms, "x", 0)}},
		{"sent within the slack after the client disconnected", "", []step{open(0, 0), finish(100*ms, Disconnected), arrive(200*ms+slack, "x", 0)}},
		{"states a longer time-out than the client has left", RuleDeadline, []step{open(0, 0), arriveWithTimeout(500*ms, 500*ms+150*ms+slack+ms)}},
		{"states the time that the client has left, and the slack", "", []step{open(0, 0), arriveWithTimeout(500*ms, 500*ms+150*ms+slack), finish(600*ms, Served)}},
		{"overloaded by agents that received the start", RuleSlowStart, []step{func(c *Checker) { c.Overloaded(ms, "x", 0.7) }}},
		{"overloaded, with too small a share from agents that received the start", "", []step{func(c *Checker) { c.Overloaded(ms, "x", 0.6) }}},
	} {
		checker := New(rules(), nil)
		for _, s := range c.steps {
			s(checker)
		}
		if c.rule == RuleAnswer || c.rule == "" {
			checker.Close(4 * time.Second)
		}
		violations, n := checker.Violations()
		switch {
		case c.rule == "" && n > 0:
			t.Errorf("%s: violation %+v, want none", c.name, violations[0])
		case c.rule != "" && (n == 0 || violations[0].Rule != c.rule):
			t.Errorf("%s: %d violations %+v, want the first of rule %s", c.name, n, violations, c.rule)
		}
	}
}

// With AcceptsUnknown, a request that no emulated client sent violates no rule. The checker keeps only the requests of the
// last Retention.
func TestUnknownRequestsAndRetention(t *testing.T) {
	r := rules()
	r.AcceptsUnknown = true
	forgotten := 0
	c := New(r, func(*Request) { forgotten++ })
	if c.Arrive(0, Arrival{ID: "v", Backend: "x"}) {
		t.Error("Arrive reports a request that no client sent as known")
	}
	for i := range 1000 {
		at := time.Duration(i) * time.Second
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		c.Open(at, &Request{ID: id, Agent: 1, Class: 0, SentAt: at, Timeout: time.Second})
		c.Finish(at+ms, id, Served)
	}
	if len(c.requests) > 20 || forgotten < 980 {
		t.Errorf("%d requests kept, want at most 20; %d dropped, want at least 980", len(c.requests), forgotten)
	}
	if _, n := c.Violations(); n != 0 {
		t.Errorf("%d violations, want none", n)
	}
}

// A tally returns the totals, the worst ten seconds, the attempts and the percentiles of a run. The totals leave out the
// warm-up.
func TestTallyCountsService(t *testing.T) {
	tally := NewTally(2 * time.Second)
	for s := range 20 {
		for i := range 10 {
			o := Outcome{IntendedAt: time.Duration(s)*time.Second + time.Duration(i)*ms, Weight: 1, Answer: Served, InObjective: true, ClientAttempts: 1}
			o.FinishedAt = o.IntendedAt + 100*ms
			if s >= 8 && s < 13 || s < 2 {
				o.Answer, o.InObjective = Rejected, false
			}
			tally.CountOutcome(o)
			tally.CountAttempt(o.IntendedAt, i%2 == 0)
		}
	}
	if total := tally.Total(); total.Offered != 180 || total.WeightInObjective != 130 || total.Rejected != 50 {
		t.Errorf("total %+v, want 180 offered, 130 within the objective, 50 rejected", total)
	}
	if share, from := tally.Worst(10); share != 0.5 || from != 3 {
		t.Errorf("worst 10 s: share %v from second %d, want 0.5 from 3", share, from)
	}
	if tally.Attempts != 180 || tally.CrossZone != 90 {
		t.Errorf("%d attempts, %d of them to another zone, want 180 and 90", tally.Attempts, tally.CrossZone)
	}
	if p := tally.Snapshot(3); p.P50 != 100 || p.P99 != 100 {
		t.Errorf("p50 %v ms, p99 %v ms, want 100 for both", p.P50, p.P99)
	}
}

// AvoidedAfter returns the time after which the share of first attempts at unreachable backends stays low until the end of
// the span.
func TestAvoidedAfter(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		unreachable func(at time.Duration) bool
		after       time.Duration
		ok          bool
	}{
		"none unreachable":         {func(at time.Duration) bool { return false }, 0, true},
		"unreachable at the start": {func(at time.Duration) bool { return at < 2300*time.Millisecond }, 1300 * time.Millisecond, true},
		"unreachable a second time": {func(at time.Duration) bool {
			return at < 2*second || at > 4500*time.Millisecond && at < 4700*time.Millisecond
		}, 3700 * time.Millisecond, true},
		"all unreachable":                     {func(at time.Duration) bool { return true }, 0, false},
		"single attempts are below the share": {func(at time.Duration) bool { return at == 4*second }, 0, true},
	} {
		tally := NewTally(0)
		for at := time.Duration(0); at < 6*second; at += 10 * time.Millisecond {
			tally.CountFirstAttempt(at, c.unreachable(at))
		}
		after, ok := tally.AvoidedAfter(Span{second, 5 * second}, 0.01)
		if after != c.after || ok != c.ok {
			t.Errorf("%s: avoided after %v, reported %v, want %v, %v", name, after, ok, c.after, c.ok)
		}
	}
	if _, ok := NewTally(0).AvoidedAfter(Span{second, 2 * second}, 0.01); ok {
		t.Error("AvoidedAfter reports a time although there was no first attempt")
	}
}
