package balancer

// Picking: which backend a request goes to. Idle backends come first, weighted by location and speed. The backend that
// has just failed the request is avoided.

import "cmp"

const (
	crossZoneBias       = 0.1 // weight of an idle backend in another zone, relative to the own zone, if crossing has a cost
	fullSpilloverExcess = 0.3 // relative excess latency of the own zone at which other zones get full weight
	proximityObjectives = 4.0 // longest objectives after a cut of the limit during which proximity is ignored
	recoveringBias      = 0.1 // relative weight of an idle backend that still has a failure score
)

// choice holds the inputs to the choice for one request that are the same for all backends.
type choice struct {
	req          *request
	class        *classState
	gossiping    bool    // agents exchange observations, so that all soon have the same ones
	limitStable  bool    // the limit was not cut within the slow-start window
	protectWarm  bool    // the warm backends use their full share of the limit and must not get the request
	backendLimit float64 // attempts of this agent that one backend may have in flight
	closed       []bool  // zones that the request must avoid, by zone number; nil: none
}

// choose picks a backend for a request, or returns nil if no backend may be used now. Departure: choose prefers a
// re-enabled backend over other idle backends until it has responded, for at most reinstatePreference. Without this
// preference, the backend would often get no request from an agent with little traffic for longer than operators wait.
// The slow-start budget still applies.
func (b *Balancer) choose(req *request) *backendState {
	if b.overrides.anyReenabled() {
		idempotency := b.classes[req.class].Idempotency
		for _, backend := range b.backends {
			if !b.overrides.recentlyReenabled(backend.ID, b.now, reinstatePreference) || backend.respondedSinceStart {
				continue
			}
			if backend.State == Up && backend != req.lastFailed && backend.idle() && !backend.rejecting(b.now) &&
				b.mayAttempt(req, backend) && backend.eligible(b.now, true, idempotency) &&
				b.hasSlowStartBudget(backend, req) {
				return backend
			}
		}
	}
	return b.pick(req)
}

// pick chooses a backend at random among the idle ones; if there is none, the busy one with the lowest score; else an
// ejected one. The backend that has just failed the request is chosen only if it is the only one that is up. pick
// returns nil if no backend may be used now.
func (b *Balancer) pick(req *request) *backendState {
	gossiping := b.gossipsObservations()
	ch := choice{req: req, class: &b.classes[req.class], gossiping: gossiping,
		limitStable:  b.limiter.sinceCut(b.now) > b.settings.SlowStartWindow,
		backendLimit: b.limiter.backendLimit(), closed: b.closedZones(req)}
	// Backends in slow start use their share of the limit only gradually. The unused part would overload the warm
	// backends, so protectWarm withholds it from them.
	ch.protectWarm = !b.sparseQuota() && b.warmCapacity < b.capacity &&
		float64(b.warmOutstanding) >= b.limiter.warmLimit(b.warmCapacity)
	found := newCandidates(b.subset.size(len(b.backends), b.maxObjective, gossiping))
	for _, backend := range b.backends {
		if found.full() {
			break
		}
		switch {
		case !b.available(&ch, backend):
		case !backend.eligible(b.now, backend.idle(), ch.class.Idempotency):
			found.offerEjected(backend, backend.penalty(b.rng.Float64(), len(backend.outstanding)))
		default:
			b.offer(&found, &ch, backend)
		}
	}
	return found.best()
}

// available reports whether a backend may get the request. It disregards ejections.
func (b *Balancer) available(ch *choice, backend *backendState) bool {
	if ch.closed != nil && ch.closed[max(backend.Zone, 0)] || ch.protectWarm && !backend.warmingUp {
		return false
	}
	return backend.State == Up && b.mayAttempt(ch.req, backend) && (backend != ch.req.lastFailed || b.up <= 1) &&
		!backend.rejecting(b.now) && float64(len(backend.outstanding)) < ch.backendLimit &&
		b.hasSlowStartBudget(backend, ch.req)
}

// offer adds a backend to the candidates, as idle or busy. An idle backend in a zone that is much farther than the
// nearest one is offered as busy.
func (b *Balancer) offer(found *candidates, ch *choice, backend *backendState) {
	load := float64(len(backend.outstanding))
	if !backend.respondedSinceStart {
		load = max(load, float64(b.inFlight)/float64(b.up)) // counting the mean load prevents a rush to a new backend
	}
	ratio := backend.effectiveLatencyRatio(b.now) * b.kindRatios.of(ch.req.class, backend.Kind)
	extra := b.zones.extraLatency(b.zone(backend))
	if load < 1 && float64(extra) < farObjectives*float64(ch.class.LatencyObjective) {
		weight := b.idleWeight(ch, backend, ratio)
		found.offerIdle(backend, weight, b.rng.Float64())
		return
	}
	// Departure: outstanding attempts are weighted by the latency ratio, since backends differ in speed.
	score := (load+1)*ratio/b.warmth(backend)*(1+0.01*b.rng.Float64()) + float64(extra)/b.expectedLatency(ch.req)
	found.offerBusy(backend, score)
}

// idleWeight returns the weight of an idle backend in the random choice.
func (b *Balancer) idleWeight(ch *choice, backend *backendState, ratio float64) float64 {
	// Departure: an even choice among idle backends would load slow backends as much as fast ones. Each backend is
	// therefore weighted by the inverse cube of its latency ratio. The weights differ only where speeds differ.
	weight := 1 / (ratio * ratio * ratio)
	// Departure: if requests for a key were spread over all backends, most backends would have no cached state for the
	// key. The few idle backends closest to the key, the same at every agent, serve it with less work.
	proximity := b.proximity(backend)
	weight *= proximity
	if key := ch.req.affinityKey; b.settings.KeyAffinity && key != 0 {
		distance := backend.keyDistance(key)
		weight *= proximity / (distance * distance) // else distance would outweigh proximity
	}
	if ch.gossiping {
		weight *= ratio * ratio // with shared observations, the cube would send all traffic to the same few
		if backend.recovering() {
			weight *= recoveringBias // prevents all agents from sending to the backend at once
		}
	}
	if ch.limitStable { // under load the slow-start budget limits a starting backend to its share
		weight *= b.slowStart.guaranteedWarmth(&backend.slowStartState, b.now)
	}
	return weight
}

// proximity returns the weight of an idle backend for its location. The weight falls with the cost of crossing
// zones, and rises again with the excess latency of the own zone. It is 1 where crossing has no cost. It is also 1 for
// proximityObjectives after a cut of the limit: under overload, key affinity saves more than proximity.
func (b *Balancer) proximity(backend *backendState) float64 {
	cost, lowestCost := b.settings.crossingCost(backend.Zone), cmp.Or(b.settings.CrossZoneCost, b.settings.CrossRegionCost)
	if cost == 0 || float64(b.limiter.sinceCut(b.now)) <= proximityObjectives*float64(b.maxObjective) {
		return 1
	}
	bias := crossZoneBias * lowestCost / cost
	if b.zones.extraLatency(b.zone(backend)) > 0 {
		bias *= farBias
	}
	return bias + (1-bias)*b.zones.spillover(b.settings.Zone, b.zone(backend))
}
