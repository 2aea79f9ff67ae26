package balancer

// Admission: which queued requests are sent, wait or are refused, given the concurrency limit and this agent's
// share of that limit (quota). The limit depends on latency.

import (
	"time"
)

const (
	queueMargin      = 2.0  // a queued request is refused this many expected latencies before its objective or deadline
	maxQueueMargin   = 0.75 // upper bound of the margin before that time, as a share of the latency objective
	clientRetryValue = 0.1  // value of a client's retry relative to a first attempt: most of the objective has passed
)

// admitQueued sends queued requests while there is capacity: the request of the highest admission value first, and the
// newest first among equals. A queued request puts no load on the backends. A request that can no longer be answered
// within its objective is refused.
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
	b.queue.visitNewestFirst(b.waitOrRefuse)
}

// admissionValue returns what sending a queued request now adds to the operator's goal, per unit of work.
func (b *Balancer) admissionValue(req *request) float64 {
	class := &b.classes[req.class]
	value := class.marginalValue
	if req.clientRetry {
		value *= clientRetryValue
	}
	if b.residencyRestricted(req) {
		value *= restrictedValueFactor
	}
	if req.objectiveAt-b.now < time.Duration(b.expectedLatency(req)/2) {
		value *= class.LateWeight
	}
	return value
}

// waitOrRefuse refuses a queued request that is a client's retry, can't be answered within its objective, or has no
// permitted backend. Other requests keep waiting: a timer fires at the time at which waitOrRefuse would refuse them. A
// request under a residency restriction also reserves the zones that it may use.
func (b *Balancer) waitOrRefuse(req *request) {
	margin := min(queueMargin*b.expectedLatency(req), maxQueueMargin*float64(b.classes[req.class].LatencyObjective))
	refuseAt := min(req.objectiveAt, req.deadline) - time.Duration(margin)
	if b.residencyRestricted(req) {
		b.reserveZones(req)
	}
	if req.clientRetry || refuseAt <= b.now || !b.hasPermittedBackend(req) {
		b.queue.remove(req)
		b.finish(req)
	} else if req.timer == 0 {
		b.setRequestTimer(req, refuseAt)
	}
}

// hasCapacity reports whether one more attempt may be sent. With a sparse quota there are seldom two requests to
// choose from, so each class leaves credit for the more valuable classes, in proportion to their share of the arriving
// work.
func (b *Balancer) hasCapacity(req *request) bool {
	if b.sparseQuota() {
		above, total := b.classes.arrivingWork(req.class)
		return b.credit.covers(b.classes[req.class].latency, above, total)
	}
	return b.limiter.allows(b.inUse(), b.capacity)
}

// sparseQuota reports whether an even share of the initial concurrency limit is less than one attempt, so that a limit
// on the number of attempts does not work. Departure: if each of many agents has one attempt in flight, the fleet
// exceeds the limit. An agent with a sparse quota admits by credit instead: each first attempt adds its own work times
// the square of target latency over current latency, and each attempt sent subtracts its work. All agents measure the
// latency of the same fleet, so all admit the same share of their demand, however high the demand is.
func (b *Balancer) sparseQuota() bool {
	return b.settings.Balancers > 1 && initialLimitPerBackend*float64(b.up) < float64(b.settings.Balancers)
}

// gossipsObservations reports whether agents exchange observations, so that all agents soon have the same
// observations. Only agents with sparse quotas exchange them.
func (b *Balancer) gossipsObservations() bool { return b.settings.GossipAllowed && b.sparseQuota() }

// recomputeQuota updates this agent's share of the concurrency limit.
func (b *Balancer) recomputeQuota() {
	b.limiter.assignQuota(b.peers.quota(b.demand.steady(b.now), b.assignedQuota, b.now))
}
