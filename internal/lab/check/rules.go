package check

// The rules: what may be repeated, and the bounds.

import "time"

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
