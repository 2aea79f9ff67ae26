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

// Idempotency says what repeating a request does.
type Idempotency uint8

const (
	Idempotent     Idempotency = iota // may be repeated and refused at will
	IdempotencyKey                    // the backends of one pod drop a repeat within the window
	NonIdempotent                     // must never run twice
)

// Class is a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupWindow time.Duration // for Keyed
}

// Rules are the figures of the rules.
type Rules struct {
	Classes           []Class
	DrainGrace        time.Duration // from being told until nothing new may be sent
	AnswerGrace       time.Duration // past its time, after which an answer counts as none
	Slack             time.Duration // what sockets may add to every bound
	AcceptsUnknown    bool          // requests that the lab's clients did not send are served, and not judged
	MaxClosedNewShare float64       // share of requests on new connections that may be closed without an answer
}

// Rule names, as in the report.
const (
	RuleAnswer    = "answer"    // one final answer for each request taken, in time
	RuleDuplicate = "duplicate" // no effect twice
	RuleDrain     = "drain"     // nothing new to a backend told to drain or gone
	RuleSlowStart = "cold"      // no cold backend pushed over
	RuleUnknown   = "unsent"    // nothing reaches a backend that no client sent
	RuleCancelled = "gone"      // no attempt for a client that has its answer or has gone
	RuleDeadline  = "deadline"  // a backend is told of no more time than the client has left
)

