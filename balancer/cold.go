package balancer

// How much a backend gets that has just started: no more, by all agents together, than it surely bears.

import (
	"math"
	"time"
)

const (
	coldTrust = 0.6 // power of the stated multiple up to which a cold backend's answers are believed
	heavy     = 2.0 // a cold backend gets no request of more than so many times the mean work
)

// start notes that a backend's process started at a time learned now. Its budget begins at a
// random part of one request below nothing: each of many agents may send it one at once, and all
// together would push it over.
func (b *Balancer) start(t *backend, at time.Duration) {
	b.unsettle(t)
	t.warmFrom, t.cold, t.seen, t.slow, t.samples = at, true, false, 1, 0
	t.budget, t.budgetAt = -b.rng.Float64(), b.now
}

// warmth is the share of its full capacity that a backend seems to have by now. Departure: how fast
// cold ones answer tells what part of the stated time they need, and what they can do beyond the
// sure share is not left idle; the stated multiple bounds how far that is believed.
func (b *Balancer) warmth(t *backend) float64 {
	least, sure := b.s.ColdShare, b.sure(t)
	return min(1, least+(sure-least)/b.ramp, sure*b.believed)
}

// sure is the share of its full capacity that a backend surely has by now.
func (b *Balancer) sure(t *backend) float64 {
	age := b.now - t.warmFrom
	if t.cold = t.cold && age < b.s.RampTime; !t.cold {
		return 1
	}
	return b.s.ColdShare + (1-b.s.ColdShare)*max(0, float64(age)/float64(b.s.RampTime))
}

// coldRoom reports whether a cold backend may get this request: each agent sends it no more
// work than a warm one serves for it, times warmth, times the root of the stated multiple: as
// far below the multiple as above the sure capacity, since most have more than that. Where none is
// warm, what the cold ones serve tells, and one request at a time of all agents is the least.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	if !t.cold { // as measure found it in this step
		return true
	}
	t.budget = min(t.budget+b.coldRate(t)*float64(b.now-t.budgetAt), 1)
	t.budgetAt = b.now
	return t.budget > 0 && b.expected(r) <= heavy*b.classes[r.class].latency
}

// coldRate is how many mean requests a cold backend may be sent for each unit of time. They are counted,
// not timed: with a queue anywhere each takes longer, which tells nothing of this backend.
func (b *Balancer) coldRate(t *backend) float64 {
	share := max(b.warmth(t), b.sure(t)*math.Sqrt(max(1, b.s.FallMultiple)))
	return share * max(b.best.sum(b.now), 1/b.classes[0].latency/float64(b.s.Balancers))
}
