package balancer

// Slow start: how much a backend that has just started may get from all agents together, never more than it can surely
// bear.

import (
	"math"
	"time"
)

const (
	warmthTrust      = 0.6 // exponent of OverloadMultiple that bounds the trust in measured warmth
	maxSlowStartWork = 2.0 // most work of a request during slow start, relative to the mean
)

// beginSlowStart notes that a backend's process started at the given time. Its budget starts at a random value between
// -1 and 0 requests: if each of many agents sent it one request at once, they would overload it together.
func (b *Balancer) beginSlowStart(backend *backendState, at time.Duration) {
	b.markUnstable(backend)
	backend.slowStartAt, backend.warmingUp, backend.answeredSinceStart = at, true, false
	backend.latencyRatio, backend.latencySamples = 1, 0
	backend.slowStartBudget, backend.slowStartBudgetAt = -b.rng.Float64(), b.now
}

// warmth is the share of its full capacity that a backend seems to have by now. Departure: the latency of starting
// backends shows which share of the slow-start window they really need, and capacity beyond the guaranteed share is
// not left idle; a power of OverloadMultiple bounds how far the measurement is trusted.
func (b *Balancer) warmth(backend *backendState) float64 {
	initial, guaranteed := b.settings.InitialCapacity, b.guaranteedWarmth(backend)
	return min(1, initial+(guaranteed-initial)/b.warmUpRatio, guaranteed*b.trustedMultiple)
}

// guaranteedWarmth is the share of its full capacity that a backend surely has by now. It also ends the slow start.
func (b *Balancer) guaranteedWarmth(backend *backendState) float64 {
	age := b.now - backend.slowStartAt
	if backend.warmingUp = backend.warmingUp && age < b.settings.SlowStartWindow; !backend.warmingUp {
		return 1
	}
	return b.settings.InitialCapacity + (1-b.settings.InitialCapacity)*max(0, float64(age)/float64(b.settings.SlowStartWindow))
}

// hasSlowStartBudget reports whether a backend in slow start may get this request. Each agent sends it no more work
// than a warm backend serves for that agent, times warmth or guaranteed warmth times the square root of
// OverloadMultiple: as far below the multiple as above the guaranteed capacity, since most backends have more than the
// guarantee. Where none is warm, the throughput of the starting ones counts, and the minimum is one request at a time
// of all agents together.
func (b *Balancer) hasSlowStartBudget(backend *backendState, req *request) bool {
	if !backend.warmingUp { // as recomputeCapacity found in this step
		return true
	}
	backend.slowStartBudget = min(backend.slowStartBudget+b.slowStartRate(backend)*float64(b.now-backend.slowStartBudgetAt), 1)
	backend.slowStartBudgetAt = b.now
	return backend.slowStartBudget > 0 && b.expectedLatency(req) <= maxSlowStartWork*b.classes[req.class].latency
}

// slowStartRate is how many mean requests per ns a backend in slow start may be sent. Requests are counted, not timed:
// with a queue anywhere each takes longer, which tells nothing about this backend.
func (b *Balancer) slowStartRate(backend *backendState) float64 {
	warmth := max(b.warmth(backend), b.guaranteedWarmth(backend)*math.Sqrt(max(1, b.settings.OverloadMultiple)))
	return warmth * max(b.peakThroughput.value(b.now), 1/b.classes[0].latency/float64(b.settings.Balancers))
}
