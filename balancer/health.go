package balancer

// What outcomes and notes tell of a backend: how slow it is, whether it is ejected, whether it is silent.

import (
	"math"
	"time"
)

const (
	maxLatencyRatio   = 8.0  // one sample says at most that a backend is so many times slower than the mean
	failureScoreDecay = 0.25 // strikes that a served attempt takes back: one error in five keeps them growing
	maxFailureScore   = 5.0  // longest ejection is 2^(cap-1) times the first
	ejectProbability  = 0.03 // failures in a row that come with so little chance eject a backend ...
	deadProbability   = 1e-3 // ... and so little that its process died
	baselineResetRate = 0.04 // share of attempts that break one by one anywhere: two tell, and three of death
	silenceTimeouts   = 8    // time-outs in a row, here or told by peers, that are taken for silence
	overdueObjectives = 0.6  // of the aim: an attempt out for so long is overdue
	overdueLatencies  = 3.0  // or this many times the expected latency, if that is later
	lateLatencyRatio  = 3.0  // slowness that an overdue attempt counts for
)

// recordOutcome learns from the outcome of an attempt.
func (b *Balancer) recordOutcome(req *request, a *attempt, outcome Outcome) {
	backend, class, latency := a.backend, &b.classes[req.class], float64(outcome.Latency)
	switch outcome.Result {
	case TimedOut, ConnectFailed:
		if outcome.Result == TimedOut || outcome.Latency >= b.settings.ConnectTimeout { // one that is refused was heard
			b.recordSilence(a, outcome.Result)
		}
		if b.zone(backend).failedOver {
			return // the zone's silence, not this backend's
		}
	case OK, Rejected, Errored, Reset:
		b.recordZoneAnswer(backend)
	}
	switch outcome.Result {
	case OK:
		if backend.presumedDead && backend.slowStartAt < a.sentAt { // it came back before the list told: treat it as just started
			b.beginSlowStart(backend, b.now)
		}
		backend.presumedDead, backend.answeredSinceStart, b.subsetScale = false, true, min(1, b.subsetScale*subsetIncrease)
		backend.recordFailure(0)
		warmth, rawLatency := b.warmth(backend), latency
		latency = max(latency*warmth, min(latency, a.expected)) // a cold one is slow by that: the rest tells of its queue
		b.served.add(b.now, b.expectedLatency(req)/class.latency/warmth)
		b.zone(backend).latencyRatio = ewma(b.zone(backend).latencyRatio, min(latency/a.expected, maxLatencyRatio))
		backend.failureScore = max(0, backend.failureScore-failureScoreDecay)
		backend.lastSuccessAt, backend.consecutiveTimeouts = b.now, 0
		value := byte(min(latency/a.expected, maxLatencyRatio-0.1) * ratioSteps)
		b.recordObservation(observation{backend.gossipKey, value, b.now})
		meanWorkLatency := latency // for mean work: a heavy request tells of no queue
		if req.work > 0 && class.meanWork > 0 {
			meanWorkLatency *= class.meanWork / req.work
		}
		class.latency = ewma(class.latency, max(meanWorkLatency, 1))
		if !a.countedLate {
			kindRatio := b.kindLatencyRatio(backend, req.class)
			if ratio := min(rawLatency/a.expected, maxLatencyRatio); warmth < 1 { // as slow as its warmth tells, in the mean
				b.warmUpRatio = min(1, max(1/maxLatencyRatio, b.warmUpRatio*(1+smoothing*(ratio / *kindRatio * warmth - 1))))
			} else if !backend.warmingUp {
				*kindRatio += smoothing * (ratio - *kindRatio)
			}
			b.learnLatencyRatio(backend, latency/a.expected / *kindRatio)
			// a slow one says little of the rest
			b.adjustLimit(min(latency, meanWorkLatency) / max(1, backend.latencyRatio) / float64(class.LatencyObjective))
		}
	case Rejected:
		backend.recordFailure(0)
		backend.rejectingUntil = b.now + time.Duration(b.rng.Float64()*class.latency)
		if outcome.NewConnection { // it holds as many connections as it may: that tells of no queue
			b.subsetScale *= subsetDecrease
			return
		}
		b.learnLatencyRatio(backend, lateLatencyRatio) // its queue is longer than those that took what came
		b.adjustLimit(1)
	case TimedOut:
		if !a.countedLate {
			backend.consecutiveTimeouts++
		}
		// Nothing came back since: more than a slow request, and no queue. Where all tell all, slow
		// answers add up, and silence takes several in a row.
		if (backend.consecutiveTimeouts >= silenceTimeouts || !b.gossipsObservations()) && backend.lastSuccessAt < a.sentAt {
			b.ejectOnFailure(backend, a, class)
		} else if !a.countedLate {
			b.adjustLimit(max(1, latency/float64(class.LatencyObjective)))
			b.learnLatencyRatio(backend, latency/a.expected) // at least so slow
			b.recordObservation(observation{backend.gossipKey, valueLate, b.now})
		}
	case Errored, ConnectFailed, Reset:
		b.judgeFailure(backend, a, class, outcome.Result)
	}
}

