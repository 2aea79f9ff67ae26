package balancer

// Outlier detection: when failures or silence eject a backend, for how long, and when its process counts as dead. The
// struct stands alone; outcomes.go feeds it.

import (
	"math"
	"slices"
	"time"
)

const (
	failureScoreDecay = 0.25 // part of the score that a success takes back: one error in five keeps it growing
	maxFailureScore   = 5.0  // longest ejection is 2^(max-1) times the first
	ejectProbability  = 0.03 // consecutive failures with less probability by chance eject a backend
	deadProbability   = 1e-3 // and with less than this its process is presumed dead
	baselineResetRate = 0.04 // least share of resets by chance: two in a row eject, three mean death
	silenceTimeouts   = 8    // consecutive time-outs, here or observed by peers, that mean silence
)

// outlierState is what failures tell about one backend.
type outlierState struct {
	failureScore        float64       // number of recent ejections, less what successes took back; 0: healthy
	failureRate         float64       // moving average; attempts without an answer are left out
	consecutiveFailures float64       // the latest of these, in a row
	consecutiveTimeouts int           // known since its last answer, own or observed by peers
	lastSuccessAt       time.Duration // own or observed by peers
	ejectedAt           time.Duration // latest ejection
	ejectedUntil        time.Duration // no ordinary traffic before then
	rejectingUntil      time.Duration // its queue is presumed full until then
	presumedDead        bool          // its process seems to have died since the last answer
}

// recordFailure counts an attempt that failed (1) or was answered (0).
func (o *outlierState) recordFailure(failure float64) {
	o.consecutiveFailures = (o.consecutiveFailures + 1) * failure
	o.failureRate += smoothing / 2 * (failure - o.failureRate)
}

// recordSuccess counts a success of this agent.
func (o *outlierState) recordSuccess(now time.Duration) {
	o.failureScore = max(0, o.failureScore-failureScoreDecay)
	o.lastSuccessAt, o.consecutiveTimeouts = now, 0
}

// recordPeerSuccess counts a success that a peer observed. It lowers the score unless an ejection is as new.
func (o *outlierState) recordPeerSuccess(at time.Duration) {
	o.lastSuccessAt, o.consecutiveTimeouts = max(o.lastSuccessAt, at), 0
	if at > o.ejectedAt {
		o.failureScore = max(0, o.failureScore-failureScoreDecay)
	}
}

// recordTimeout counts an attempt without an answer.
func (o *outlierState) recordTimeout() { o.consecutiveTimeouts++ }

// silent reports whether the time-outs in a row mean more than slow answers.
func (o *outlierState) silent() bool { return o.consecutiveTimeouts >= silenceTimeouts }

// answeredSince reports whether a success is known that is as new as the given time.
func (o *outlierState) answeredSince(at time.Duration) bool { return o.lastSuccessAt >= at }

// failsBeyondChance reports whether the consecutive failures have less than the given probability at a backend with
// the baseline failure rate.
func (o *outlierState) failsBeyondChance(baseline, probability float64) bool {
	return math.Pow(baseline, o.consecutiveFailures) < probability
}

// eject takes the backend out of ordinary traffic. The time doubles with each further ejection; draw, a random number
// in [0, 1), jitters it by a quarter.
func (o *outlierState) eject(now, unit time.Duration, draw float64) {
	o.failureScore = min(o.failureScore+1, maxFailureScore)
	o.ejectedAt = now
	o.ejectedUntil = now + time.Duration(math.Exp2(o.failureScore-1)*(0.75+0.5*draw)*float64(unit))
}

// ejectedSince reports whether the latest ejection is as new as the given time.
func (o *outlierState) ejectedSince(at time.Duration) bool { return o.ejectedAt >= at }

// ejectedAfter reports whether the latest ejection is newer than the given time.
func (o *outlierState) ejectedAfter(at time.Duration) bool { return o.ejectedAt > at }

// usable reports whether the backend takes part in capacity: neither ejected nor presumed dead.
func (o *outlierState) usable(now time.Duration) bool {
	return !o.presumedDead && now >= o.ejectedUntil
}

// recovering reports whether the backend still has a failure score.
func (o *outlierState) recovering() bool { return o.failureScore > 0 }

// eligible reports whether the backend may get a request as ordinary traffic. After an ejection it gets one attempt at
// a time until its failure score is 0; non-idempotent requests only once as much time again has passed.
func (o *outlierState) eligible(now time.Duration, idle bool, idempotency Idempotency) bool {
	return now >= o.ejectedUntil && (o.failureScore == 0 || idle &&
		(idempotency != NonIdempotent || now >= 2*o.ejectedUntil-o.ejectedAt))
}

// penalty orders ejected backends for an attempt that no other backend can take: the lowest goes first. draw is a random
// number in [0, 1).
func (o *outlierState) penalty(draw float64, outstanding int) float64 {
	return o.failureScore*draw + float64(outstanding)
}

// rejectUntil notes that the backend rejected an attempt, and for how long to avoid it.
func (o *outlierState) rejectUntil(at time.Duration) { o.rejectingUntil = at }

// rejecting reports whether to avoid the backend since it has rejected an attempt.
func (o *outlierState) rejecting(now time.Duration) bool { return now < o.rejectingUntil }

// presumeDead notes that the backend's process seems to have died; revive that it has answered since.
func (o *outlierState) presumeDead() { o.presumedDead = true }
func (o *outlierState) revive()      { o.presumedDead = false }

// restarted forgets what does not hold for a new process: the score, a running ejection and a presumed death.
func (o *outlierState) restarted() { o.failureScore, o.ejectedUntil, o.presumedDead = 0, 0, false }

// forgive forgets everything but the failure-free past.
func (o *outlierState) forgive() { *o = outlierState{lastSuccessAt: o.lastSuccessAt} }

// forgiveSince forgets an ejection that is as new as the given time, with the failures behind it, and all time-outs:
// they were the zone's.
func (o *outlierState) forgiveSince(at time.Duration) {
	if o.ejectedSince(at) {
		o.failureScore, o.ejectedUntil, o.consecutiveFailures, o.failureRate = 0, 0, 0, 0
	}
	o.consecutiveTimeouts = 0
}

// baselineFailureRate is the mean failure rate of the better three quarters of the backends that are up.
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
