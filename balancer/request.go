package balancer

// The records of requests and their attempts. Nothing is decided here.

import "time"

// attempt is one send of a request to a backend.
type attempt struct {
	backend           *backendState
	zone, cell        int // at the time of sending: a later endpoint update may change them
	sentAt            time.Duration
	sendDeadline      time.Duration // its last byte is sent by then; 0: no bound
	expected          float64       // expected latency, ns
	open              bool          // has no outcome yet
	countedLate       bool          // its latency was counted when it became overdue
	countedUnanswered bool          // was counted as unanswered by its zone

	occupying bool // counted in its backend's outstanding attempts
	untimed   bool // latency not measured: the body arrived after the send, or the response is large
}

// request is a client's request, from its arrival until it has ended and all its attempts have their outcome.
type request struct {
	id               string
	class            int
	objectiveAt      time.Duration // answers after this time earn less
	deadline         time.Duration // when the client stops waiting
	work             float64       // expected work as announced, ns; 0: unknown
	attempts         []*attempt
	openAttempts     int           // attempts that have no outcome yet
	possiblyExecuted int           // attempts that may have executed, outstanding ones included
	scopeAttempt     *attempt      // the first attempt that may have executed: sets the idempotency scope and window
	retries          int           // attempts after the first
	lastFailed       *backendState // backend of the latest failed attempt
	timer            int64         // token of its latest timer; earlier timers have no effect
	affinityKey      uint64        // hash of the object it concerns; 0: unknown
	residencyRule    int           // number of its residency rule; 0: none
	clientRetry      bool          // a retry by the client: part of its objective has passed
	skipped          bool          // found no backend in this step

	timedFrom time.Duration // when its time remaining started to run

	inBackoff, queued, ended bool // waiting for a retry; waiting for capacity; closed
	committed                bool // gets no further attempt: response started or body consumed
	streaming                bool // its body is still arriving
}

// unconstrained reports whether the request has no earlier attempt, no residency rule and no announced work. A backend
// that can take one unconstrained request can take all others of the class.
func (req *request) unconstrained() bool {
	return len(req.attempts) == 0 && req.residencyRule == 0 && req.work == 0
}
