package check

// The rules that agents must keep, with their bounds.

import "time"

// Idempotency is what happens when a request of a class runs more than once.
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

// Rules holds the bounds of the rules.
type Rules struct {
	Classes           []Class
	DrainGrace        time.Duration // span after the notice of a drain or a removal in which new attempts may still be sent there
	AnswerGrace       time.Duration // time after the deadline in which an answer still counts as in time
	Slack             time.Duration // added to every bound, for delays of sockets and scheduling
	AcceptsUnknown    bool          // requests that no emulated client sent are allowed and not checked
	MaxClosedNewShare float64       // share of accepted requests that may be closed unanswered as the first on their connection
}

// The names of the rules, as in the report.
const (
	RuleAnswer    = "answer"    // one final answer for each accepted request, in time
	RuleDuplicate = "duplicate" // no duplicated effect
	RuleDrain     = "drain"     // no attempt at a backend that drains or is removed, after the grace
	RuleSlowStart = "cold"      // no backend in slow start crashed by overload
	RuleUnknown   = "unsent"    // no attempt without a client's request, or for a changed one
	RuleCancelled = "gone"      // no attempt for a client that has its answer or has disconnected
	RuleDeadline  = "deadline"  // no longer deadline passed on than the client has left
)