// Violation is one broken rule.
type Violation struct {
	Rule    string        `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Agent   int           `json:"agent"`
	Text    string        `json:"text"`
}

// Event is one line of a request's history.
type Event struct {
	At   time.Duration `json:"at_ns"`
	Who  string        `json:"who"`
	What string        `json:"what"`
}

// Request is one try of a client, with everything that happened to it.
type Request struct {
	ID          string        `json:"id"`
	FirstID     string        `json:"first"` // the id of the client's first try
	Attempt     int           `json:"try"`
	Agent       int           `json:"agent"`
	Class       int           `json:"class"`
	SentAt      time.Duration `json:"sent_ns"`    // its last byte; its time runs from then
	Timeout     time.Duration `json:"give_up_ns"` // after Sent
	Fingerprint uint64        `json:"-"`          // of method, path, key and body
	History     []Event       `json:"history"`

	attempts   []*attempt
	accepted   bool // its last byte was written
	finished   bool
	finishedAt time.Duration
}

type attempt struct {
	backend   string
	cell      int
	arrivedAt time.Duration
	neverRan  bool // answered as never run
}

// Answer is how a try ended for its client.
type Answer uint8

const (
	Served       Answer = iota
	Rejected            // 429 or 503
	Failed              // any other answer
	Closed              // the agent closed the connection without a whole answer
	ClosedNew           // the same on a connection's first request, with not a byte sent
	Unanswered          // nothing came
	Unreachable         // the request was never taken: no connection came up
	Disconnected        // the client went away
	Foreign             // served with something that no backend made for it
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "closed without a whole answer",
		"closed without a byte on a new connection", "no answer", "agent unreachable", "the client left",
		"served with what no backend made"}[a]
}

type noticeKey struct {
	agent   int
	backend string
}

type notice struct {
	unavailableAt time.Duration // told to drain or gone, since; 0: not
	startedAt     time.Duration // the latest start that it was told of
}

type interval struct{ from, to time.Duration }

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

func (r *Request) record(at time.Duration, who, what string) {
	r.History = append(r.History, Event{at, who, what})
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

// Excuse says that an agent could not do its duty in a span: it was killed, stopped, or cut off from
// its client.
func (c *Checker) Excuse(agent int, from, to time.Duration) {
	c.excuses[agent] = append(c.excuses[agent], interval{from, to})
}

// Down says that an agent's process has been ended or is being started, until Running.
func (c *Checker) Down(agent int, from time.Duration) { c.Excuse(agent, from, forever) }

// Running ends Down.
func (c *Checker) Running(agent int, at time.Duration) {
	for i, s := range c.excuses[agent] {
		if s.to == forever {
			c.excuses[agent][i].to = at
		}
	}
}

const forever = time.Duration(1<<63 - 1)

func (c *Checker) excusedDuring(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.excuses[agent], func(s interval) bool { return s.from <= to && from <= s.to })
}

// Notify says that discovery has told an agent of a backend: that it drains or is gone, or that it is ready
// and started then.
func (c *Checker) Notify(now time.Duration, agent int, backend string, unavailable bool, started time.Duration) {
	key := noticeKey{agent, backend}
	current := c.notices[key]
	switch {
	case !unavailable:
		current.unavailableAt = 0
	case current.unavailableAt == 0:
		current.unavailableAt = max(now, 1)
	}
	current.startedAt = max(current.startedAt, started)
	c.notices[key] = current
}

// ForgetNotices drops what an agent was told: its process is another one.
func (c *Checker) ForgetNotices(agent int) {
	for k := range c.notices {
		if k.agent == agent {
			delete(c.notices, k)
		}
	}
}

// KnowsStart reports whether an agent was told of a start of a backend.
func (c *Checker) KnowsStart(agent int, backend string, started time.Duration) bool {
	return started >= 0 && c.notices[noticeKey{agent, backend}].startedAt >= started
}

// Arrival is an attempt that has reached a backend whole.
type Arrival struct {
	Attempt       uint64 // the lab's number
	ID            string
	Agent         int
	Backend       string
	Cell          int
	Fingerprint   uint64
	SentAt        time.Duration // when it was sent: the network may have held it up since
	StatedTimeout time.Duration // how long the agent will wait, as it says; below 0: it doesn't say
}

// Slack that the rules leave beside the sockets'.
const (
	cancelSlack   = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
)

// Arrive checks an attempt that reaches its backend now, and reports whether that is to take it. A visitor's has no record.
func (c *Checker) Arrive(now time.Duration, arrival Arrival) (known bool) {
	r := c.requests[arrival.ID]
	if current := c.notices[noticeKey{arrival.Agent, arrival.Backend}]; current.unavailableAt > 0 && arrival.SentAt > c.graceEnd(arrival.Agent, current.unavailableAt) {
		c.violate(RuleDrain, now, arrival.Agent, r, "agent %d sent to %s %v after it was told that this drains or is gone",
			arrival.Agent, arrival.Backend, (arrival.SentAt - current.unavailableAt).Round(time.Millisecond))
	}
	if r == nil {
		if !c.rules.AcceptsUnknown {
			c.violate(RuleUnknown, now, arrival.Agent, nil, "agent %d sent %s a request %q that no client sent", arrival.Agent, arrival.Backend, arrival.ID)
		}
		return false
	}
	r.record(now, arrival.Backend, fmt.Sprintf("attempt %d arrives from agent %d", len(r.attempts), arrival.Agent))
	if arrival.Fingerprint != r.Fingerprint {
		c.violate(RuleUnknown, now, arrival.Agent, r, "the request reached %s changed", arrival.Backend)
	}
	if arrival.Agent != r.Agent {
		c.violate(RuleUnknown, now, arrival.Agent, r, "agent %d sent on a request of agent %d", arrival.Agent, r.Agent)
	}
	excused := c.excusedDuring(r.Agent, r.SentAt, arrival.SentAt)
	if r.finished && arrival.SentAt > r.finishedAt+cancelSlack+c.rules.Slack && !excused {
		c.violate(RuleCancelled, now, arrival.Agent, r, "sent to %s %v after the client's end", arrival.Backend, (arrival.SentAt - r.finishedAt).Round(time.Millisecond))
	}
	if remaining := r.SentAt + r.Timeout - arrival.SentAt; r.accepted && arrival.StatedTimeout > 0 && arrival.StatedTimeout > remaining+deadlineSlack+c.rules.Slack && !excused {
		c.violate(RuleDeadline, now, arrival.Agent, r, "%s is told of %v, the client has %v left", arrival.Backend, arrival.StatedTimeout, remaining)
	}
	class := c.rules.Classes[r.Class]
	if before := r.firstPossiblyExecuted(); before != nil {
		switch {
		case class.Idempotency == NonIdempotent:
			c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s though the attempt at %s may have run", arrival.Backend, before.backend)
		case class.Idempotency == IdempotencyKey && before.cell != arrival.Cell:
			c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s in pod %d though the attempt at %s in pod %d may have run",
				arrival.Backend, arrival.Cell, before.backend, before.cell)
		case class.Idempotency == IdempotencyKey && now-before.arrivedAt > class.DedupWindow+c.rules.Slack:
			c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s %v after the attempt at %s, past the window", arrival.Backend, now-before.arrivedAt, before.backend)
		}
	}
	r.attempts = append(r.attempts, &attempt{backend: arrival.Backend, cell: arrival.Cell, arrivedAt: now})
	return true
}

// graceEnd is when the grace ends of an agent that was told something. The time in which it could not act does
// not count.
func (c *Checker) graceEnd(agent int, notifiedAt time.Duration) time.Duration {
	grace := c.rules.DrainGrace + c.rules.Slack
	end := notifiedAt + grace
	for _, s := range c.excuses[agent] { // in order of their begin
		if s.from <= end && s.to >= notifiedAt {
			end = max(end, min(s.to, forever-grace)+grace)
		}
	}
	return end
}

// firstPossiblyExecuted is the first attempt that may have run.
func (r *Request) firstPossiblyExecuted() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// RecordReply says what a backend answers: never tells that the attempt is answered as one that never ran.
func (c *Checker) RecordReply(now time.Duration, id, backend, what string, neverRan bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	r.record(now, backend, what)
	for _, a := range r.attempts {
		if neverRan && a.backend == backend && !a.neverRan {
			a.neverRan = true
			return
		}
	}
}

// Attempts is how many attempts of a request have reached backends.
func (c *Checker) Attempts(id string) int {
	if r := c.requests[id]; r != nil {
		return len(r.attempts)
	}
	return 0
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
