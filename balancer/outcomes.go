package balancer

// Learning from attempts: what outcomes, overdue attempts and peers' observations tell about zones, backends, classes
// and the concurrency limit.

import "time"

const (
	overdueObjectives = 0.6 // an attempt is overdue after this part of its objective
	overdueLatencies  = 3.0 // or after so many expected latencies, if that is later
)

// recordOutcome learns from the outcome of an attempt: about the zone first, then about the backend.
func (b *Balancer) recordOutcome(req *request, a *attempt, outcome Outcome) {
	backend, class, latency := a.backend, &b.classes[req.class], float64(outcome.Latency)
	switch outcome.Result {
	case TimedOut, ConnectFailed:
		if outcome.Result == TimedOut || outcome.Latency >= b.settings.ConnectTimeout { // a refused connection is an answer
			b.recordSilence(a, outcome.Result)
		}
		if b.zone(backend).failedOver {
			return // the silence is the zone's, not this backend's
		}
	case OK, Rejected, Errored, Reset:
		b.recordZoneAnswer(backend)
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

// recordSuccess learns from an answer and its latency, in ns.
func (b *Balancer) recordSuccess(req *request, a *attempt, latency float64) {
	backend, class := a.backend, &b.classes[req.class]
	// The backend is back before the endpoint list says so: treat it as just started.
	if backend.presumedDead && backend.startedBefore(a.sentAt) {
		b.beginSlowStart(backend, b.now)
	}
	b.subset.grow()
	backend.answer()
	backend.revive()
	backend.outlierState.recordFailure(0)
	backend.outlierState.recordSuccess(b.now)
	warmth, rawLatency := b.warmth(backend), latency
	latency = max(latency*warmth, min(latency, a.expected)) // discount slow start: the rest is queueing
	b.throughput.add(b.now, b.expectedLatency(req)/class.latency/warmth)
	b.zone(backend).recordLatency(min(latency/a.expected, maxLatencyRatio))
	b.recordObservation(observeLatency(backend.gossipKey, latency/a.expected, b.now))
	meanWorkLatency := class.meanWorkLatency(latency, req.work)
	class.learnLatency(meanWorkLatency)
	if !a.countedLate {
		if ratio := min(rawLatency/a.expected, maxLatencyRatio); warmth < 1 { // relative to what warmth explains
			b.slowStart.learn(ratio, b.kindRatios.of(req.class, backend.Kind), warmth)
		} else if !backend.warmingUp {
			b.kindRatios.learn(req.class, backend.Kind, ratio)
		}
		backend.learnLatency(latency / a.expected / b.kindRatios.of(req.class, backend.Kind))
		// A backend known to be slow says little about the others.
		b.adjustLimit(min(latency, meanWorkLatency) / max(1, backend.latencyRatio) / float64(class.LatencyObjective))
	}
}

// recordRejection learns from a rejected attempt. A rejected connection indicates the backend's connection limit, not a
// queue.
func (b *Balancer) recordRejection(backend *backendState, class *classState, newConnection bool) {
	backend.outlierState.recordFailure(0)
	backend.rejectUntil(b.now + time.Duration(b.rng.Float64()*class.latency))
	if newConnection {
		b.subset.shrink()
		return
	}
	backend.learnLatency(lateLatencyRatio) // its queue is longer than that of backends that accept
	b.adjustLimit(1)
}

// recordTimeout learns from an attempt without an answer.
func (b *Balancer) recordTimeout(a *attempt, class *classState, latency float64) {
	backend := a.backend
	if !a.countedLate {
		backend.outlierState.recordTimeout()
	}
	// No answer since the send: that is more than a slow request, and not a queue. With gossip, slow answers of many
	// agents add up, so silence takes several time-outs in a row.
	if (backend.silent() || !b.gossipsObservations()) && !backend.answeredSince(a.sentAt) {
		b.ejectOnFailure(backend, a, class)
	} else if !a.countedLate {
		b.adjustLimit(max(1, latency/float64(class.LatencyObjective)))
		backend.learnLatency(latency / a.expected) // lower bound of its latency
		b.recordObservation(observation{backend.gossipKey, valueLate, b.now})
	}
}

// recordFailure judges a failure by its probability among backends that all fail now and then. Consecutive failures
// that chance does not explain eject the backend. When a process dies, all its outstanding attempts break and new
// connections are refused; such a backend counts as just started once it answers again.
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

// adjustLimit moves the concurrency limit by one latency sample, relative to the objective.
func (b *Balancer) adjustLimit(sample float64) {
	b.limiter.adjust(sample, b.now, time.Duration(b.classes[0].latency), b.inUse(), b.capacity)
}

// ejectOnFailure ejects a backend after a failed attempt. Departure: a backend that fails fast is always idle and would
// attract all traffic. It acts on the first improbable failure, since errors are rare where nothing is wrong. Attempts
// that were sent before the latest ejection add nothing.
func (b *Balancer) ejectOnFailure(backend *backendState, a *attempt, class *classState) {
	if !backend.ejectedAfter(a.sentAt) {
		b.recordObservation(observation{backend.gossipKey, valueFailed, b.now})
		b.eject(backend, class.LatencyObjective)
	}
}

// eject takes a backend out of ordinary traffic, at first for about the unit.
func (b *Balancer) eject(backend *backendState, unit time.Duration) {
	b.markUnstable(backend)
	backend.outlierState.eject(b.now, unit, b.rng.Float64())
}

// onOverdue counts an attempt as late when most of its objective has passed. Departure: an agent with a sparse quota
// gets few answers, and in an overloaded fleet they come after the clients' timeouts, too late to act on.
func (b *Balancer) onOverdue(a *attempt) {
	if !a.open || a.untimed {
		return
	}
	b.recordSilence(a, TimedOut)
	if b.zone(a.backend).failedOver {
		return
	}
	a.backend.learnLatency(lateLatencyRatio)
	if b.sparseQuota() {
		a.countedLate = true
		a.backend.outlierState.recordTimeout()
		b.recordObservation(observation{a.backend.gossipKey, valueLate, b.now})
		b.adjustLimit(1)
	}
}

// applyObservation learns from a peer's observation unless a newer one is known. The same observation arrives by many
// paths, and learning each copy would make every backend look slow.
func (b *Balancer) applyObservation(n observation) {
	backend := b.byGossipKey[n.key]
	if backend == nil || backend.State != Up || !backend.startedBefore(n.observedAt) || n.observedAt <= backend.observedAt {
		return
	}
	switch {
	case n.value == valueFailed:
		if !backend.answeredSince(n.observedAt) && !backend.ejectedSince(n.observedAt) {
			b.eject(backend, b.maxObjective)
		}
	case n.value == valueLate:
		backend.outlierState.recordTimeout()
		backend.learnLatency(lateLatencyRatio)
	default:
		backend.learnLatency(n.ratio())
		backend.recordPeerSuccess(n.observedAt)
	}
	b.recordObservation(n)
}
