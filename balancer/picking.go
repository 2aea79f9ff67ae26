package balancer

// Picking: which backend a request goes to. Idle backends first, the nearest and fastest among them; never the one
// that has just failed the request.

import (
	"cmp"
	"math"
)

const (
	revisitObjectives   = 4.0   // longest objectives within which a quiet agent revisits each backend of its subset
	subsetDecrease      = 0.9   // factor of the subset size when a backend rejects a new connection
	subsetIncrease      = 1.003 // and after each answer
	minSubset           = 3     // idle backends that a choice is made among, at least
	subsetBase          = 30.0  // and at most this
	subsetFraction      = 0.1   // plus this share of all: connections must not grow in step with the fleet
	crossZoneBias       = 0.1   // relative weight of an idle backend in another zone, if crossing has a cost
	spilloverAt         = 0.3   // latency excess of the own zone at which other zones get full weight
	proximityObjectives = 4.0   // longest objectives after a cut of the limit from which proximity counts
	recoveringBias      = 0.1   // relative weight of an idle backend that still has a failure score
)

// pick chooses a backend at random among the idle ones; if there is none, the one with the fewest outstanding
// attempts; else an ejected one. The backend that just failed the request is chosen only if it is the only one. nil
// means that no backend may be used now.
func (b *Balancer) pick(req *request) *backendState {
	shared, uncrowded := b.gossipsObservations(), b.limiter.sinceCut(b.now) > b.settings.SlowStartWindow
	idempotency := b.classes[req.class].Idempotency
	var idle, leastLoaded, ejected *backendState
	totalWeight, lowestScore, lowestEjected := 0.0, math.Inf(1), math.Inf(1)
	remaining, closed := b.subsetSize(), b.closedZones(req)
	// Backends in slow start take up their share of the limit slowly. Most of the rest must not go to the warm ones,
	// which would be overloaded by it.
	crowded := !b.sparseQuota() && b.warmCapacity < b.capacity &&
		float64(b.warmOutstanding) >= b.limiter.warmLimit(b.warmCapacity)
	for _, backend := range b.backends {
		if remaining <= 0 {
			break
		}
		if closed != nil && closed[max(backend.Zone, 0)] || crowded && !backend.warmingUp {
			continue
		}
		if backend.State != Up || !b.mayAttempt(req, backend) || backend == req.lastFailed && b.up > 1 ||
			backend.rejecting(b.now) ||
			float64(len(backend.outstanding)) >= b.limiter.backendLimit() ||
			!b.hasSlowStartBudget(backend, req) {
			continue
		}
		if !backend.eligible(b.now, backend.idle(), idempotency) {
			if penalty := backend.penalty(b.rng.Float64(), len(backend.outstanding)); penalty < lowestEjected {
				ejected, lowestEjected = backend, penalty
			}
			continue
		}
		load := float64(len(backend.outstanding))
		if !backend.answeredSinceStart {
			load = max(load, float64(b.inFlight)/float64(b.up)) // a new backend counts at the mean, which prevents a rush
		}
		ratio := backend.effectiveLatencyRatio(b.now) * b.kindRatios.of(req.class, backend.Kind)
		proximity, extra := b.proximity(backend), b.zones.extraLatency(b.zone(backend))
		if load < 1 && float64(extra) < farObjectives*float64(b.classes[req.class].LatencyObjective) {
			// Departure: an even choice among idle backends would load slow ones as much as fast ones. Each is
			// weighted by the inverse cube of its latency ratio. This has an effect when speeds differ.
			weight := 1 / (ratio * ratio * ratio)
			// Departure: if requests for a key were spread over all backends, the key would be new to most backends
			// that it meets. The few idle ones closest to the key, the same at every agent, serve it with less work.
			weight *= proximity
			if distance := backend.keyDistance(req.affinityKey); b.settings.KeyAffinity && req.affinityKey != 0 {
				weight *= proximity / (distance * distance) // else the backend closest to a key in any zone would win
			}
			if shared {
				weight *= ratio * ratio // all agents know the same: the cube would send all traffic to the same few
			}
			if backend.recovering() && shared {
				weight *= recoveringBias // all agents together must not try it at once
			}
			if uncrowded { // under load the slow-start budget keeps a starting backend to its share
				weight *= b.slowStart.guaranteedWarmth(&backend.slowStartState, b.now)
			}
			remaining--
			if totalWeight += weight; b.rng.Float64()*totalWeight < weight {
				idle = backend
			}
			continue
		}
		// Departure: outstanding attempts are weighted by the latency ratio for the same reason.
		score := (load+1)*ratio/b.warmth(backend)*(1+0.01*b.rng.Float64()) + float64(extra)/b.expectedLatency(req)
		if score < lowestScore {
			leastLoaded, lowestScore = backend, score
		}
	}
	return cmp.Or(idle, leastLoaded, ejected) // if all are ejected, a first attempt is sent all the same
}

// choose picks a backend for a request. Departure: a re-enabled backend is preferred over idle ones until it has
// answered. With its traffic spread thin, an agent would pass by a backend in slow start for longer than operators
// wait. The slow-start budget holds all the same.
func (b *Balancer) choose(req *request) *backendState {
	if len(b.overrides.reenabledAt) > 0 {
		idempotency := b.classes[req.class].Idempotency
		for _, backend := range b.backends {
			at, reenabled := b.overrides.reenabledAt[backend.ID]
			if !reenabled || b.now-at >= reinstatePreference || backend.answeredSinceStart || backend.State != Up {
				continue
			}
			if backend != req.lastFailed && backend.idle() && !backend.rejecting(b.now) &&
				b.mayAttempt(req, backend) && backend.eligible(b.now, true, idempotency) && b.hasSlowStartBudget(backend, req) {
				return backend
			}
		}
	}
	return b.pick(req)
}

// proximity is the weight of an idle backend for its location. It falls with the cost of crossing zones, and rises
// again in proportion as answers from the own zone take longer. It is 1 where crossing has no cost, and for a while
// after the limit was cut: then a backend that knows a key counts for more, wherever it is.
func (b *Balancer) proximity(backend *backendState) float64 {
	cost, lowestCost := b.crossingCost(backend.Zone), cmp.Or(b.settings.CrossZoneCost, b.settings.CrossRegionCost)
	if cost == 0 || float64(b.limiter.sinceCut(b.now)) <= proximityObjectives*float64(b.maxObjective) {
		return 1
	}
	bias := crossZoneBias * lowestCost / cost
	if b.zones.extraLatency(b.zone(backend)) > 0 {
		bias *= farBias
	}
	return bias + (1-bias)*b.zones.spillover(b.settings.Zone, b.zone(backend))
}

// subsetSize is how many idle backends a choice is made among: the first usable ones in this agent's own order.
// Departure: an agent with little traffic, spread over all backends, would hear from each once a day and open a
// connection for nearly every attempt. It keeps to as many as it revisits within a few objectives. This has no effect
// where observations of peers tell about the other backends.
func (b *Balancer) subsetSize() int {
	if b.meanInterarrival == 0 || b.gossipsObservations() { // observations cover all backends
		return len(b.backends)
	}
	maxSize := subsetBase + subsetFraction*float64(len(b.backends))
	return max(minSubset, int(min(b.subsetScale*revisitObjectives*float64(b.maxObjective)/b.meanInterarrival, maxSize)))
}
