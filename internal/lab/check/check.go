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

// Effect says what repeating a request does.
type Effect uint8

const (
	Safe  Effect = iota // may be repeated and refused at will
	Keyed               // the backends of one pod drop a repeat within the window
	Once                // must never run twice
)

// Class is a class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for Keyed
}

// Rules are the figures of the rules.
type Rules struct {
	Classes    []Class
	DrainGrace time.Duration // from being told until nothing new may be sent
	Answer     time.Duration // past its time, after which an answer counts as none
	Slack      time.Duration // what sockets may add to every bound
	Visitors   bool          // requests that the lab's clients did not send are served, and not judged
	FewCut     float64       // share of requests on new connections that may be closed without an answer
}

// Rule names, as in the report.
const (
	RuleAnswer    = "answer"    // one final answer for each request taken, in time
	RuleDuplicate = "duplicate" // no effect twice
	RuleDrain     = "drain"     // nothing new to a backend told to drain or gone
	RuleCold      = "cold"      // no cold backend pushed over
	RuleUnsent    = "unsent"    // nothing reaches a backend that no client sent
	RuleGone      = "gone"      // no attempt for a client that has its answer or has gone
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
	ID      string        `json:"id"`
	First   string        `json:"first"` // the id of the client's first try
	Try     int           `json:"try"`
	Agent   int           `json:"agent"`
	Class   int           `json:"class"`
	Sent    time.Duration `json:"sent_ns"`    // its last byte; its time runs from then
	GiveUp  time.Duration `json:"give_up_ns"` // after Sent
	Print   uint64        `json:"-"`          // of method, path, key and body
	History []Event       `json:"history"`

	attempts []*attempt
	taken    bool // its last byte was written
	over     bool
	ended    time.Duration
}

type attempt struct {
	backend string
	cell    int
	at      time.Duration
	never   bool // answered as never run
}

// Answer is how a try ended for its client.
type Answer uint8

const (
	Served      Answer = iota
	Refused            // 429 or 503
	Failed             // any other answer
	Closed             // the agent closed the connection without a whole answer
	ClosedNew          // the same on a connection's first request, with not a byte sent
	Unanswered         // nothing came
	Unreachable        // the request was never taken: no connection came up
	Left               // the client went away
	Foreign            // served with something that no backend made for it
)

func (a Answer) String() string {
	return [...]string{"served", "refused", "failed", "closed without a whole answer",
		"closed without a byte on a new connection", "no answer", "agent unreachable", "the client left",
		"served with what no backend made"}[a]
}

type toldKey struct {
	agent   int
	backend string
}

type told struct {
	away    time.Duration // told to drain or gone, since; 0: not
	started time.Duration // the latest start that it was told of
}

type span struct{ from, to time.Duration }

// Checker finds violations. Calls must not run at the same time.
type Checker struct {
	rules     Rules
	requests  map[string]*Request
	ended     []*Request
	told      map[toldKey]told
	excused   map[int][]span
	broken    []Violation
	first     *Request // the first offender, kept whole
	record    func(*Request)
	taken     int
	closedNew []Violation
	count     int
}

// Keep is how long a finished request is remembered: longer than the longest window.
const Keep = 15 * time.Second

// maxBroken is how many violations are kept whole; the rest is counted.
const maxBroken = 100

// New returns a checker. record, if not nil, gets each request once nothing more is expected of it.
func New(r Rules, record func(*Request)) *Checker {
	return &Checker{rules: r, requests: map[string]*Request{}, told: map[toldKey]told{}, excused: map[int][]span{}, record: record}
}

func (c *Checker) breaks(rule string, at time.Duration, agent int, r *Request, format string, args ...any) {
	v := Violation{Rule: rule, At: at, Agent: agent, Text: fmt.Sprintf(format, args...)}
	c.count++
	if r != nil {
		v.Request = r.ID
		r.note(at, "checker", "BROKEN "+rule+": "+v.Text)
		if c.first == nil {
			c.first = r
		}
	}
	if len(c.broken) < maxBroken {
		c.broken = append(c.broken, v)
	}
}

func (r *Request) note(at time.Duration, who, what string) {
	r.History = append(r.History, Event{at, who, what})
}

// Broken returns the violations so far, the first hundred of them, and how many there are.
func (c *Checker) Broken() ([]Violation, int) { return c.broken, c.count }

// First is the first request that broke a rule; nil: none.
func (c *Checker) First() *Request { return c.first }

// Note adds a line to a request's history.
func (c *Checker) Note(at time.Duration, id, who, what string) {
	if r := c.requests[id]; r != nil {
		r.note(at, who, what)
	}
}

