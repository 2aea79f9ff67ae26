package balancer

// The failover of one zone: its length, its health checks and the recovery ramp. The struct doesn't access the
// Balancer.

import (
	"math"
	"time"
)

const (
	recoveryProbes        = 2    // consecutive successful health checks before the zone recovers
	minFailOverObjectives = 0.5  // minimum length of a failover, in longest objectives; doubles with each step of backoffExponent
	agentsAtFullProbeRate = 50.0 // fleet size above which the interval grows in proportion, which bounds the fleet's rate
	recoveryObjectives    = 2.0  // length of the recovery ramp, in longest objectives
	initialTrafficShare   = 0.1  // share of the zone's usual traffic at the start of the recovery ramp
	maxBackoffExponent    = 4.0  // bound of backoffExponent for a zone that fails repeatedly
)

// failoverState records whether a zone is failed over, and the progress of its recovery.
type failoverState struct {
	failedOver           bool
	ownEvidence          bool          // failed over on this agent's own evidence, not on peers' reports
	failedOverAt         time.Duration // latest failover
	backoffExponent      float64       // decayed number of failovers
	probeTimer           int64         // token of the timer of the next health check
	consecutiveSuccesses int           // successful health checks since the latest failed one
	canary               bool          // one request may be sent to the zone in place of a health check
	recoveryStartedAt    time.Duration // 0: the zone has its full share of traffic
}

// failOver starts a failover. The count of earlier failovers decays with the given half-life.
func (f *failoverState) failOver(now, halfLife time.Duration, ownEvidence bool) {
	f.failedOver, f.ownEvidence, f.consecutiveSuccesses, f.recoveryStartedAt = true, ownEvidence, 0, 0
	decayed := f.backoffExponent * math.Exp2(-float64(now-f.failedOverAt)/float64(halfLife))
	f.backoffExponent = min(decayed+1, maxBackoffExponent)
	f.failedOverAt = now
}

// backoff returns the factor by which earlier failovers lengthen the intervals of the current failover.
func (f *failoverState) backoff() float64 { return math.Exp2(f.backoffExponent - 1) }

// probeInterval returns the mean time in ns between two health checks by one agent, in a fleet of the given size.
func (f *failoverState) probeInterval(maxObjective time.Duration, agents int) float64 {
	return float64(maxObjective) * f.backoff() / 2 * max(1, float64(agents)/agentsAtFullProbeRate)
}

// scheduleProbe records the timer of the next health check; isProbeTimer reports whether a token belongs to that timer.
func (f *failoverState) scheduleProbe(token int64)     { f.probeTimer = token }
func (f *failoverState) isProbeTimer(token int64) bool { return f.failedOver && f.probeTimer == token }

// allowCanary admits one request to the zone in place of a health check; takeCanary records that it was sent.
func (f *failoverState) allowCanary() { f.canary = true }
func (f *failoverState) takeCanary()  { f.canary = false }

// recordProbe counts a health check, or the response to a request, and reports whether the zone should recover.
// Responses to attempts sent before the failover count, too. The minimum length of a failover prevents a zone that
// stalls and resumes from alternating quickly between failover and recovery.
func (f *failoverState) recordProbe(ok bool, now, maxObjective time.Duration) bool {
	if f.consecutiveSuccesses++; !ok {
		f.consecutiveSuccesses = 0
	}
	minSpan := time.Duration(minFailOverObjectives * float64(maxObjective) * f.backoff())
	return f.consecutiveSuccesses >= recoveryProbes && now-f.failedOverAt >= minSpan
}

// recover starts the recovery ramp.
func (f *failoverState) recover(now time.Duration) { f.failedOver, f.recoveryStartedAt = false, now }

// trafficShare returns the share of its usual traffic that the zone may get now: 0 while failed over, then a growing
// share until the recovery ramp ends at 1. It clears recoveryStartedAt at the end of the ramp.
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

// recentOwnLoss reports whether the zone is in a failover that began less than span ago on this agent's own evidence.
func (f *failoverState) recentOwnLoss(now, span time.Duration) bool {
	return f.failedOver && f.ownEvidence && now-f.failedOverAt < span
}
