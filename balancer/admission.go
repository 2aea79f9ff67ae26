package balancer

// Admission: the concurrency limit that follows latency, this agent's share of it (quota), and which queued requests
// are sent, wait or are refused while the limit binds.

import (
	"time"
)

const (
	targetLatencyRatio      = 0.35 // target for mean latency relative to the objective; above it the limit is cut
	targetLatencyRatioAlone = 0.6  // the same for a sparse quota without gossip, where chance rejections count as latency
	limitDecrease           = 0.9  // factor of one cut
	limitIncrease           = 4.0  // growth, in attempts per backend for each mean of answers, at zero latency
	creditBurst             = 4.0  // mean requests that may be sent ahead of the credit
	maxCreditPerRequest     = 2.0  // largest credit of a first attempt, in its own work: retries need some too
	initialLimitPerBackend  = 6.0  // limit at the start, for all agents together per backend
	minLimitPerBackend      = 4.0  // lower bound of the limit: less would leave cores idle
	maxBackendShares        = 3.0  // a backend gets no more than so many times its even share of the limit
	queueMargin             = 2.0  // a queued request is refused when fewer than so many mean latencies remain
	maxQueueMargin          = 0.75 // but may always wait until this share of its objective remains
	headcountShare          = 0.25 // part of the limit that is shared evenly, the rest by demand
	clientRetryValue        = 0.1  // value of a client's retry relative to a first attempt: most of its objective has passed
)

// admitQueued sends queued requests while there is capacity: first attempts before clients' retries, the class of the
// highest marginal value first, and in a class the newest first. Waiting here costs the backends nothing. A request is
// refused when an answer within its objective is out of reach.
func (b *Balancer) admitQueued() {
	if b.queue.empty() {
		return
	}
	for i := range b.classes {
		b.classes[i].marginalValue = b.marginalValue(i)
	}
	for {
		req := b.queue.next(b.admissionValue)
		if req == nil || !b.hasCapacity(req) {
			break
		}
		if backend := b.choose(req); backend != nil {
			b.queue.remove(req)
			b.send(req, backend)
		} else {
			b.queue.skip(req)
		}
	}
	b.queue.newestFirst(b.keepOrRefuse)
}

// admissionValue is what sending a queued request now adds to the operator's goal, per unit of work.
func (b *Balancer) admissionValue(req *request) float64 {
	class := &b.classes[req.class]
	value := class.marginalValue
	if req.clientRetry {
		value *= clientRetryValue
	}
	if b.residencyBound(req) {
		value *= boundValueFactor
	}
	if req.objectiveAt-b.now < time.Duration(b.expectedLatency(req)/2) {
		value *= class.LateWeight
	}
	return value
}

// keepOrRefuse refuses a queued request that is a client's retry, can't be answered within its objective, or has no
// permitted backend. Any other keeps waiting, until its timer at the latest.
func (b *Balancer) keepOrRefuse(req *request) {
	margin := min(queueMargin*b.expectedLatency(req), maxQueueMargin*float64(b.classes[req.class].LatencyObjective))
	giveUpAt := min(req.objectiveAt, req.deadline) - time.Duration(margin)
	if b.residencyBound(req) {
		b.reserveZones(req)
	}
	if req.clientRetry || giveUpAt <= b.now || !b.hasPermittedBackend(req) {
		b.queue.remove(req)
		b.finish(req)
	} else if req.timer == 0 {
		b.setRequestTimer(req, giveUpAt)
	}
}

// hasCapacity reports whether one more attempt may be sent. With a sparse quota there are seldom two requests to
// choose from, so each class leaves credit for the more valuable ones, in proportion to their share of the arriving
// work.
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

// sparseQuota reports whether an even share of the concurrency limit is less than one attempt, so that counting
// attempts does not work. Departure: many agents with one attempt each have too many together. Such an agent admits by
// credit instead: each first attempt brings its own work times the square of target latency over present latency, and
// each attempt sent takes its work. All agents see the latency of one fleet, so all admit the same share of their
// demand, however high it is.
func (b *Balancer) sparseQuota() bool {
	return b.settings.Balancers > 1 && initialLimitPerBackend*float64(b.up) < float64(b.settings.Balancers)
}

// gossipsObservations reports whether agents exchange observations: with sparse quotas what one agent saw is known to
// all soon.
func (b *Balancer) gossipsObservations() bool { return b.settings.GossipAllowed && b.sparseQuota() }

// accrueCredit adds the credit that a first attempt brings to an agent with a sparse quota.
func (b *Balancer) accrueCredit(req *request) {
	factor := targetLatencyRatioAlone / max(b.latencyRatio, 1e-9)
	if b.gossipsObservations() {
		factor *= targetLatencyRatio / targetLatencyRatioAlone
	}
	b.credit = min(b.credit+b.expectedLatency(req)*min(factor*factor, maxCreditPerRequest),
		creditBurst*b.classes[req.class].latency)
}

// adjustLimit moves the concurrency limit by one latency sample, relative to the objective. The limit falls while the
// moving average is above the target. It grows while the limit binds, by the square of the distance to the target:
// when a zone is lost the others must take over its share within seconds, but close to the target one step too many
// overloads the backends. Departure: beyond the limit requests are queued and then refused, since a queue that
// outlasts the objectives serves nobody. The lower bound, a few attempts per backend, keeps a fleet in use that is
// slow but has no queues.
func (b *Balancer) adjustLimit(sample float64) {
	// The average spans what is in flight at once: over fewer samples, chance would cut a busy agent's limit.
	weight := min(smoothing, 1/b.limit())
	b.latencyRatio += weight * (min(sample, 2) - b.latencyRatio)
	switch {
	case b.latencyRatio > targetLatencyRatio && b.now-b.limitCutAt > time.Duration(b.classes[0].latency):
		b.limitPerBackend = max(minLimitPerBackend, b.limitPerBackend*min(limitDecrease, targetLatencyRatio/b.latencyRatio))
		b.limitCutAt = b.now
	case b.latencyRatio < targetLatencyRatio && float64(b.inFlight-b.uncountedOutstanding)+1 >= b.limit()*0.9:
		headroom := 1 - b.latencyRatio/targetLatencyRatio
		b.limitPerBackend += limitIncrease * weight * headroom * headroom // no faster than latency is observed
	}
}

// limit is the number of attempts that may be in flight now. It follows the endpoint list as the fleet grows and
// shrinks; a backend in slow start counts by its warmth.
func (b *Balancer) limit() float64 { return max(1, b.limitPerBackend*b.quota*b.capacity) }

// recomputeQuota computes this agent's share of the concurrency limit: a part evenly, the rest by demand.
func (b *Balancer) recomputeQuota() {
	sampled := b.settings.Balancers-1 > gossipFanout
	total, known, agents := b.steadyDemand(), 1.0, float64(b.settings.Balancers)
	for _, peer := range b.peers {
		if b.now < peer.validUntil && peer.drainedDemand == 0 {
			total += peer.demand
			known++
		} else if peer.validUntil > 0 && !sampled {
			agents-- // stopped or drained: its clients go elsewhere
		}
	}
	if b.assignedQuota > 0 { // the fleet size is known: an even share of it
		agents = 1 / b.assignedQuota
	}
	if b.quota = 1 / agents; total > 0 {
		b.quota = (headcountShare + (1-headcountShare)*b.steadyDemand()/total*known) / agents
	}
}