// Open makes a request known, before its first byte is written.
func (c *Checker) Open(now time.Duration, r *Request) {
	c.forget(now)
	c.requests[r.ID] = r
	r.note(now, fmt.Sprintf("client %d", r.Agent), "sends "+c.rules.Classes[r.Class].Name)
}

// Take says that a request's last byte was written to a connection that the agent's machine accepted.
func (c *Checker) Take(now time.Duration, id string) {
	if r := c.requests[id]; r != nil {
		r.Sent, r.taken = now, true
		c.taken++
	}
}

// Excuse says that an agent could not do its duty in a span: it was killed, stopped, or cut off from
// its client.
func (c *Checker) Excuse(agent int, from, to time.Duration) {
	c.excused[agent] = append(c.excused[agent], span{from, to})
}

// Down says that an agent's process has been ended or is being started, until Running.
func (c *Checker) Down(agent int, from time.Duration) { c.Excuse(agent, from, forever) }

// Running ends Down.
func (c *Checker) Running(agent int, at time.Duration) {
	for i, s := range c.excused[agent] {
		if s.to == forever {
			c.excused[agent][i].to = at
		}
	}
}

const forever = time.Duration(1<<63 - 1)

func (c *Checker) excusedIn(agent int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.excused[agent], func(s span) bool { return s.from <= to && from <= s.to })
}

// Tell says that discovery has told an agent of a backend: that it drains or is gone, or that it is ready
// and started then.
func (c *Checker) Tell(now time.Duration, agent int, backend string, away bool, started time.Duration) {
	k := toldKey{agent, backend}
	t := c.told[k]
	switch {
	case !away:
		t.away = 0
	case t.away == 0:
		t.away = max(now, 1)
	}
	t.started = max(t.started, started)
	c.told[k] = t
}

// Forget drops what an agent was told: its process is another one.
func (c *Checker) Forget(agent int) {
	for k := range c.told {
		if k.agent == agent {
			delete(c.told, k)
		}
	}
}

// Knows reports whether an agent was told of a start of a backend.
func (c *Checker) Knows(agent int, backend string, started time.Duration) bool {
	return started >= 0 && c.told[toldKey{agent, backend}].started >= started
}

// Arrival is an attempt that has reached a backend whole.
type Arrival struct {
	Attempt uint64 // the lab's number
	ID      string
	Agent   int
	Backend string
	Cell    int
	Print   uint64
	Came    time.Duration // when it was sent: the network may have held it up since
	Stated  time.Duration // how long the agent will wait, as it says; below 0: it doesn't say
}

// Slack that the rules leave beside the sockets'.
const (
	goneSlack     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
)

// Arrive checks an attempt that reaches its backend now, and reports whether that is to take it. A visitor's has no record.
func (c *Checker) Arrive(now time.Duration, a Arrival) (known bool) {
	r := c.requests[a.ID]
	if t := c.told[toldKey{a.Agent, a.Backend}]; t.away > 0 && a.Came > c.until(a.Agent, t.away) {
		c.breaks(RuleDrain, now, a.Agent, r, "agent %d sent to %s %v after it was told that this drains or is gone",
			a.Agent, a.Backend, (a.Came - t.away).Round(time.Millisecond))
	}
	if r == nil {
		if !c.rules.Visitors {
			c.breaks(RuleUnsent, now, a.Agent, nil, "agent %d sent %s a request %q that no client sent", a.Agent, a.Backend, a.ID)
		}
		return false
	}
	r.note(now, a.Backend, fmt.Sprintf("attempt %d arrives from agent %d", len(r.attempts), a.Agent))
	if a.Print != r.Print {
		c.breaks(RuleUnsent, now, a.Agent, r, "the request reached %s changed", a.Backend)
	}
	if a.Agent != r.Agent {
		c.breaks(RuleUnsent, now, a.Agent, r, "agent %d sent on a request of agent %d", a.Agent, r.Agent)
	}
	excused := c.excusedIn(r.Agent, r.Sent, a.Came)
	if r.over && a.Came > r.ended+goneSlack+c.rules.Slack && !excused {
		c.breaks(RuleGone, now, a.Agent, r, "sent to %s %v after the client's end", a.Backend, (a.Came - r.ended).Round(time.Millisecond))
	}
	if left := r.Sent + r.GiveUp - a.Came; r.taken && a.Stated > 0 && a.Stated > left+deadlineSlack+c.rules.Slack && !excused {
		c.breaks(RuleDeadline, now, a.Agent, r, "%s is told of %v, the client has %v left", a.Backend, a.Stated, left)
	}
	class := c.rules.Classes[r.Class]
	if before := r.risk(); before != nil {
		switch {
		case class.Effect == Once:
			c.breaks(RuleDuplicate, now, a.Agent, r, "sent to %s though the attempt at %s may have run", a.Backend, before.backend)
		case class.Effect == Keyed && before.cell != a.Cell:
			c.breaks(RuleDuplicate, now, a.Agent, r, "sent to %s in pod %d though the attempt at %s in pod %d may have run",
				a.Backend, a.Cell, before.backend, before.cell)
		case class.Effect == Keyed && now-before.at > class.Window+c.rules.Slack:
			c.breaks(RuleDuplicate, now, a.Agent, r, "sent to %s %v after the attempt at %s, past the window", a.Backend, now-before.at, before.backend)
		}
	}
	r.attempts = append(r.attempts, &attempt{backend: a.Backend, cell: a.Cell, at: now})
	return true
}

