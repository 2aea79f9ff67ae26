package balancer

// Statistics from attempts: how outcomes, overdue attempts and peers' observations change the state of zones, backends,
// classes and the concurrency limit.

import "time"

const (
	overdueObjectives = 0.6 // an attempt is overdue after this part of its objective
	overdueLatencies  = 3.0 // or after this many expected latencies, if that is later
)

// recordOutcome records the outcome of an attempt, for the zone first and then for the backend.
func (b *Balancer) recordOutcome(req *request, a *attempt, outcome Outcome) {
	backend, class, latency := a.backend, &b.classes[req.class], float64(outcome.Latency)
	switch outcome.Result {
	case TimedOut, ConnectFailed:
		if outcome.Result == TimedOut || outcome.Latency >= b.settings.ConnectTimeout { // a refused connection is a response
			b.recordUnanswered(a, outcome.Result)
		}
		if b.zone(backend).failedOver {
			return // the whole zone is unresponsive, not just this backend
		}
	case OK, Rejected, Errored, Reset:
		b.recordZoneResponse(backend)
	}
	switch outcome.Result {
	case OK:
		b.recordSuccess(req, a, latency)
	case Rejected:
		b.recordRejection(backend, class, outcome.NewConnection)
	case TimedOut:
		b.recordTimeout(a, class, latency)
	case Errored, ConnectFailed, Reset:
		b.recordFailure(a, class, outcome.Result)
	}
}

// recordSuccess records a successful response and its latency, in ns.
func (b *Balancer) recordSuccess(req *request, a *attempt, latency float64) {
	backend, class := a.backend, &b.classes[req.class]
	// The backend responds again before the endpoint list shows its restart: treat it as just started.
	if backend.presumedDead && backend.startedBefore(a.sentAt) {
		b.beginSlowStart(backend, b.now)
	}
	b.subset.grow()
	backend.recordResponse()
	backend.clearPresumedDead()
	backend.outlierState.recordFailure(0)
	backend.outlierState.recordSuccess(b.now)
	warmth, rawLatency := b.warmth(backend), latency
	latency = max(latency*warmth, min(latency, a.expected)) // without slow start: the excess over expected is queueing
	b.throughput.add(b.now, b.expectedLatency(req)/class.latency/warmth)
	b.zone(backend).recordLatencyRatio(min(latency/a.expected, maxLatencyRatio))
	b.recordObservation(observeLatency(backend.gossipKey, latency/a.expected, b.now))
	meanWorkLatency := class.meanWorkLatency(latency, req.work)
	class.recordLatency(meanWorkLatency)
	if !a.countedLate {
		if ratio := min(rawLatency/a.expected, maxLatencyRatio); warmth < 1 { // slow start raises this ratio
			b.slowStart.recordRatio(ratio, b.kindRatios.of(req.class, backend.Kind), warmth)
		} else if !backend.warmingUp {
			b.kindRatios.recordRatio(req.class, backend.Kind, ratio)
		}
		backend.recordLatency(latency / a.expected / b.kindRatios.of(req.class, backend.Kind))
		// The latency of a slow backend is scaled down: it shows little about the load of the others.
		b.adjustLimit(min(latency, meanWorkLatency) / max(1, backend.latencyRatio) / float64(class.LatencyObjective))
	}
}

// recordRejection records a rejected attempt. A rejected connection indicates the backend's connection limit, not a
// queue.
func (b *Balancer) recordRejection(backend *backendState, class *classState, newConnection bool) {
	backend.outlierState.recordFailure(0)
	backend.rejectUntil(b.now + time.Duration(b.rng.Float64()*class.latency))
	if newConnection {
		b.subset.shrink()
		return
	}
	backend.recordLatency(lateLatencyRatio) // its queue is longer than the queues of backends that accept
	b.adjustLimit(1)
}

