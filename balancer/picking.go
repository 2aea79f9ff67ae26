package balancer

// Which backend a request goes to: idle ones first, the nearest and fastest among them, never the one
// that just failed it.

import (
	"cmp"
	"math"
)

const (
	revisitObjectives   = 4.0   // longest aims within which an agent means to meet a backend again
	subsetDecrease      = 0.9   // of that many backends once one turned a new connection away ...
	subsetIncrease      = 1.003 // ... and after each answer
	minSubset           = 3     // idle backends at least among which a choice is made
	subsetBase          = 30.0  // and at most ...
	subsetFraction      = 0.1   // ... and this part of all: connections must not grow in step with a fleet
	crossZoneBias       = 0.1   // chance of an idle backend in another zone, if crossing is priced ...
	spilloverAt         = 0.3   // ... and answers from the own zone take no longer; from so much longer on it has the same
	proximityObjectives = 4.0   // longest aims since the limit was cut from which on distance counts
	maxWarmLoad         = 1.1   // parts of the limit that warm backends hold while others are cold
	recoveringBias      = 0.1   // chance of an idle backend that has not healed yet
)

// pick chooses a backend: one where this balancer has nothing in flight, at
// random; else the one with the fewest in flight; never the one that just failed
// unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(req *request) *backendState {
	shared, uncrowded := b.gossipsObservations(), b.now-b.limitCutAt > b.settings.SlowStartWindow
	var idle, leastLoaded, ejected *backendState
	totalWeight, lowestScore, lowestEjected := 0.0, math.Inf(1), math.Inf(1)
	remaining, closed := b.subsetSize(), b.closedZones(req)
	// Cold ones take up their part of the limit slowly: little of what they leave is for the warm ones, or these turn slow.
	crowded := !b.sparseQuota() && b.warmCapacity < b.capacity &&
		float64(b.warmOutstanding) >= max(1, maxWarmLoad*b.limitPerBackend*b.quota*b.warmCapacity)
	for _, backend := range b.backends {
		if remaining <= 0 {
			break
		}
		if closed != nil && closed[max(backend.Zone, 0)] || crowded && !backend.warmingUp {
			continue
		}
		if backend.State != Up || !b.mayAttempt(req, backend) || backend == req.lastFailed && b.up > 1 ||
			b.now < backend.rejectingUntil ||
			float64(len(backend.outstanding)) >= max(1, maxBackendShares*b.limitPerBackend*b.quota) ||
			!b.hasSlowStartBudget(backend, req) {
			continue
		}
		if !b.eligible(backend, req) {
			if penalty := backend.failureScore*b.rng.Float64() + float64(len(backend.outstanding)); penalty < lowestEjected {
				ejected, lowestEjected = backend, penalty
			}
			continue
		}
		load := float64(len(backend.outstanding))
		if !backend.answeredSinceStart {
			load = max(load, float64(b.inFlight)/float64(b.up)) // a new one counts at the mean: no rush
		}
		ratio := b.effectiveLatencyRatio(backend) * *b.kindLatencyRatio(backend, req.class)
		proximity, extra := b.proximity(backend), b.extraLatency(b.zone(backend))
		if load < 1 && float64(extra) < farObjectives*float64(b.classes[req.class].LatencyObjective) {
			// Departure: an even choice among idle backends would load slow ones as much as fast
			// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
			weight := 1 / (ratio * ratio * ratio)
			// Departure: spread over all, a key is new to most backends it meets. Among idle ones the few
			// nearest to it, the same at every agent, serve it for less work.
			weight *= proximity
			if distance := backend.keyDistance(req.affinityKey); b.settings.KeyAffinity && req.affinityKey != 0 {
				weight *= proximity / (distance * distance) // or the nearest to a key of all zones would outdo it
			}
			if shared {
				weight *= ratio * ratio // all know the same: the cube would send all to the same few
			}
			if backend.failureScore > 0 && shared {
				weight *= recoveringBias // all agents together must not try it at once
			}
			if uncrowded { // where it is crowded a cold one's budget keeps it to its part
				weight *= b.guaranteedWarmth(backend)
			}
			remaining--
			if totalWeight += weight; b.rng.Float64()*totalWeight < weight {
				idle = backend
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		score := (load+1)*ratio/b.warmth(backend)*(1+0.01*b.rng.Float64()) + float64(extra)/b.expectedLatency(req)
		if score < lowestScore {
			leastLoaded, lowestScore = backend, score
		}
	}
	return cmp.Or(idle, leastLoaded, ejected) // all are ejected: a first attempt still goes out
}

// choose picks a backend for a request. Departure: a backend that was called back goes before idle
// ones until it has answered: spread thin, an agent would pass by a cold one for longer than operators
// wait. Its cold budget holds all the same.
func (b *Balancer) choose(req *request) *backendState {
	if len(b.overrides.reenabledAt) > 0 {
		for _, backend := range b.backends {
			at, reenabled := b.overrides.reenabledAt[backend.ID]
			if reenabled && b.now-at < reinstatePreference && !backend.answeredSinceStart && backend.State == Up &&
				backend != req.lastFailed && len(backend.outstanding) == 0 && b.now >= backend.rejectingUntil &&
				b.mayAttempt(req, backend) && b.eligible(backend, req) && b.hasSlowStartBudget(backend, req) {
				return backend
			}
		}
	}
	return b.pick(req)
}

// proximity is how readily an idle backend is chosen for where it is. The dearer the way the less, until answers from the
// own zone take longer: then the others take over in step with that. Where crossing has no price all are near, and where
// the limit was cut of late a backend that has met a key counts for more, wherever it is.
func (b *Balancer) proximity(backend *backendState) float64 {
	cost, lowestCost := b.crossingCost(backend.Zone), cmp.Or(b.settings.CrossZoneCost, b.settings.CrossRegionCost)
	if cost == 0 || float64(b.now-b.limitCutAt) <= proximityObjectives*float64(b.maxObjective) {
		return 1
	}
	bias := crossZoneBias * lowestCost / cost
	if b.extraLatency(b.zone(backend)) > 0 {
		bias *= farBias
	}
	return bias + (1-bias)*b.spillover(b.zone(backend))
}

// spillover is 0 as long as answers from the own zone take no longer than from another one, and 1 from spilloverAt on.
func (b *Balancer) spillover(z *zone) float64 {
	own := b.settings.Zone
	if own < 0 || own >= len(b.zones) || b.zones[own].latencyRatio == 0 || z.latencyRatio == 0 {
		return 0
	}
	return min(max((b.zones[own].latencyRatio/z.latencyRatio-1)/spilloverAt, 0), 1)
}

// subsetSize is how many idle backends a choice is made among: the first of this agent's own order
// that may be used. Departure: an agent with little traffic, spread over all, would hear of each
// backend once a day and open a connection for nearly every attempt. It keeps to so many that it
// meets each again within a few aims. Acts where no notes tell of the others.
func (b *Balancer) subsetSize() int {
	if b.meanInterarrival == 0 || b.gossipsObservations() { // notes tell of all
		return len(b.backends)
	}
	maxSize := subsetBase + subsetFraction*float64(len(b.backends))
	return max(minSubset, int(min(b.subsetScale*revisitObjectives*float64(b.maxObjective)/b.meanInterarrival, maxSize)))
}

// effectiveLatencyRatio is how much longer this backend takes than the mean, by its answers or
// by the wait of its oldest attempt if that is worse (a stall shows before any answer).
func (b *Balancer) effectiveLatencyRatio(backend *backendState) float64 {
	if len(backend.outstanding) > 0 {
		return max(backend.latencyRatio, float64(b.now-backend.outstanding[0].sentAt)/backend.outstanding[0].expected/2)
	}
	return backend.latencyRatio
}
