package balancer

// Zone failover: when traffic leaves a zone as a whole, and how the zone is put back into use. A zone that is lost or
// cut off is silent. Detected backend by backend, each would take an attempt for as long as its client waits, and
// these would fill the concurrency limit while the other zones are idle.

import (
	"math"
	"slices"
	"time"
)

const (
	lostSilenceRate    = 0.9  // share of attempts without any answer in a lost zone
	minBaselineSilence = 0.05 // the same in a healthy zone, at least; the other zones' present share if that is higher
	// The log-likelihood ratio at which the sequential probability ratio test (Wald) decides that a zone is lost: one
	// silence in a thousand is taken for a loss by mistake, one loss in a hundred is missed at first. Three silent
	// backends at once, or two that stay silent, reach it; one never does.
	failOverThreshold     = 6.9
	recoveryProbes        = 2    // health checks answered in a row before the zone recovers
	minFailOverObjectives = 0.5  // shortest failover in longest objectives; doubles with backoffExponent
	probesPerObjective    = 50.0 // agents that may check once per longest objective; more agents make as many checks together
	recoveryObjectives    = 2.0  // length of the recovery ramp in longest objectives
	initialTrafficShare   = 0.1  // share of its traffic at the start of the recovery ramp
	reportWeight          = 2.4  // weight of a peer's report: three that saw it themselves reach failOverThreshold
	reportObjectives      = 2.0  // validity of a report in longest objectives: it is repeated in each
	maxBackoffExponent    = 4.0  // bound of the doublings for a zone that fails again and again
)

// recordSilence takes an attempt that is outstanding for long, or that got no connection in all its time, as evidence
// against the zone if no answer at all has come from there since it was sent: a zone that is only slow answers. A
// backend's first silent attempt counts in full and its second one half; further ones tell nothing about the others.
func (b *Balancer) recordSilence(a *attempt, result Result) {
	z := b.zone(a.backend)
	if a.countedSilent || z.failedOver || z.lastAnswerAt >= a.sentAt ||
		result != ConnectFailed && float64(b.now-a.sentAt) < overdueLatencies*a.expected {
		return // with queues everywhere a long wait tells nothing
	}
	a.countedSilent = true
	baseline := b.baselineSilence(z)
	z.silenceRate += smoothing / 2 * (1 - z.silenceRate)
	if z.logLikelihoodRatio == 0 {
		z.silenceEpisode++
		z.silenceStartedAt = a.sentAt
	}
	if a.backend.silenceEpisode != z.silenceEpisode {
		a.backend.silenceEpisode, a.backend.silentAttempts = z.silenceEpisode, 0
	}
	z.logLikelihoodRatio += math.Log(lostSilenceRate/baseline) * [...]float64{1, 0.5, 0}[min(a.backend.silentAttempts, 2)]
	a.backend.silentAttempts++
	b.evaluateZone(z, true)
}

// evaluateZone fails over from a zone that is lost according to the sequential test and the reports since its last
// answer. An agent that gets answers often enough to judge by itself learns nothing from reports: its answers are
// newer.
func (b *Balancer) evaluateZone(z *zone, own bool) {
	validity := time.Duration(reportObjectives * float64(b.maxObjective))
	z.reports = slices.DeleteFunc(z.reports, func(report lossReport) bool { return b.now-report.receivedAt >= validity })
	if !z.failedOver && z.logLikelihoodRatio+reportWeight*float64(len(z.reports)) >= failOverThreshold && b.otherZoneAnswers(z) {
		z.ownEvidence = own
		b.failOver(z)
	}
}

// onLossReport applies a peer's report of the zones that it found lost on its own evidence. A peer that reports this
// agent's own zone is on the other side of a network partition, and its reports say nothing about what can be reached
// from here.
func (b *Balancer) onLossReport(from int, lost uint16) {
	if lost == 0 || b.settings.Zone < maxLossZones && lost>>max(b.settings.Zone, 0)&1 != 0 {
		return
	}
	for i, z := range b.zones[:min(len(b.zones), maxLossZones)] {
		if lost>>i&1 == 0 || z.failedOver || b.now-z.lastAnswerAt < time.Duration(b.classes[0].latency) {
			continue
		}
		if z.logLikelihoodRatio == 0 { // another zone must have answered recently
			z.silenceStartedAt = b.now - b.maxObjective
		}
		z.reports = slices.DeleteFunc(z.reports, func(report lossReport) bool { return report.from == from })
		z.reports = append(z.reports, lossReport{from, b.now})
		b.evaluateZone(z, false)
	}
}

// recordZoneAnswer takes any answer as evidence for its backend's zone.
func (b *Balancer) recordZoneAnswer(backend *backendState) {
	z := b.zone(backend)
	z.silenceRate -= smoothing / 2 * z.silenceRate
	z.lastAnswerAt, z.reports = b.now, nil
	if z.failedOver { // the canary's answer, or one that a partition delayed
		b.onProbeAnswer(z, true)
	}
	if z.logLikelihoodRatio > 0 {
		z.logLikelihoodRatio = max(0, z.logLikelihoodRatio+math.Log((1-lostSilenceRate)/(1-b.baselineSilence(z))))
	}
}

