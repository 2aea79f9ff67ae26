package check

// Attempts that reach backends, and what backends answer.

import (
	"fmt"
	"time"
)

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
