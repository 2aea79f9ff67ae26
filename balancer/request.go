package balancer

// The records of requests and their attempts. Nothing is decided here.

import "time"

type attempt struct {
	backend       *backendState
	zone, cell    int // at the time of sending: a later endpoint update may change them
	sentAt        time.Duration
	sendDeadline  time.Duration // its last byte must be sent by then; 0: no bound
	expected      float64
	open          bool
	countedLate   bool // its latency was counted when it became overdue
	countedSilent bool // its silence was counted against its zone

	occupying bool // counted in its backend's outstanding attempts
	untimed   bool // the body arrived after the send, or the response is large: elapsed time tells nothing
}

type request struct {
	id               string
	class            int
	objectiveAt      time.Duration // answers after this time earn less
	deadline         time.Duration
	work             float64 // expected work as announced, ns; 0: unknown
	attempts         []*attempt
	openAttempts     int      // attempts without an outcome
	possiblyExecuted int      // attempts that may have executed, outstanding ones included
	scopeAttempt     *attempt // the first of these: sets the idempotency scope and window
	retries          int
	lastFailed       *backendState // backend of the latest failed attempt
	timer            int64         // token of its latest timer; earlier ones are void
	affinityKey      uint64        // hash of the object it concerns; 0: unknown
	residencyRule    int           // number of its residency rule; 0: none
	clientRetry      bool          // a retry by the client: part of its objective has passed
	skipped          bool          // found no backend in this step

	timedFrom time.Duration // start of its time remaining

	inBackoff, queued, ended bool // waiting for a retry; waiting for capacity; closed
	committed                bool // bound to its only attempt: response started or body consumed
	streaming                bool // its body is still arriving
}

// sendDeadline is the time by which the last byte of another attempt must be sent, so that backends still drop it as a
// duplicate. 0 means no bound.
func (b *Balancer) sendDeadline(req *request) time.Duration {
	class := &b.classes[req.class]
	if class.Idempotency != IdempotencyKey || req.possiblyExecuted == 0 {
		return 0
	}
	return req.scopeAttempt.sentAt + class.DedupWindow
}

// unconstrained reports whether all such requests of a class are alike to the picker: no earlier attempt, no residency
// rule, no announced work.
func (req *request) unconstrained() bool {
	return len(req.attempts) == 0 && req.residencyRule == 0 && req.work == 0
}

// occupy counts an attempt as outstanding at its backend. While the body is still arriving the attempt takes no
// capacity: the backend has nothing to do yet, and no time is measured.
func (b *Balancer) occupy(req *request, a *attempt) {
	a.untimed = req.streaming
	if !req.streaming {
		b.setOutstanding(a, true)
		if !a.backend.warmingUp {
			b.warmOutstanding++ // until recomputeCapacity counts anew
		}
	}
}

// vacate ends that, at the outcome or at the start of a large response: what remains then is network transfer.
func (b *Balancer) vacate(a *attempt) {
	if a.occupying {
		b.setOutstanding(a, false)
	}
}

func (b *Balancer) onBodyComplete(event BodyComplete) {
	req := b.requests[event.Request]
	if req == nil || !req.streaming {
		return
	}
	req.streaming = false
	class := &b.classes[req.class]
	timeout := req.deadline - req.timedFrom
	req.timedFrom, req.deadline, req.objectiveAt = b.now, b.now+timeout, b.now+min(class.LatencyObjective, timeout)
	for _, a := range req.attempts {
		if a.open && !a.occupying {
			a.sentAt = b.now
			b.setOutstanding(a, true)
		}
	}
}

// onBodyConsumed marks a request that can't be sent again.
func (b *Balancer) onBodyConsumed(event BodyConsumed) {
	if req := b.requests[event.Request]; req != nil {
		req.committed = true
	}
}

// onResponseStarted marks a request whose response has begun: it gets no other attempt, and this attempt no longer
// occupies its backend.
func (b *Balancer) onResponseStarted(event ResponseStarted) {
	req := b.requests[event.Request]
	if req == nil {
		return
	}
	req.committed = true
	if event.Attempt >= 0 && event.Attempt < len(req.attempts) && req.attempts[event.Attempt].open {
		a := req.attempts[event.Attempt]
		a.untimed = true
		b.vacate(a)
	}
}
