// Package check decides from outside whether agents keep the rules: the caller reports what clients sent, what reached
// backends and how requests were answered, and a Checker returns the violations. A Tally counts the service that clients got.
//
// The package has no clock: the caller passes the time, as a span since the start of the run. A Checker keeps requests until
// Retention after their end, the endpoint states of the current agent processes, and for the complete run the excused spans
// and the answers ClosedNew. No type of the package is safe for concurrent use.
package check

import (
	"fmt"
	"slices"
	"time"
)

// Violation is one violation of a rule, as the report contains it.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   int           `json:"agent"`
	Text    string        `json:"text"`
}

// Checker tracks each request from Open until Retention after Finish, and records the violations of the rules.
type Checker struct {
	rules          Rules
	requests       map[string]*Request
	finished       []*Request
	endpoints      map[endpointKey]endpointState
	excuses        map[int][]interval
	violations     []Violation
	firstViolator  *Request // with its complete history
	onForgotten    func(*Request)
	accepted       int
	closedNew      []Violation // ends of requests with the answer ClosedNew; Close decides whether they are violations
	violationCount int
}

// Retention is the time for which a Checker keeps a finished request. Retention exceeds the longest deduplication window, so
// that the checker still recognises a late duplicate.
const Retention = 15 * time.Second

// maxViolations bounds the violations that a Checker keeps until Close; further ones are only counted. Close can add as
// many again, for the answers ClosedNew.
const maxViolations = 100

// New returns a checker of the given rules. The checker calls onForgotten, if it is not nil, with each request that it drops.
func New(r Rules, onForgotten func(*Request)) *Checker {
	return &Checker{rules: r, requests: map[string]*Request{}, endpoints: map[endpointKey]endpointState{}, excuses: map[int][]interval{}, onForgotten: onForgotten}
}

// violate records a violation. If r is not nil, violate also adds the violation to the history of the request.
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

// Violations returns the violations that are kept, and the number of all violations.
func (c *Checker) Violations() ([]Violation, int) { return c.violations, c.violationCount }

// FirstViolator returns the first request that violated a rule, or nil.
func (c *Checker) FirstViolator() *Request { return c.firstViolator }

// Record adds an event to the history of a request.
func (c *Checker) Record(at time.Duration, id, who, what string) {
	if r := c.requests[id]; r != nil {
		r.record(at, who, what)
	}
}

// Open registers a request. The caller calls Open before the client writes the first byte.
func (c *Checker) Open(now time.Duration, r *Request) {
	c.forgetOld(now)
	c.requests[r.ID] = r
	r.record(now, fmt.Sprintf("client %d", r.Agent), "sends "+c.rules.Classes[r.Class].Name)
}

// Accept reports that the client wrote the last byte of a request to a connection that the agent has accepted. The agent must
// give an accepted request a final answer.
func (c *Checker) Accept(now time.Duration, id string) {
	if r := c.requests[id]; r != nil {
		r.SentAt, r.accepted = now, true
		c.accepted++
	}
}

// Finish reports how a request ended for its client, and checks this end against the rules.
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
		if possiblyExecuted := r.firstPossiblyExecuted(); possiblyExecuted != nil {
			c.violate(RuleDuplicate, now, r.Agent, r, "refused, which says that another try is harmless, though the attempt at %s may have run", possiblyExecuted.backend)
		}
	}
}

// Overloaded reports that a backend in slow start crashed by overload. informed is the share of the work, from 0 to 1, sent by
// agents to which discovery had delivered the backend's start. The crash violates the rule if informed is at least
// minInformedShare: an agent without this start cannot limit the work that it sends.
func (c *Checker) Overloaded(now time.Duration, backend string, informed float64) {
	const minInformedShare = 2. / 3
	if informed >= minInformedShare {
		c.violate(RuleSlowStart, now, -1, nil, "%s was pushed over while cold, %.0f%% of it by agents that knew of its start", backend, 100*informed)
	}
}

// forgetOld drops requests that ended more than Retention ago.
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

// Close ends the checks of a run: it finishes open requests as Unanswered, and drops all requests. Accepted requests with the
// answer ClosedNew violate the rule on answers if their share of the accepted requests is above MaxClosedNewShare.
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
