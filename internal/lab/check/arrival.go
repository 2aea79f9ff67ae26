package check

// Attempts that reach backends, and what backends answer.

import (
	"fmt"
	"time"
)

// Arrival is an attempt that has reached a backend in full.
type Arrival struct {
	Attempt       uint64 // its number in the lab, unique in a run
	ID            string // of the request
	Agent         int
	Backend       string
	Cell          int
	Fingerprint   uint64        // of method, path, key and body
	SentAt        time.Duration // when the agent sent it; the emulated network may have delayed it since
	StatedTimeout time.Duration // how long the agent says that it waits; below 0: it does not say
}

// Slack that the rules give, besides that of the sockets.
const (
	cancelSlack   = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
)

// Arrive checks an attempt that reaches its backend now. It reports whether the request is known: the backend serves an
// unknown one without a record, if at all.
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

// checkDrain checks that the agent had not been told, longer ago than its grace, that the backend drains or is gone. The
// request may be unknown (nil).
func (c *Checker) checkDrain(now time.Duration, r *Request, arrival Arrival) {
	unavailableAt := c.endpoints[endpointKey{arrival.Agent, arrival.Backend}].unavailableAt
	if unavailableAt > 0 && arrival.SentAt > c.graceEnd(arrival.Agent, unavailableAt) {
		c.violate(RuleDrain, now, arrival.Agent, r, "agent %d sent to %s %v after it was told that this drains or is gone",
			arrival.Agent, arrival.Backend, (arrival.SentAt - unavailableAt).Round(time.Millisecond))
	}
}

// checkClientTime checks an attempt against its client: none after the client has gone, and no longer deadline than the
// client has left.
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

// checkDuplicate checks that no effect can happen twice: an earlier attempt that may have run allows another one only as
// far as the class is idempotent.
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

// RecordReply notes what a backend answers. neverRan says that the answer proves that the attempt had no effect.
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

// Attempts returns how many attempts of a request have reached backends.
func (c *Checker) Attempts(id string) int {
	if r := c.requests[id]; r != nil {
		return len(r.attempts)
	}
	return 0
}
