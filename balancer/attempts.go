package balancer

// The records of requests and their attempts. Nothing is decided here.

import "time"

type attempt struct {
	backend       *backendState
	zone, cell    int // where it was when it was sent: a list may tell otherwise later
	sentAt        time.Duration
	sendDeadline  time.Duration // its last byte must be out by then; 0: no bound
	expected      float64
	open          bool
	countedLate   bool // found overdue: its delay is already counted
	countedSilent bool // its silence is already counted against its zone

	occupying bool // in its backend's out
	untimed   bool // its body came after it was sent, or its answer is large: no time tells that it is overdue
}

type request struct {
	id               string
	class            int
	objectiveAt      time.Duration // answers after this time earn less
	deadline         time.Duration
	work             float64 // expected work as told, ns; 0: unknown
	attempts         []*attempt
	openAttempts     int      // attempts out
	possiblyExecuted int      // attempts that may have run, those out included
	scopeAttempt     *attempt // the first of these: sets the group and the window
	retries          int
	lastFailed       *backendState // the backend that failed it last
	timer            int64         // the token of its latest timer; earlier ones are void
	affinityKey      uint64        // a hash of what it concerns; 0: unknown
	residencyRule    int           // of residency; 0: none
	clientRetry      bool          // a later try of the client: part of its aim has passed
	skipped          bool          // found no backend in this step

	timedFrom time.Duration // its time runs from then

	inBackoff, queued, ended bool // for its backoff; for room; done with
	committed                bool // bound to the attempt it has: being answered, or part of its body is gone
	streaming                bool // its body is
}

// sendDeadline is when the last byte of a further attempt must be out: until then its backend drops a repeat. 0: no bound.
func (b *Balancer) sendDeadline(req *request) time.Duration {
	class := &b.classes[req.class]
	if class.Idempotency != IdempotencyKey || req.possiblyExecuted == 0 {
		return 0
	}
	return req.scopeAttempt.sentAt + class.DedupWindow
}

// unconstrained reports whether nothing but its class tells a request from others: where it may go, and at what work.
func (req *request) unconstrained() bool {
	return len(req.attempts) == 0 && req.residencyRule == 0 && req.work == 0
}

// occupy books an attempt at its backend. With a body that is still coming it holds no place: the
// backend has nothing to do yet, and no time runs.
func (b *Balancer) occupy(req *request, a *attempt) {
	a.untimed = req.streaming
	if !req.streaming {
		b.setOutstanding(a, true)
		if !a.backend.warmingUp {
			b.warmOutstanding++ // until measure counts anew
		}
	}
}

// vacate ends that: with the outcome, or once a large answer has begun. What is left to do then is the
// network's.
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

// onResponseStarted takes that an answer has begun: no other attempt may answer, and this one waits for nothing.
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
