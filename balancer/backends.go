package balancer

// Backends: the record of each, and what follows from it and the settings.

import "time"

// backendState is what is known about one backend. The embedded structs own their fields.
type backendState struct {
	Backend
	outlierState
	slowStartState
	latencyEstimate
	outstanding []*attempt    // oldest first
	gossipKey   uint32        // identifies it in observations
	subsetRank  uint32        // its position in this agent's own order
	observedAt  time.Duration // of the latest observation
	stable      bool          // counted in its zone's stableBackends
	silence     silenceCount  // in its zone
}

// idle reports whether the backend has no attempt of this agent.
func (bs *backendState) idle() bool { return len(bs.outstanding) == 0 }

// effectiveLatencyRatio is how much slower than the mean a backend is, by its answers, or by the age of its oldest
// outstanding attempt if that is worse: a stall shows before any answer.
func (bs *backendState) effectiveLatencyRatio(now time.Duration) float64 {
	if len(bs.outstanding) > 0 {
		oldest := bs.outstanding[0]
		return max(bs.latencyRatio, float64(now-oldest.sentAt)/oldest.expected/2)
	}
	return bs.latencyRatio
}

// keyDistance is a pseudo-random number in (0, 1] for a key and a backend. It is the same at every agent: each key
// prefers backends in an order of its own, and keys spread evenly over the backends (rendezvous hashing).
func (bs *backendState) keyDistance(key uint64) float64 {
	h := (uint32(key) ^ uint32(key>>32) ^ bs.gossipKey) * 0x9e3779b1
	h = (h ^ h>>15) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (float64(h^h>>16) + 1) / (1 << 32)
}

// beginSlowStart notes that a backend's process started at the given time.
func (b *Balancer) beginSlowStart(backend *backendState, at time.Duration) {
	b.markUnstable(backend)
	backend.begin(at, b.now, b.rng.Float64())
	backend.resetLatency()
}

// warmth is the share of its full capacity that a backend seems to have by now.
func (b *Balancer) warmth(backend *backendState) float64 {
	return b.slowStart.warmth(&backend.slowStartState, b.now)
}

// slowStartRate is how many mean requests per ns a backend in slow start may be sent: at least one request at a time of
// all agents together.
func (b *Balancer) slowStartRate(backend *backendState) float64 {
	warmRate := max(b.throughput.perBackend(b.now), 1/b.classes[0].latency/float64(b.settings.Balancers))
	return b.slowStart.rate(&backend.slowStartState, b.now, warmRate)
}

// hasSlowStartBudget reports whether a backend's slow start, if it is in one, leaves room for the request.
func (b *Balancer) hasSlowStartBudget(backend *backendState, req *request) bool {
	if !backend.warmingUp { // as recomputeCapacity found in this step
		return true
	}
	backend.refill(b.slowStartRate(backend), b.now)
	return backend.covers(b.expectedLatency(req), b.classes[req.class].latency)
}
