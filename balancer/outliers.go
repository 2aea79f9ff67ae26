package balancer

// Outlier detection: what outcomes and observations tell about a backend, how slow it is, whether it is ejected and
// whether its process has died.

import (
	"math"
	"time"
)

const (
	maxLatencyRatio   = 8.0  // bound of one latency sample, relative to the mean
	failureScoreDecay = 0.25 // part of the score that a success takes back: one error in five keeps it growing
	maxFailureScore   = 5.0  // longest ejection is 2^(max-1) times the first
	ejectProbability  = 0.03 // consecutive failures with less probability by chance eject a backend
	deadProbability   = 1e-3 // and with less than this its process is presumed dead
	baselineResetRate = 0.04 // least share of resets by chance: two in a row eject, three mean death
	silenceTimeouts   = 8    // consecutive time-outs, here or observed by peers, that mean silence
	overdueObjectives = 0.6  // an attempt is overdue after this part of its objective
	overdueLatencies  = 3.0  // or after so many expected latencies, if that is later
	lateLatencyRatio  = 3.0  // latency ratio that an overdue attempt counts as
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
		// The backend is back before the endpoint list says so: treat it as just started.
		if backend.presumedDead && backend.slowStartAt < a.sentAt {
			b.beginSlowStart(backend, b.now)
		}
		backend.presumedDead, backend.answeredSinceStart, b.subsetScale = false, true, min(1, b.subsetScale*subsetIncrease)
		backend.recordFailure(0)
		warmth, rawLatency := b.warmth(backend), latency
		latency = max(latency*warmth, min(latency, a.expected)) // discount slow start: the rest is queueing
		b.served.add(b.now, b.expectedLatency(req)/class.latency/warmth)
		b.zone(backend).latencyRatio = ewma(b.zone(backend).latencyRatio, min(latency/a.expected, maxLatencyRatio))
		backend.failureScore = max(0, backend.failureScore-failureScoreDecay)
		backend.lastSuccessAt, backend.consecutiveTimeouts = b.now, 0
		value := byte(min(latency/a.expected, maxLatencyRatio-0.1) * ratioSteps)
		b.recordObservation(observation{backend.gossipKey, value, b.now})
		meanWorkLatency := latency // scaled to mean work: an expensive request does not indicate a queue
		if req.work > 0 && class.meanWork > 0 {
			meanWorkLatency *= class.meanWork / req.work
		}
		class.latency = ewma(class.latency, max(meanWorkLatency, 1))
		if !a.countedLate {
			kindRatio := b.kindLatencyRatio(backend, req.class)
			if ratio := min(rawLatency/a.expected, maxLatencyRatio); warmth < 1 { // relative to what warmth explains
				b.warmUpRatio = min(1, max(1/maxLatencyRatio, b.warmUpRatio*(1+smoothing*(ratio / *kindRatio * warmth - 1))))
			} else if !backend.warmingUp {
				*kindRatio += smoothing * (ratio - *kindRatio)
			}
			b.learnLatencyRatio(backend, latency/a.expected / *kindRatio)
			// a backend known to be slow says little about the others
			b.adjustLimit(min(latency, meanWorkLatency) / max(1, backend.latencyRatio) / float64(class.LatencyObjective))
		}
	case Rejected:
		backend.recordFailure(0)
		backend.rejectingUntil = b.now + time.Duration(b.rng.Float64()*class.latency)
		if outcome.NewConnection { // its connection limit, not a queue
			b.subsetScale *= subsetDecrease
			return
		}
		b.learnLatencyRatio(backend, lateLatencyRatio) // its queue is longer than that of backends that accept
		b.adjustLimit(1)
	case TimedOut:
		if !a.countedLate {
			backend.consecutiveTimeouts++
		}
		// No answer since the send: that is more than a slow request, and not a queue. With gossip, slow answers of
		// many agents add up, so silence takes several time-outs in a row.
		if (backend.consecutiveTimeouts >= silenceTimeouts || !b.gossipsObservations()) && backend.lastSuccessAt < a.sentAt {
			b.ejectOnFailure(backend, a, class)
		} else if !a.countedLate {
			b.adjustLimit(max(1, latency/float64(class.LatencyObjective)))
			b.learnLatencyRatio(backend, latency/a.expected) // lower bound of its latency
			b.recordObservation(observation{backend.gossipKey, valueLate, b.now})
		}
	case Errored, ConnectFailed, Reset:
		b.judgeFailure(backend, a, class, outcome.Result)
	}
}

// adjustLimit moves the concurrency limit by one latency sample, relative to the objective.
func (b *Balancer) adjustLimit(sample float64) {
	b.limiter.adjust(sample, b.now, time.Duration(b.classes[0].latency), b.inUse(), b.capacity)
}

// judgeFailure judges a failure by its probability among backends that all fail now and then. Consecutive failures
// that chance does not explain eject the backend. When a process dies, all its outstanding attempts break and new
// connections are refused; such a backend counts as just started once it answers again.
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

// ejectOnFailure ejects a backend for a time that doubles with each further failure. Departure: a backend that fails
// fast is always idle and would attract all traffic. It acts on the first improbable failure, since errors are rare
// where nothing is wrong. Attempts that were sent before the latest ejection add nothing.
func (b *Balancer) ejectOnFailure(backend *backendState, a *attempt, class *classState) {
	if a.sentAt >= backend.ejectedAt {
		b.recordObservation(observation{backend.gossipKey, valueFailed, b.now})
		b.eject(backend, class.LatencyObjective)
	}
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

// eligible reports whether a backend may get this request as ordinary traffic. After an ejection it gets one attempt
// at a time until its failure score is 0; non-idempotent requests only once as much time again has passed.
func (b *Balancer) eligible(backend *backendState, req *request) bool {
	return b.now >= backend.ejectedUntil && (backend.failureScore == 0 || len(backend.outstanding) == 0 &&
		(b.classes[req.class].Idempotency != NonIdempotent || b.now >= 2*backend.ejectedUntil-backend.ejectedAt))
}

// applyObservation learns from a peer's observation unless a newer one is known. The same observation arrives by many
// paths, and learning each copy would make every backend look slow.
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
