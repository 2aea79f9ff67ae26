package balancer

// How much a backend gets that has just started: no more, by all agents together, than it surely bears.

import (
	"math"
	"time"
)

const (
	warmthTrust      = 0.6 // power of the stated multiple up to which a cold backend's answers are believed
	maxSlowStartWork = 2.0 // a cold backend gets no request of more than so many times the mean work
)

// beginSlowStart notes that a backend's process started at a time learned now. Its budget begins at a
// random part of one request below nothing: each of many agents may send it one at once, and all
// together would push it over.
func (b *Balancer) beginSlowStart(backend *backendState, at time.Duration) {
	b.markUnstable(backend)
	backend.slowStartAt, backend.warmingUp, backend.answeredSinceStart = at, true, false
	backend.latencyRatio, backend.latencySamples = 1, 0
	backend.slowStartBudget, backend.slowStartBudgetAt = -b.rng.Float64(), b.now
}

// warmth is the share of its full capacity that a backend seems to have by now. Departure: how fast
// cold ones answer tells what part of the stated time they need, and what they can do beyond the
// sure share is not left idle; the stated multiple bounds how far that is believed.
func (b *Balancer) warmth(backend *backendState) float64 {
	initial, guaranteed := b.settings.InitialCapacity, b.guaranteedWarmth(backend)
	return min(1, initial+(guaranteed-initial)/b.warmUpRatio, guaranteed*b.trustedMultiple)
}

// guaranteedWarmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) guaranteedWarmth(backend *backendState) float64 {
	age := b.now - backend.slowStartAt
	if backend.warmingUp = backend.warmingUp && age < b.settings.SlowStartWindow; !backend.warmingUp {
		return 1
	}
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*max(0, float64(age)/float64(b.settings.SlowStartWindow))
}

// hasSlowStartBudget reports whether a cold backend may get this request: each agent sends it no more
// work than a warm one serves for it, times warmth, times the root of the stated multiple: as
// far below the multiple as above the sure capacity, since most have more than that. Where none is
// warm, what the cold ones serve tells, and one request at a time of all agents is the least.
func (b *Balancer) hasSlowStartBudget(backend *backendState, req *request) bool {
	if !backend.warmingUp { // as measure found it in this step
		return true
	}
	backend.slowStartBudget = min(backend.slowStartBudget+b.slowStartRate(backend)*float64(b.now-backend.slowStartBudgetAt), 1)
	backend.slowStartBudgetAt = b.now
	return backend.slowStartBudget > 0 && b.expectedLatency(req) <= maxSlowStartWork*b.classes[req.class].latency
}

// slowStartRate is how many mean requests a cold backend may be sent for each unit of time. They are counted,
// not timed: with a queue anywhere each takes longer, which tells nothing of this backend.
func (b *Balancer) slowStartRate(backend *backendState) float64 {
	warmth := max(b.warmth(backend), b.guaranteedWarmth(backend)*math.Sqrt(max(1, b.settings.OverloadMultiple)))
	return warmth * max(b.peakThroughput.value(b.now), 1/b.classes[0].latency/float64(b.settings.Balancers))
}
