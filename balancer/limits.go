package balancer

// What may be in flight: the limit that follows the delay, each agent's part of it, and who waits, leaves
// or is refused while it binds.

import (
	"time"
)

const (
	targetLatencyRatio      = 0.35 // mean latency, as a share of the aim, above which less is kept in flight
	targetLatencyRatioAlone = 0.6  // the same for a thin agent without peers: full servers met by chance count as delay
	limitDecrease           = 0.9  // one cut of the in-flight limit
	limitIncrease           = 4.0  // and its growth, in attempts per backend for as many answers as the mean spans, at no delay
	creditBurst             = 4.0  // mean requests that may go out ahead of the credit
	maxCreditPerRequest     = 2.0  // what a first try brings at most, in its own work: retries need some too
	initialLimitPerBackend  = 6.0  // in-flight limit at the start, for all agents together per backend
	minLimitPerBackend      = 4.0  // and the least it falls to: less would leave cores idle
	maxBackendShares        = 3.0  // no backend holds more than so many mean shares of the limit
	queueMargin             = 2.0  // a held request leaves when fewer than so many mean latencies remain to its aim
	maxQueueMargin          = 0.75 // of the aim; a request may always be held for the rest of it
	headcountShare          = 0.25 // part of the limit that is shared out by head count, the rest by traffic
	clientRetryValue        = 0.1  // value of a client's repeat against a first try: most of its aim has passed
)

// admitQueued sends what is held while there is room: first tries before clients' repeats, the
// most valuable class first, within it the newest. Waiting here costs the backends nothing; it
// ends when an answer within the aim is out of reach.
func (b *Balancer) admitQueued() {
	if len(b.queue) == 0 {
		return
	}
	for i := range b.classes {
		b.classes[i].marginalValue = b.marginalValue(i)
	}
	for {
		best, bestValue := -1, 0.0
		for i, req := range b.queue {
			if req.skipped {
				continue
			}
			value := b.classes[req.class].marginalValue
			if req.clientRetry {
				value *= clientRetryValue
			}
			if b.residencyBound(req) {
				value *= boundValueFactor
			}
			if req.objectiveAt-b.now < time.Duration(b.expectedLatency(req)/2) {
				value *= b.classes[req.class].LateWeight
			}
			if best < 0 || value >= bestValue {
				best, bestValue = i, value
			}
		}
		if best < 0 || !b.hasCapacity(b.queue[best]) {
			break
		}
		req := b.queue[best]
		backend := b.choose(req)
		if backend != nil {
			b.dequeue(req)
			b.send(req, backend)
			continue
		}
		for _, other := range b.queue { // nor is there one for others like it
			other.skipped = other.skipped || other == req ||
				other.class == req.class && other.unconstrained() && req.unconstrained()
		}
	}
	for i := len(b.queue) - 1; i >= 0; i-- {
		req := b.queue[i]
		margin := min(queueMargin*b.expectedLatency(req), maxQueueMargin*float64(b.classes[req.class].LatencyObjective))
		giveUpAt := min(req.objectiveAt, req.deadline) - time.Duration(margin)
		req.skipped = false
		if b.residencyBound(req) {
			b.reserveZones(req)
		}
		if req.clientRetry || giveUpAt <= b.now || !b.hasPermittedBackend(req) {
			b.dequeue(req)
			b.finish(req)
		} else if req.timer == 0 {
			b.setRequestTimer(req, giveUpAt)
		}
	}
}

// hasCapacity reports whether one more attempt may go out. A thin agent seldom has two requests to
// choose from, so each class leaves credit for the more valuable ones, by their share of arrivals.
func (b *Balancer) hasCapacity(req *request) bool {
	if b.sparseQuota() {
		above, total := 0.0, 0.0
		for _, class := range b.classes {
			if total += class.arrivals * class.latency; class.marginalValue > b.classes[req.class].marginalValue {
				above += class.arrivals * class.latency
			}
		}
		return b.credit > creditBurst*b.classes[req.class].latency*above/max(total, 1)
	}
	return float64(b.inFlight-b.uncountedOutstanding) < b.limit()
}

// sparseQuota reports whether an even part of the in-flight limit is less than one: too small to be counted out.
// Departure: many agents that may each have one attempt in flight have too many together.
// There an agent admits by credit instead: each first try brings its own work times the
// square of aimed over present delay, each attempt takes its work. All agents see one
// fleet's delay, so that all admit the same part of what they are asked, however much that is.
func (b *Balancer) sparseQuota() bool {
	return b.settings.Balancers > 1 && initialLimitPerBackend*float64(b.up) < float64(b.settings.Balancers)
}

// gossipsObservations reports whether thin agents pass notes: what one of them saw, all know soon.
func (b *Balancer) gossipsObservations() bool { return b.settings.GossipAllowed && b.sparseQuota() }

// accrueCredit adds what a first try brings to the credit of a thin agent.
func (b *Balancer) accrueCredit(req *request) {
	factor := targetLatencyRatioAlone / max(b.latencyRatio, 1e-9)
	if b.gossipsObservations() {
		factor *= targetLatencyRatio / targetLatencyRatioAlone
	}
	b.credit = min(b.credit+b.expectedLatency(req)*min(factor*factor, maxCreditPerRequest),
		creditBurst*b.classes[req.class].latency)
}

// adjustLimit moves the limit on attempts in flight by the latency seen, as a share of the aim: down
// when the running mean passes the aimed share, up while it binds, by the square of what is left to
// it: when a zone is lost the others have to take its part within seconds, and near the aimed delay one
// step too many turns backends slow. Departure: beyond it requests are held, then refused, since a
// queue that outlasts the aims serves nobody. The floor, a few
// attempts per backend, keeps a fleet in use that is slow without a queue.
func (b *Balancer) adjustLimit(sample float64) {
	// The mean spans what is in flight at once: over less, chance would cut a busy agent's limit.
	weight := min(smoothing, 1/b.limit())
	b.latencyRatio += weight * (min(sample, 2) - b.latencyRatio)
	switch {
	case b.latencyRatio > targetLatencyRatio && b.now-b.limitCutAt > time.Duration(b.classes[0].latency):
		b.limitPerBackend = max(minLimitPerBackend, b.limitPerBackend*min(limitDecrease, targetLatencyRatio/b.latencyRatio))
		b.limitCutAt = b.now
	case b.latencyRatio < targetLatencyRatio && float64(b.inFlight-b.uncountedOutstanding)+1 >= b.limit()*0.9:
		headroom := 1 - b.latencyRatio/targetLatencyRatio
		b.limitPerBackend += limitIncrease * weight * headroom * headroom // no faster than the delay is seen
	}
}

// limit is what may be in flight now; it follows the list as the fleet grows and shrinks,
// and a cold backend counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.limitPerBackend*b.quota*b.capacity) }

// recomputeQuota reckons this agent's share of the limit.
func (b *Balancer) recomputeQuota() {
	sampled := b.settings.Balancers-1 > gossipFanout
	total, known, agents := b.steadyDemand(), 1.0, float64(b.settings.Balancers)
	for _, peer := range b.peers {
		if b.now < peer.validUntil && peer.drainedDemand == 0 {
			total += peer.demand
			known++
		} else if peer.validUntil > 0 && !sampled {
			agents-- // it has stopped, or is emptied, and its clients go elsewhere
		}
	}
	if b.assignedQuota > 0 { // who is there is known: an even part of all who are
		agents = 1 / b.assignedQuota
	}
	if b.quota = 1 / agents; total > 0 {
		b.quota = (headcountShare + (1-headcountShare)*b.steadyDemand()/total*known) / agents
	}
}
