package balancer

// Picking: which backend a request goes to. Idle backends first, the nearest and fastest among them; never the one
// that has just failed the request.

import "cmp"

const (
	crossZoneBias       = 0.1 // relative weight of an idle backend in another zone, if crossing has a cost
	spilloverAt         = 0.3 // latency excess of the own zone at which other zones get full weight
	proximityObjectives = 4.0 // longest objectives after a cut of the limit from which proximity counts
	recoveringBias      = 0.1 // relative weight of an idle backend that still has a failure score
)

// choice is what holds for all backends in the choice for one request.
type choice struct {
	req          *request
	class        *classState
	gossiping    bool    // all agents have the same observations
	uncrowded    bool    // the limit was not cut for long
	protectWarm  bool    // warm backends have their share of the limit
	backendLimit float64 // attempts that one backend may get
	closed       []bool  // zones that the request may not go to; nil: none
}

// choose picks a backend for a request. Departure: a re-enabled backend is preferred over idle ones until it has
// answered. With its traffic spread thin, an agent would pass by a backend in slow start for longer than operators
// wait. The slow-start budget holds all the same.
func (b *Balancer) choose(req *request) *backendState {
	if b.overrides.anyReenabled() {
		idempotency := b.classes[req.class].Idempotency
		for _, backend := range b.backends {
			if !b.overrides.recentlyReenabled(backend.ID, b.now, reinstatePreference) || backend.answeredSinceStart {
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

// pick chooses a backend at random among the idle ones; if there is none, the one with the fewest outstanding
// attempts; else an ejected one. The backend that just failed the request is chosen only if it is the only one. nil
// means that no backend may be used now.
func (b *Balancer) pick(req *request) *backendState {
	gossiping := b.gossipsObservations()
	ch := choice{req: req, class: &b.classes[req.class], gossiping: gossiping,
		uncrowded:    b.limiter.sinceCut(b.now) > b.settings.SlowStartWindow,
		backendLimit: b.limiter.backendLimit(), closed: b.closedZones(req)}
	// Backends in slow start take up their share of the limit slowly. Most of the rest must not go to the warm ones,
	// which would be overloaded by it.
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

// available reports whether a backend may get the request at all, apart from ejections.
func (b *Balancer) available(ch *choice, backend *backendState) bool {
	if ch.closed != nil && ch.closed[max(backend.Zone, 0)] || ch.protectWarm && !backend.warmingUp {
		return false
	}
	return backend.State == Up && b.mayAttempt(ch.req, backend) && (backend != ch.req.lastFailed || b.up <= 1) &&
		!backend.rejecting(b.now) && float64(len(backend.outstanding)) < ch.backendLimit &&
		b.hasSlowStartBudget(backend, ch.req)
}

// offer adds a backend to the candidates, as an idle or a busy one. A zone that is much farther than the nearest has no
// idle backends.
func (b *Balancer) offer(found *candidates, ch *choice, backend *backendState) {
	load := float64(len(backend.outstanding))
	if !backend.answeredSinceStart {
		load = max(load, float64(b.inFlight)/float64(b.up)) // a new backend counts at the mean, which prevents a rush
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

// idleWeight is the weight of an idle backend in the random choice.
func (b *Balancer) idleWeight(ch *choice, backend *backendState, ratio float64) float64 {
	// Departure: an even choice among idle backends would load slow ones as much as fast ones. Each is weighted by the
	// inverse cube of its latency ratio. This has an effect when speeds differ.
	weight := 1 / (ratio * ratio * ratio)
	// Departure: if requests for a key were spread over all backends, the key would be new to most backends that it
	// meets. The few idle ones closest to the key, the same at every agent, serve it with less work.
	proximity := b.proximity(backend)
	weight *= proximity
	if key := ch.req.affinityKey; b.settings.KeyAffinity && key != 0 {
		distance := backend.keyDistance(key)
		weight *= proximity / (distance * distance) // else the backend closest to a key in any zone would win
	}
	if ch.gossiping {
		weight *= ratio * ratio // all agents know the same: the cube would send all traffic to the same few
		if backend.recovering() {
			weight *= recoveringBias // all agents together must not try it at once
		}
	}
	if ch.uncrowded { // under load the slow-start budget keeps a starting backend to its share
		weight *= b.slowStart.guaranteedWarmth(&backend.slowStartState, b.now)
	}
	return weight
}

// proximity is the weight of an idle backend for its location. It falls with the cost of crossing zones, and rises
// again in proportion as answers from the own zone take longer. It is 1 where crossing has no cost, and for a while
// after the limit was cut: then a backend that knows a key counts for more, wherever it is.
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
