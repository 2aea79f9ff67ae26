package check

// The rules that agents must keep, with their bounds.

import "time"

// Idempotency states whether a request of a class may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be repeated and rejected at any time
	IdempotencyKey                    // the backends of one cell drop a duplicate within the deduplication window
	NonIdempotent                     // must never run twice
)

// Class is a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	DedupWindow time.Duration // for IdempotencyKey
}

// Rules holds the classes of requests and the bounds of the rules.
type Rules struct {
	Classes           []Class
	DrainGrace        time.Duration // span after the notice of a drain or a removal in which an agent may still send new attempts to the backend
	AnswerGrace       time.Duration // time after the deadline in which an answer still counts as in time
	Slack             time.Duration // added to every bound, for delays of sockets and scheduling
	AcceptsUnknown    bool          // requests that no emulated client sent are allowed and not checked
	MaxClosedNewShare float64       // highest permitted share of accepted requests with the answer ClosedNew
}

// The names of the rules, as in the report.
const (
	RuleAnswer    = "answer"    // one final answer for each accepted request, in time
	RuleDuplicate = "duplicate" // no duplicated effect
	RuleDrain     = "drain"     // after the grace, no attempt at a backend that drains or is removed
	RuleSlowStart = "cold"      // agents do not crash a backend in slow start by overload
	RuleUnknown   = "unsent"    // each attempt belongs to a request of the agent's clients, and the request is unchanged
	RuleCancelled = "gone"      // no attempt after the client has its answer or has disconnected
	RuleDeadline  = "deadline"  // the time-out stated to a backend is at most the time that the client has left
)