// judgeFailure judges a failure by how likely it is where all backends fail now and then. What fails in
// a row by more than chance is ejected; a process that dies breaks all that is out there, and then
// refuses connections, and counts as just started once it answers again.
func (b *Balancer) judgeFailure(backend *backendState, a *attempt, class *classState, result Result) {
	backend.recordFailure(1)
	baseline := baselineFailureRate(b.backends)
	if result == Reset {
		baseline = max(baseline, baselineResetRate)
	}
	if math.Pow(baseline, backend.consecutiveFailures) < ejectProbability {
		b.ejectOnFailure(backend, a, class)
	}
	if result != Errored && len(backend.outstanding) == 0 && math.Pow(baseline, backend.consecutiveFailures) < deadProbability {
		b.markUnstable(backend)
		backend.presumedDead = true
	}
}

// ejectOnFailure ejects a backend for a while that doubles with each further strike. Departure: one that
// fails fast is always idle and would draw all traffic. It acts on the first error, since errors
// are rare where nothing is wrong; what was sent before the last strike adds nothing.
func (b *Balancer) ejectOnFailure(backend *backendState, a *attempt, class *classState) {
	if a.sentAt >= backend.ejectedAt {
		b.recordObservation(observation{backend.gossipKey, valueFailed, b.now})
		b.eject(backend, class.LatencyObjective)
	}
}

// onOverdue counts an attempt that is out for most of its aim as late now. Departure: a thin agent
// has few answers, and those of a crowded fleet come after its clients' patience: too late to act.
func (b *Balancer) onOverdue(a *attempt) {
	if !a.open || a.untimed {
		return
	}
	b.recordSilence(a, TimedOut)
	if b.zone(a.backend).failedOver {
		return
	}
	b.learnLatencyRatio(a.backend, lateLatencyRatio)
	if b.sparseQuota() {
		a.countedLate = true
		a.backend.consecutiveTimeouts++
		b.recordObservation(observation{a.backend.gossipKey, valueLate, b.now})
		b.adjustLimit(1)
	}
}

func (b *Balancer) eject(backend *backendState, unit time.Duration) {
	b.markUnstable(backend)
	backend.failureScore = min(backend.failureScore+1, maxFailureScore)
	backend.ejectedAt = b.now
	backend.ejectedUntil = b.now + time.Duration(math.Exp2(backend.failureScore-1)*(0.75+0.5*b.rng.Float64())*float64(unit))
}

// eligible reports whether t may get r as ordinary traffic. After an ejection it gets one attempt
// at a time until healed, of unsafe requests only where no others came for as long again.
func (b *Balancer) eligible(backend *backendState, req *request) bool {
	return b.now >= backend.ejectedUntil && (backend.failureScore == 0 || len(backend.outstanding) == 0 &&
		(b.classes[req.class].Idempotency != NonIdempotent || b.now >= 2*backend.ejectedUntil-backend.ejectedAt))
}

// applyObservation takes in a peer's note unless something newer is known: the same one comes by many
// ways, and to learn it each time would make every server look slow.
func (b *Balancer) applyObservation(n observation) {
	backend := b.byGossipKey[n.key]
	if backend == nil || backend.State != Up || n.observedAt <= backend.slowStartAt || n.observedAt <= backend.observedAt {
		return
	}
	switch {
	case n.value == valueFailed:
		if n.observedAt > backend.lastSuccessAt && n.observedAt > backend.ejectedAt {
			b.eject(backend, b.maxObjective)
		}
	case n.value == valueLate:
		backend.consecutiveTimeouts++
		b.learnLatencyRatio(backend, lateLatencyRatio)
	default:
		b.learnLatencyRatio(backend, float64(n.value)/ratioSteps)
		backend.lastSuccessAt, backend.consecutiveTimeouts = max(backend.lastSuccessAt, n.observedAt), 0
		if n.observedAt > backend.ejectedAt {
			backend.failureScore = max(0, backend.failureScore-failureScoreDecay)
		}
	}
	b.recordObservation(n)
}