// until is when the grace ends of an agent that was told something. The time in which it could not act does
// not count.
func (c *Checker) until(agent int, told time.Duration) time.Duration {
	grace := c.rules.DrainGrace + c.rules.Slack
	end := told + grace
	for _, s := range c.excused[agent] { // in order of their begin
		if s.from <= end && s.to >= told {
			end = max(end, min(s.to, forever-grace)+grace)
		}
	}
	return end
}

// risk is the first attempt that may have run.
func (r *Request) risk() *attempt {
	for _, a := range r.attempts {
		if !a.never {
			return a
		}
	}
	return nil
}

// Reply says what a backend answers: never tells that the attempt is answered as one that never ran.
func (c *Checker) Reply(now time.Duration, id, backend, what string, never bool) {
	r := c.requests[id]
	if r == nil {
		return
	}
	r.note(now, backend, what)
	for _, a := range r.attempts {
		if never && a.backend == backend && !a.never {
			a.never = true
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

// End says how a request ended for its client, and judges that.
func (c *Checker) End(now time.Duration, id string, a Answer) {
	r := c.requests[id]
	if r == nil || r.over {
		return
	}
	r.over, r.ended = true, now
	c.ended = append(c.ended, r)
	r.note(now, fmt.Sprintf("client %d", r.Agent), a.String())
	due := r.Sent + r.GiveUp + c.rules.Answer + c.rules.Slack
	excused := c.excusedIn(r.Agent, r.Sent, now)
	switch a {
	case Served, Refused, Failed:
		if now > due && !excused {
			c.breaks(RuleAnswer, now, r.Agent, r, "%s %v after its time", a, (now - r.Sent - r.GiveUp).Round(time.Millisecond))
		}
	case Closed, Unanswered:
		if r.taken && !excused {
			c.breaks(RuleAnswer, now, r.Agent, r, "%s", a)
		}
	case ClosedNew:
		if r.taken && !excused {
			c.closedNew = append(c.closedNew, Violation{Rule: RuleAnswer, At: now, Request: r.ID, Agent: r.Agent, Text: a.String()})
		}
	case Foreign:
		c.breaks(RuleAnswer, now, r.Agent, r, "%s", a)
	}
	if a != Refused {
		return
	}
	if class := c.rules.Classes[r.Class]; class.Effect != Safe {
		if risk := r.risk(); risk != nil {
			c.breaks(RuleDuplicate, now, r.Agent, r, "refused, which says that another try is harmless, though the attempt at %s may have run", risk.backend)
		}
	}
}

// Fell says that a cold machine was pushed over; informed is the share of the work that came from agents
// that knew of its start.
func (c *Checker) Fell(now time.Duration, backend string, informed float64) {
	const guilty = 2. / 3
	if informed >= guilty {
		c.breaks(RuleCold, now, -1, nil, "%s was pushed over while cold, %.0f%% of it by agents that knew of its start", backend, 100*informed)
	}
}

// forget drops requests that ended long ago.
func (c *Checker) forget(now time.Duration) {
	for len(c.ended) > 0 && c.ended[0].ended+Keep < now {
		c.drop(c.ended[0])
		c.ended[0] = nil
		c.ended = c.ended[1:]
	}
}

func (c *Checker) drop(r *Request) {
	delete(c.requests, r.ID)
	if c.record != nil {
		c.record(r)
	}
}

// Finish judges what is left at the end of a run.
func (c *Checker) Finish(now time.Duration) {
	if share := float64(len(c.closedNew)) / max(1, float64(c.taken)); share > c.rules.FewCut {
		c.count += len(c.closedNew)
		c.broken = append(c.broken, c.closedNew[:min(len(c.closedNew), maxBroken)]...)
		if c.first == nil {
			c.first = c.requests[c.closedNew[0].Request]
		}
	}
	ids := make([]string, 0, len(c.requests))
	for id, r := range c.requests {
		if !r.over {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		c.End(now, id, Unanswered)
	}
	for _, r := range c.ended {
		c.drop(r)
	}
	c.ended = nil
}