// recordTimeout records an attempt that timed out.
func (b *Balancer) recordTimeout(a *attempt, class *classState, latency float64) {
	backend := a.backend
	if !a.countedLate {
		backend.outlierState.recordTimeout()
	}
	// If no response at all has arrived since the send, the cause is neither one slow request nor a queue. With gossip,
	// slow responses that many agents observe add up, so the backend counts as unresponsive only after several
	// time-outs in a row.
	if (backend.unresponsive() || !b.gossipsObservations()) && !backend.succeededSince(a.sentAt) {
		b.ejectOnFailure(backend, a, class)
	} else if !a.countedLate {
		b.adjustLimit(max(1, latency/float64(class.LatencyObjective)))
		backend.recordLatency(latency / a.expected) // lower bound of its latency
		b.recordObservation(observation{backend.gossipKey, valueLate, b.now})
	}
}

// recordFailure records a failed attempt. It ejects the backend when its consecutive failures are improbable at the
// baseline failure rate of the backends. When a process dies, all its outstanding attempts break and new connections
// are refused; a backend with these signs counts as just started once it responds again.
func (b *Balancer) recordFailure(a *attempt, class *classState, result Result) {
	backend := a.backend
	backend.outlierState.recordFailure(1)
	baseline := baselineFailureRate(b.backends)
	if result == Reset {
		baseline = max(baseline, baselineResetRate)
	}
	if backend.failsBeyondChance(baseline, ejectProbability) {
		b.ejectOnFailure(backend, a, class)
	}
	if result != Errored && backend.idle() && backend.failsBeyondChance(baseline, deadProbability) {
		b.markUnstable(backend)
		backend.presumeDead()
	}
}

// adjustLimit updates the concurrency limit with one latency sample, relative to the objective.
func (b *Balancer) adjustLimit(sample float64) {
	b.limiter.adjust(sample, b.now, time.Duration(b.classes[0].latency), b.inUse(), b.capacity)
}

// ejectOnFailure ejects a backend after a failed attempt. Departure: a backend that fails fast is always idle and would
// attract all traffic. The first improbable failure ejects, since errors are rare at healthy backends. Attempts sent
// before the latest ejection have no effect.
func (b *Balancer) ejectOnFailure(backend *backendState, a *attempt, class *classState) {
	if !backend.ejectedAfter(a.sentAt) {
		b.recordObservation(observation{backend.gossipKey, valueFailed, b.now})
		b.eject(backend, class.LatencyObjective)
	}
}

// eject takes a backend out of ordinary traffic. The first ejection lasts about one unit of time, later ejections last
// longer.
func (b *Balancer) eject(backend *backendState, unit time.Duration) {
	b.markUnstable(backend)
	backend.outlierState.eject(b.now, unit, b.rng.Float64())
}

// onOverdue records an attempt without an outcome as unanswered when its overdue timer fires, and as slow unless its
// zone is failed over. With a sparse quota, the attempt also counts as late. Departure: an agent with a sparse quota
// gets few responses, and in an overloaded fleet they arrive after the clients' timeouts, too late to act on.
func (b *Balancer) onOverdue(a *attempt) {
	if !a.open || a.untimed {
		return
	}
	b.recordUnanswered(a, TimedOut)
	if b.zone(a.backend).failedOver {
		return
	}
	a.backend.recordLatency(lateLatencyRatio)
	if b.sparseQuota() {
		a.countedLate = true
		a.backend.outlierState.recordTimeout()
		b.recordObservation(observation{a.backend.gossipKey, valueLate, b.now})
		b.adjustLimit(1)
	}
}

// applyObservation records a peer's observation, unless the balancer has an observation of the backend that is at least
// as new. The same observation arrives by many paths, and if each copy counted, every backend would seem slow.
func (b *Balancer) applyObservation(obs observation) {
	backend := b.byGossipKey[obs.key]
	if backend == nil || backend.State != Up || !backend.startedBefore(obs.observedAt) || obs.observedAt <= backend.observedAt {
		return
	}
	switch {
	case obs.value == valueFailed:
		if !backend.succeededSince(obs.observedAt) && !backend.ejectedSince(obs.observedAt) {
			b.eject(backend, b.maxObjective)
		}
	case obs.value == valueLate:
		backend.outlierState.recordTimeout()
		backend.recordLatency(lateLatencyRatio)
	default:
		backend.recordLatency(obs.ratio())
		backend.recordPeerSuccess(obs.observedAt)
	}
	b.recordObservation(obs)
}
