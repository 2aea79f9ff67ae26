package balancer

// Backends: the record of each, and values derived from the record and the settings.

import "time"

// backendState is the record of one backend. Only the file that defines an embedded struct changes
// its fields.
type backendState struct {
	Backend
	outlierState
	slowStartState
	latencyEstimate
	outstanding []*attempt      // oldest first
	gossipKey   uint32          // identifies the backend in observations
	subsetRank  uint32          // its position in this agent's order of backends
	observedAt  time.Duration   // time of the latest observation
	stable      bool            // counted in its zone's stableBackends
	unanswered  unansweredCount // the backend's unanswered attempts, as counted for its zone
}

// idle reports whether the backend has no outstanding attempt of this agent.
func (bs *backendState) idle() bool { return len(bs.outstanding) == 0 }

// effectiveLatencyRatio returns the latency of a backend relative to the mean: by its responses, or by the age of its
// oldest outstanding attempt if the age gives a higher ratio: a stalled backend sends no responses.
func (bs *backendState) effectiveLatencyRatio(now time.Duration) float64 {
	if len(bs.outstanding) > 0 {
		oldest := bs.outstanding[0]
		return max(bs.latencyRatio, float64(now-oldest.sentAt)/oldest.expected/2)
	}
	return bs.latencyRatio
}

// keyDistance returns a pseudo-random number in (0, 1] for a key and a backend, the same at every agent. The distances
// of a key order the backends for it, and keys spread evenly over the backends (rendezvous hashing).
func (bs *backendState) keyDistance(key uint64) float64 {
	h := (uint32(key) ^ uint32(key>>32) ^ bs.gossipKey) * 0x9e3779b1
	h = (h ^ h>>15) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (float64(h^h>>16) + 1) / (1 << 32)
}

// beginSlowStart starts the slow start of a backend whose process started at the given time.
func (b *Balancer) beginSlowStart(backend *backendState, at time.Duration) {
	b.markUnstable(backend)
	backend.begin(at, b.now, b.rng.Float64())
	backend.resetLatency()
}

// warmth returns the estimated share of its full capacity that a backend has now.
func (b *Balancer) warmth(backend *backendState) float64 {
	return b.slowStart.warmth(&backend.slowStartState, b.now)
}

// slowStartRate returns the rate, in mean requests per ns, at which this agent may send to a backend in slow start. All
// agents together may always have one request at a time there.
func (b *Balancer) slowStartRate(backend *backendState) float64 {
	warmRate := max(b.throughput.perBackend(b.now), 1/b.classes[0].latency/float64(b.settings.Balancers))
	return b.slowStart.rate(&backend.slowStartState, b.now, warmRate)
}

// hasSlowStartBudget reports whether the slow-start budget of a backend covers the request. Outside of slow start there
// is no such bound.
func (b *Balancer) hasSlowStartBudget(backend *backendState, req *request) bool {
	if !backend.warmingUp { // recomputeCapacity has updated the field in this step
		return true
	}
	backend.refill(b.slowStartRate(backend), b.now)
	return backend.covers(b.expectedLatency(req), b.classes[req.class].latency)
}
