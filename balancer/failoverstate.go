package balancer

// The failover of one zone: its length, its health checks and the recovery ramp. The struct stands alone.

import (
	"math"
	"time"
)

const (
	recoveryProbes        = 2    // health checks answered in a row before the zone recovers
	minFailOverObjectives = 0.5  // shortest failover in longest objectives; doubles with backoffExponent
	probesPerObjective    = 50.0 // agents that may check once per longest objective; more agents make as many checks together
	recoveryObjectives    = 2.0  // length of the recovery ramp in longest objectives
	initialTrafficShare   = 0.1  // share of its traffic at the start of the recovery ramp
	maxBackoffExponent    = 4.0  // bound of the doublings for a zone that fails again and again
)

// failoverState says whether traffic has left a zone, and how it comes back.
type failoverState struct {
	failedOver           bool
	ownEvidence          bool          // failed over on this agent's own evidence, not on reports
	failedOverAt         time.Duration // latest failover
	backoffExponent      float64       // number of failovers, decaying
	probeTimer           int64         // token of the timer of the next health check
	consecutiveSuccesses int           // health checks answered in a row
	canary               bool          // one request may be sent there in place of a health check
	recoveryStartedAt    time.Duration // 0: the zone has its full share of traffic
}

// failOver starts a failover. Earlier ones count less the longer ago they were: by half after the given span.
func (f *failoverState) failOver(now, halfLife time.Duration, ownEvidence bool) {
	f.failedOver, f.ownEvidence, f.consecutiveSuccesses, f.recoveryStartedAt = true, ownEvidence, 0, 0
	faded := f.backoffExponent * math.Exp2(-float64(now-f.failedOverAt)/float64(halfLife))
	f.backoffExponent = min(faded+1, maxBackoffExponent)
	f.failedOverAt = now
}

// backoff is the factor by which repeated failovers prolong the spans of this one.
func (f *failoverState) backoff() float64 { return math.Exp2(f.backoffExponent - 1) }

// probeInterval is the mean time in ns between two health checks of one of so many agents.
func (f *failoverState) probeInterval(maxObjective time.Duration, agents int) float64 {
	return float64(maxObjective) * f.backoff() / 2 * max(1, float64(agents)/probesPerObjective)
}

// scheduleProbe notes the timer of the next health check; isProbeTimer reports whether a timer is that.
func (f *failoverState) scheduleProbe(token int64)     { f.probeTimer = token }
func (f *failoverState) isProbeTimer(token int64) bool { return f.failedOver && f.probeTimer == token }

// allowCanary lets one request go to the zone in place of a health check; takeCanary notes that it was sent.
func (f *failoverState) allowCanary() { f.canary = true }
func (f *failoverState) takeCanary()  { f.canary = false }

// recordProbe counts a health check, or the answer of a request, and reports whether the zone should recover. Late
// answers count, too, but a zone that stalls and resumes must not fail over and recover by turns.
func (f *failoverState) recordProbe(ok bool, now, maxObjective time.Duration) bool {
	if f.consecutiveSuccesses++; !ok {
		f.consecutiveSuccesses = 0
	}
	minSpan := time.Duration(minFailOverObjectives * float64(maxObjective) * f.backoff())
	return f.consecutiveSuccesses >= recoveryProbes && now-f.failedOverAt >= minSpan
}

// recover starts the recovery ramp.
func (f *failoverState) recover(now time.Duration) { f.failedOver, f.recoveryStartedAt = false, now }

// trafficShare is the share of its usual traffic that the zone may get now: 0 while failed over, then along a ramp.
func (f *failoverState) trafficShare(now, maxObjective time.Duration) float64 {
	switch {
	case f.failedOver:
		return 0
	case f.recoveryStartedAt == 0:
		return 1
	}
	ramp := recoveryObjectives * float64(maxObjective) * f.backoff()
	share := initialTrafficShare + float64(now-f.recoveryStartedAt)/ramp
	if share >= 1 {
		f.recoveryStartedAt = 0
	}
	return min(share, 1)
}

// recentOwnLoss reports whether the failover is no older than the span, and on own evidence.
func (f *failoverState) recentOwnLoss(now, span time.Duration) bool {
	return f.failedOver && f.ownEvidence && now-f.failedOverAt < span
}
