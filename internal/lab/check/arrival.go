package check

// Checks of the attempts that reach backends, and the record of the backends' responses.

import (
	"fmt"
	"time"
)

// Arrival is an attempt that has reached a backend in full.
type Arrival struct {
	Attempt       uint64 // the attempt's number in the lab, unique in a run
	ID            string // the ID of the request
	Agent         int
	Backend       string
	Cell          int
	Fingerprint   uint64        // hash of method, path, key and body
	SentAt        time.Duration // when the agent sent the attempt; the emulated network may have delayed it since
	StatedTimeout time.Duration // the time-out that the attempt states to the backend; 0 or below: none
}

// Additional slack of individual rules, on top of Rules.Slack.
const (
	cancelSlack   = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
)

// Arrive checks an attempt that reaches its backend at the time now. It reports whether the checker has the request of the
// attempt: an emulated client has sent the request, and the request has not been dropped since. Arrive does not record
// attempts of other requests.
func (c *Checker) Arrive(now time.Duration, arrival Arrival) (known bool) {
	r := c.requests[arrival.ID]
	c.checkDrain(now, r, arrival)
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
	c.checkClientTime(now, r, arrival)
	c.checkDuplicate(now, r, arrival)
	r.attempts = append(r.attempts, &attempt{backend: arrival.Backend, cell: arrival.Cell, arrivedAt: now})
	return true
}

// checkDrain records a violation if discovery had notified the agent that the backend drains or is removed, and the agent
// sent the attempt after the end of the grace. r is nil if the checker does not have the request.
func (c *Checker) checkDrain(now time.Duration, r *Request, arrival Arrival) {
	unavailableAt := c.endpoints[endpointKey{arrival.Agent, arrival.Backend}].unavailableAt
	if unavailableAt > 0 && arrival.SentAt > c.graceEnd(arrival.Agent, unavailableAt) {
		c.violate(RuleDrain, now, arrival.Agent, r, "agent %d sent to %s %v after it was told that this drains or is gone",
			arrival.Agent, arrival.Backend, (arrival.SentAt - unavailableAt).Round(time.Millisecond))
	}
}

// checkClientTime records a violation if the agent sent the attempt after the request had ended for its client, or stated
// a longer time-out than the client has left.
func (c *Checker) checkClientTime(now time.Duration, r *Request, arrival Arrival) {
	if c.excusedDuring(r.Agent, r.SentAt, arrival.SentAt) {
		return
	}
	if r.finished && arrival.SentAt > r.finishedAt+cancelSlack+c.rules.Slack {
		c.violate(RuleCancelled, now, arrival.Agent, r, "sent to %s %v after the client's end", arrival.Backend,
			(arrival.SentAt - r.finishedAt).Round(time.Millisecond))
	}
	remaining := r.SentAt + r.Timeout - arrival.SentAt
	if r.accepted && arrival.StatedTimeout > 0 && arrival.StatedTimeout > remaining+deadlineSlack+c.rules.Slack {
		c.violate(RuleDeadline, now, arrival.Agent, r, "%s is told of %v, the client has %v left", arrival.Backend, arrival.StatedTimeout, remaining)
	}
}

// checkDuplicate checks that no effect can happen twice: after an attempt that may have run, the agent may send another
// attempt only if the idempotency of the class permits a second run.
func (c *Checker) checkDuplicate(now time.Duration, r *Request, arrival Arrival) {
	earlier := r.firstPossiblyExecuted()
	if earlier == nil {
		return
	}
	class := c.rules.Classes[r.Class]
	switch {
	case class.Idempotency == NonIdempotent:
		c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s though the attempt at %s may have run", arrival.Backend, earlier.backend)
	case class.Idempotency == IdempotencyKey && earlier.cell != arrival.Cell:
		c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s in pod %d though the attempt at %s in pod %d may have run",
			arrival.Backend, arrival.Cell, earlier.backend, earlier.cell)
	case class.Idempotency == IdempotencyKey && now-earlier.arrivedAt > class.DedupWindow+c.rules.Slack:
		c.violate(RuleDuplicate, now, arrival.Agent, r, "sent to %s %v after the attempt at %s, past the window", arrival.Backend,
			now-earlier.arrivedAt, earlier.backend)
	}
}

// RecordReply adds a backend's response to the history of a request. neverRan means that the response proves that the
// attempt had no effect; the first attempt at the backend without such a proof is then marked accordingly.
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

// Attempts returns the number of attempts of a request that have reached backends; 0 for a request that the checker
// does not have.
func (c *Checker) Attempts(id string) int {
	if r := c.requests[id]; r != nil {
		return len(r.attempts)
	}
	return 0
}
