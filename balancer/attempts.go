package balancer

// The records of requests and their attempts. Nothing is decided here.

import "time"

type attempt struct {
	b          *backend
	zone, cell int // where it was when it was sent: a list may tell otherwise later
	sent       time.Duration
	before     time.Duration // its last byte must be out by then; 0: no bound
	cost       float64
	open       bool
	late       bool // found overdue: its delay is already counted
	mute       bool // its silence is already counted against its zone

	at    bool // in its backend's out
	large bool // its body came after it was sent, or its answer is large: no time tells that it is overdue
}

type request struct {
	id       string
	class    int
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	work     float64 // expected work as told, ns; 0: unknown
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend // the backend that failed it last
	timer    int64    // the token of its latest timer; earlier ones are void
	key      uint64   // a hash of what it concerns; 0: unknown
	rule     int      // of residency; 0: none
	repeat   bool     // a later try of the client: part of its aim has passed
	passed   bool     // found no backend in this step

	came time.Duration // its time runs from then

	waiting, holding, ended bool // for its backoff; for room; done with
	stream                  bool // bound to the attempt it has: being answered, or part of its body is gone
	coming                  bool // its body is
}

// before is when the last byte of a further attempt must be out: until then its backend drops a repeat. 0: no bound.
func (b *Balancer) before(r *request) time.Duration {
	c := &b.classes[r.class]
	if c.Effect != Keyed || r.risky == 0 {
		return 0
	}
	return r.anchor.sent + c.Window
}

// fresh reports whether nothing but its class tells a request from others: where it may go, and at what work.
func (r *request) fresh() bool { return len(r.attempts) == 0 && r.rule == 0 && r.work == 0 }

// enter books an attempt at its backend. With a body that is still coming it holds no place: the
// backend has nothing to do yet, and no time runs.
func (b *Balancer) enter(r *request, a *attempt) {
	a.large = r.coming
	if !r.coming {
		b.book(a, true)
		if !a.b.cold {
			b.warmOut++ // until measure counts anew
		}
	}
}

// leave ends that: with the outcome, or once a large answer has begun. What is left to do then is the
// network's.
func (b *Balancer) leave(a *attempt) {
	if a.at {
		b.book(a, false)
	}
}

func (b *Balancer) onBodyWhole(e BodyWhole) {
	r := b.requests[e.Request]
	if r == nil || !r.coming {
		return
	}
	r.coming = false
	c := &b.classes[r.class]
	left := r.deadline - r.came
	r.came, r.deadline, r.aim = b.now, b.now+left, b.now+min(c.Aim, left)
	for _, a := range r.attempts {
		if a.open && !a.at {
			a.sent = b.now
			b.book(a, true)
		}
	}
}

// onStream takes that an answer has begun: no other attempt may answer, and this one waits for nothing.
func (b *Balancer) onStream(e StreamStarted) {
	r := b.requests[e.Request]
	if r == nil {
		return
	}
	r.stream = true
	if e.Attempt >= 0 && e.Attempt < len(r.attempts) && r.attempts[e.Attempt].open {
		a := r.attempts[e.Attempt]
		a.large = true
		b.leave(a)
	}
}
