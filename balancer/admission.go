package balancer

// Admission: the concurrency limit that follows latency, this agent's share of it (quota), and which queued requests
// are sent, wait or are refused while the limit binds.

import (
	"time"
)

const (
	queueMargin      = 2.0  // a queued request is refused when fewer than so many mean latencies remain
	maxQueueMargin   = 0.75 // but may always wait until this share of its objective remains
	clientRetryValue = 0.1  // value of a client's retry relative to a first attempt: most of its objective has passed
)

// admitQueued sends queued requests while there is capacity: first attempts before clients' retries, the class of the
// highest marginal value first, and in a class the newest first. Waiting here costs the backends nothing. A request is
// refused when an answer within its objective is out of reach.
func (b *Balancer) admitQueued() {
	if b.queue.empty() {
		return
	}
	b.classes.recomputeValues(&b.settings)
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
	b.queue.newestFirst(b.waitOrRefuse)
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

// waitOrRefuse refuses a queued request that is a client's retry, can't be answered within its objective, or has no
// permitted backend. Any other keeps waiting, until its timer at the latest.
func (b *Balancer) waitOrRefuse(req *request) {
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
		above, total := b.classes.arrivingWork(req.class)
		return b.credit.covers(b.classes[req.class].latency, above, total)
	}
	return b.limiter.allows(b.inUse(), b.capacity)
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

// recomputeQuota updates this agent's share of the concurrency limit.
func (b *Balancer) recomputeQuota() {
	b.limiter.assignQuota(b.peers.quota(b.demand.steady(b.now), b.assignedQuota, b.now))
}
