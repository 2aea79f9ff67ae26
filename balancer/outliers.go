package balancer

// Outlier detection: when failures or time-outs eject a backend, for how long, and when its process is presumed dead.
// The struct doesn't access the Balancer; outcomes.go calls it.

import (
	"math"
	"slices"
	"time"
)

const (
	failureScoreDecay    = 0.25 // decrease per success: the score grows if more than one attempt in five causes an ejection
	maxFailureScore      = 5.0  // the longest ejection is 2^(maxFailureScore-1) times the first
	ejectProbability     = 0.03 // consecutive failures less probable than this by chance eject a backend
	deadProbability      = 1e-3 // the same bound for the presumption that its process is dead
	baselineResetRate    = 0.04 // minimum baseline rate of resets: ejection after two in a row, presumed death after three
	unresponsiveTimeouts = 8    // consecutive time-outs, own or observed by peers, after which a backend is unresponsive
)

// outlierState is the failure history of one backend, and its ejection.
type outlierState struct {
	failureScore        float64       // number of recent ejections, less failureScoreDecay for each success; 0: healthy
	failureRate         float64       // moving average; time-outs are excluded
	consecutiveFailures float64       // failures since the latest attempt that did not fail; time-outs are excluded
	consecutiveTimeouts int           // time-outs since the last success, own or observed by peers
	lastSuccessAt       time.Duration // own or observed by peers
	ejectedAt           time.Duration // latest ejection
	ejectedUntil        time.Duration // no ordinary traffic before then
	rejectingUntil      time.Duration // no attempts before then, since it has rejected one
	presumedDead        bool          // its process has probably died since the last success
}

// recordFailure counts an attempt that failed (1) or got a response (0).
func (o *outlierState) recordFailure(failure float64) {
	o.consecutiveFailures = (o.consecutiveFailures + 1) * failure
	o.failureRate += smoothing / 2 * (failure - o.failureRate)
}

// recordSuccess counts a success of this agent.
func (o *outlierState) recordSuccess(now time.Duration) {
	o.failureScore = max(0, o.failureScore-failureScoreDecay)
	o.lastSuccessAt, o.consecutiveTimeouts = now, 0
}

// recordPeerSuccess counts a success that a peer observed at the given time. It lowers the score only if it is newer
// than the latest ejection.
func (o *outlierState) recordPeerSuccess(at time.Duration) {
	o.lastSuccessAt, o.consecutiveTimeouts = max(o.lastSuccessAt, at), 0
	if at > o.ejectedAt {
		o.failureScore = max(0, o.failureScore-failureScoreDecay)
	}
}

// recordTimeout counts an attempt without a response.
func (o *outlierState) recordTimeout() { o.consecutiveTimeouts++ }

// unresponsive reports whether at least unresponsiveTimeouts time-outs were recorded since the last success. Slow
// responses rarely cause so many.
func (o *outlierState) unresponsive() bool { return o.consecutiveTimeouts >= unresponsiveTimeouts }

// succeededSince reports whether a success was recorded at or after the given time.
func (o *outlierState) succeededSince(at time.Duration) bool { return o.lastSuccessAt >= at }

// failsBeyondChance reports whether the consecutive failures are less probable than the given probability at a backend
// with the baseline failure rate.
func (o *outlierState) failsBeyondChance(baseline, probability float64) bool {
	return math.Pow(baseline, o.consecutiveFailures) < probability
}

// eject excludes the backend from ordinary traffic. The first ejection lasts about the given unit; the time doubles with
// each point of the failure score, and is jittered by up to a quarter. draw is a random number in [0, 1).
func (o *outlierState) eject(now, unit time.Duration, draw float64) {
	o.failureScore = min(o.failureScore+1, maxFailureScore)
	o.ejectedAt = now
	o.ejectedUntil = now + time.Duration(math.Exp2(o.failureScore-1)*(0.75+0.5*draw)*float64(unit))
}

// ejectedSince reports whether the latest ejection was at or after the given time.
func (o *outlierState) ejectedSince(at time.Duration) bool { return o.ejectedAt >= at }

// ejectedAfter reports whether the latest ejection was after the given time.
func (o *outlierState) ejectedAfter(at time.Duration) bool { return o.ejectedAt > at }

// usable reports whether the backend counts as capacity: it is neither ejected nor presumed dead.
func (o *outlierState) usable(now time.Duration) bool {
	return !o.presumedDead && now >= o.ejectedUntil
}

// recovering reports whether the backend still has a failure score.
func (o *outlierState) recovering() bool { return o.failureScore > 0 }

// eligible reports whether the backend may get a request as ordinary traffic. After an ejection it gets one attempt at
// a time until its failure score is 0, and non-idempotent requests only after a second wait as long as the ejection.
func (o *outlierState) eligible(now time.Duration, idle bool, idempotency Idempotency) bool {
	return now >= o.ejectedUntil && (o.failureScore == 0 || idle &&
		(idempotency != NonIdempotent || now >= 2*o.ejectedUntil-o.ejectedAt))
}

// penalty orders ejected backends for an attempt that no other backend can take: the lowest goes first. draw is a
// random number in [0, 1).
func (o *outlierState) penalty(draw float64, outstanding int) float64 {
	return o.failureScore*draw + float64(outstanding)
}

// rejectUntil records that the backend rejected an attempt, and until when to avoid it.
func (o *outlierState) rejectUntil(at time.Duration) { o.rejectingUntil = at }

// rejecting reports whether to avoid the backend because it has rejected an attempt.
func (o *outlierState) rejecting(now time.Duration) bool { return now < o.rejectingUntil }

// presumeDead records that the backend's process has probably died; clearPresumedDead records that the backend has
// responded since then.
func (o *outlierState) presumeDead()       { o.presumedDead = true }
func (o *outlierState) clearPresumedDead() { o.presumedDead = false }

// resetForRestart clears the state that doesn't apply to a new process: the score, the present ejection and a presumed
// death.
func (o *outlierState) resetForRestart() {
	o.failureScore, o.ejectedUntil, o.presumedDead = 0, 0, false
}

// clearFailures clears everything but the time of the last success.
func (o *outlierState) clearFailures() { *o = outlierState{lastSuccessAt: o.lastSuccessAt} }

// clearFailuresSince clears all time-outs, and an ejection at or after the given time together with the failures that
// led to it: an outage of the zone caused them.
func (o *outlierState) clearFailuresSince(at time.Duration) {
	if o.ejectedSince(at) {
		o.failureScore, o.ejectedUntil, o.consecutiveFailures, o.failureRate = 0, 0, 0, 0
	}
	o.consecutiveTimeouts = 0
}

// baselineFailureRate returns the mean of the lowest three quarters of the failure rates of backends that are up.
func baselineFailureRate(backends []*backendState) float64 {
	var rates []float64
	for _, backend := range backends {
		if backend.State == Up {
			rates = append(rates, backend.failureRate)
		}
	}
	slices.Sort(rates)
	sum, counted := 0.0, 3*len(rates)/4
	for _, rate := range rates[:counted] {
		sum += rate
	}
	return sum / max(1, float64(counted))
}