// otherZoneAnswers reports whether another zone has answered since this one fell silent. If none has, the silence is
// that of this agent or its own link, and there is nothing to fail over from.
func (b *Balancer) otherZoneAnswers(z *zone) bool {
	for _, other := range b.zones {
		if other != z && !other.failedOver && other.lastAnswerAt > z.silenceStartedAt &&
			other.logLikelihoodRatio < failOverThreshold/2 {
			return true
		}
	}
	return false
}

func (b *Balancer) failOver(z *zone) {
	z.failedOver, z.consecutiveSuccesses, z.recoveryStartedAt = true, 0, 0
	faded := z.backoffExponent * math.Exp2(-float64(b.now-z.failedOverAt)/float64(b.settings.SlowStartWindow+1))
	z.backoffExponent = min(faded+1, maxBackoffExponent)
	z.failedOverAt = b.now
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number, FailedOver: true, ByGossip: !z.ownEvidence})
	b.recomputeCapacity()
	b.probeZone(z)
	if z.ownEvidence && b.settings.GossipAllowed {
		b.gossipToSample()
	}
}

// probeZone checks the health of one backend of a failed-over zone, or lets one request go there where health checks
// are not allowed, and schedules the next check.
func (b *Balancer) probeZone(z *zone) {
	interval := float64(b.maxObjective) * math.Exp2(z.backoffExponent-1) / 2 *
		max(1, float64(b.settings.Balancers)/probesPerObjective)
	z.probeTimer = b.setTimer(time.Duration(interval * (0.75 + 0.5*b.rng.Float64())))
	seen, pick := 0, (*backendState)(nil)
	for _, backend := range b.backends {
		if backend.State == Up && b.zone(backend) == z {
			if seen++; b.rng.IntN(seen) == 0 {
				pick = backend
			}
		}
	}
	switch {
	case pick == nil:
	case b.settings.ProbingAllowed:
		b.actions = append(b.actions, Probe{Backend: pick.ID})
	default:
		z.canary = true
	}
}

// onProbe applies the result of a health check.
func (b *Balancer) onProbe(event ProbeResult) {
	backend := b.byID[event.Backend]
	if backend == nil || !b.zone(backend).failedOver {
		return
	}
	b.onProbeAnswer(b.zone(backend), event.Result == OK || event.Result == Rejected || event.Result == Errored)
}

func (b *Balancer) onProbeAnswer(z *zone, ok bool) {
	if z.consecutiveSuccesses++; !ok {
		z.consecutiveSuccesses = 0
	}
	// Late answers count, too, but a zone that stalls and resumes must not fail over and recover by turns.
	minSpan := time.Duration(minFailOverObjectives * float64(b.maxObjective) * math.Exp2(z.backoffExponent-1))
	if z.consecutiveSuccesses < recoveryProbes || b.now-z.failedOverAt < minSpan {
		return
	}
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number})
	z.failedOver, z.logLikelihoodRatio, z.recoveryStartedAt, z.lastAnswerAt, z.reports = false, 0, b.now, b.now, nil
	for _, backend := range b.backends { // what its silence taught about each backend is void
		if b.zone(backend) == z {
			backend.forgiveSince(z.silenceStartedAt)
		}
	}
	b.recomputeCapacity()
}

// trafficShare is the share of its usual traffic that a zone may get now: 0 while failed over, then along a ramp.
func (b *Balancer) trafficShare(z *zone) float64 {
	switch {
	case z.failedOver:
		return 0
	case z.recoveryStartedAt == 0:
		return 1
	}
	ramp := recoveryObjectives * float64(b.maxObjective) * math.Exp2(z.backoffExponent-1)
	share := initialTrafficShare + float64(b.now-z.recoveryStartedAt)/ramp
	if share >= 1 {
		z.recoveryStartedAt = 0
	}
	return min(share, 1)
}

// closedZones returns the zones that a request may not go to now. nil means none; also where every zone is failed
// over.
func (b *Balancer) closedZones(req *request) []bool {
	reserved := b.reservedZones(req)
	if b.allZonesOpen {
		return reserved
	}
	closed, open := make([]bool, len(b.zones)), false
	for i, z := range b.zones {
		part := b.trafficShare(z)
		closed[i] = part < 1 && b.rng.Float64() >= part
		if closed[i] && z.canary && req.possiblyExecuted == 0 && b.lowestPriority(req.class) {
			closed[i] = false
		}
		open = open || !z.failedOver && z.up > 0 && b.permits(req, i)
		closed[i] = closed[i] || reserved != nil && reserved[i]
	}
	if !open {
		return nil
	}
	return closed
}
