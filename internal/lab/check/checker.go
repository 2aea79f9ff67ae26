// Package check holds what an agent must never break, seen from outside: it is told what clients sent, what
// reached backends and what came back, and finds violations.
//
// It is pure: it is told the time and owns no clock. Times are spans since the lab's start. Its memory is
// bounded by the requests of the last Keep, and by what the lists hold.
package check

import (
	"fmt"
	"slices"
	"time"
)

// Violation is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   int           `json:"agent"`
	Text    string        `json:"text"`
}

// Checker finds violations. Calls must not run at the same time.
type Checker struct {
	rules          Rules
	requests       map[string]*Request
	finished       []*Request
	notices        map[noticeKey]notice
	excuses        map[int][]interval
	violations     []Violation
	firstViolator  *Request // the first offender, kept whole
	onForgotten    func(*Request)
	accepted       int
	closedNew      []Violation
	violationCount int
}

// Keep is how long a finished request is remembered: longer than the longest window.
const Retention = 15 * time.Second

// maxViolations is how many violations are kept whole; the rest is counted.
const maxViolations = 100

// New returns a checker. record, if not nil, gets each request once nothing more is expected of it.
func New(r Rules, record func(*Request)) *Checker {
	return &Checker{rules: r, requests: map[string]*Request{}, notices: map[noticeKey]notice{}, excuses: map[int][]interval{}, onForgotten: record}
}

func (c *Checker) violate(rule string, at time.Duration, agent int, r *Request, format string, args ...any) {
	violation := Violation{Rule: rule, At: at, Agent: agent, Text: fmt.Sprintf(format, args...)}
	c.violationCount++
	if r != nil {
		violation.Request = r.ID
		r.record(at, "checker", "BROKEN "+rule+": "+violation.Text)
		if c.firstViolator == nil {
			c.firstViolator = r
		}
	}
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, violation)
	}
}

// Violations returns the violations so far, the first hundred of them, and how many there are.
func (c *Checker) Violations() ([]Violation, int) { return c.violations, c.violationCount }

// FirstViolator is the first request that broke a rule; nil: none.
func (c *Checker) FirstViolator() *Request { return c.firstViolator }

// Record adds a line to a request's history.
func (c *Checker) Record(at time.Duration, id, who, what string) {
	if r := c.requests[id]; r != nil {
		r.record(at, who, what)
	}
}

// Open makes a request known, before its first byte is written.
func (c *Checker) Open(now time.Duration, r *Request) {
	c.forgetOld(now)
	c.requests[r.ID] = r
	r.record(now, fmt.Sprintf("client %d", r.Agent), "sends "+c.rules.Classes[r.Class].Name)
}

// Accept says that a request's last byte was written to a connection that the agent's machine accepted.
func (c *Checker) Accept(now time.Duration, id string) {
	if r := c.requests[id]; r != nil {
		r.SentAt, r.accepted = now, true
		c.accepted++
	}
}

// Finish says how a request ended for its client, and judges that.
func (c *Checker) Finish(now time.Duration, id string, a Answer) {
	r := c.requests[id]
	if r == nil || r.finished {
		return
	}
	r.finished, r.finishedAt = true, now
	c.finished = append(c.finished, r)
	r.record(now, fmt.Sprintf("client %d", r.Agent), a.String())
	deadline := r.SentAt + r.Timeout + c.rules.AnswerGrace + c.rules.Slack
	excused := c.excusedDuring(r.Agent, r.SentAt, now)
	switch a {
	case Served, Rejected, Failed:
		if now > deadline && !excused {
			c.violate(RuleAnswer, now, r.Agent, r, "%s %v after its time", a, (now - r.SentAt - r.Timeout).Round(time.Millisecond))
		}
	case Closed, Unanswered:
		if r.accepted && !excused {
			c.violate(RuleAnswer, now, r.Agent, r, "%s", a)
		}
	case ClosedNew:
		if r.accepted && !excused {
			c.closedNew = append(c.closedNew, Violation{Rule: RuleAnswer, At: now, Request: r.ID, Agent: r.Agent, Text: a.String()})
		}
	case Foreign:
		c.violate(RuleAnswer, now, r.Agent, r, "%s", a)
	}
	if a != Rejected {
		return
	}
	if class := c.rules.Classes[r.Class]; class.Idempotency != Idempotent {
		if risk := r.firstPossiblyExecuted(); risk != nil {
			c.violate(RuleDuplicate, now, r.Agent, r, "refused, which says that another try is harmless, though the attempt at %s may have run", risk.backend)
		}
	}
}

// Overloaded says that a cold machine was pushed over; informed is the share of the work that came from agents
// that knew of its start.
func (c *Checker) Overloaded(now time.Duration, backend string, informed float64) {
	const minInformedShare = 2. / 3
	if informed >= minInformedShare {
		c.violate(RuleSlowStart, now, -1, nil, "%s was pushed over while cold, %.0f%% of it by agents that knew of its start", backend, 100*informed)
	}
}

// forgetOld drops requests that ended long ago.
func (c *Checker) forgetOld(now time.Duration) {
	for len(c.finished) > 0 && c.finished[0].finishedAt+Retention < now {
		c.drop(c.finished[0])
		c.finished[0] = nil
		c.finished = c.finished[1:]
	}
}

func (c *Checker) drop(r *Request) {
	delete(c.requests, r.ID)
	if c.onForgotten != nil {
		c.onForgotten(r)
	}
}

// Close judges what is left at the end of a run.
func (c *Checker) Close(now time.Duration) {
	if share := float64(len(c.closedNew)) / max(1, float64(c.accepted)); share > c.rules.MaxClosedNewShare {
		c.violationCount += len(c.closedNew)
		c.violations = append(c.violations, c.closedNew[:min(len(c.closedNew), maxViolations)]...)
		if c.firstViolator == nil {
			c.firstViolator = c.requests[c.closedNew[0].Request]
		}
	}
	ids := make([]string, 0, len(c.requests))
	for id, r := range c.requests {
		if !r.finished {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.Finish(now, id, Unanswered)
	}
	for _, r := range c.finished {
		c.drop(r)
	}
	c.finished = nil
}
