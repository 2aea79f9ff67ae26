package balancer

// Whether a zone as a whole is left, and how it is used again. A zone that is lost or cut off says nothing: learned
// backend by backend, each takes an attempt for as long as its client waits, and these fill the limit while the
// other zones stand idle.

import (
	"math"
	"slices"
	"time"
)

const (
	lostSilenceRate    = 0.9  // share of attempts that a lost zone leaves without an answer of any kind
	minBaselineSilence = 0.05 // and that one in order does, at least; else what the other zones do by now
	// Log odds at which a zone is left (Wald): one spell in a thousand is taken for a loss that is none, one loss in a
	// hundred is missed at first. Three silent backends at once, or two that stay silent, come to that; one never does.
	failOverThreshold     = 6.9
	recoveryProbes        = 2    // probes in a row that must be answered before it is used again
	minFailOverObjectives = 0.5  // longest aims for which it is left at least, doubled like the rest
	probesPerObjective    = 50.0 // agents that may probe once in the longest aim; more of them probe as much together
	recoveryObjectives    = 2.0  // longest aims from then until it has its full part
	initialTrafficShare   = 0.1  // its part at the start
	reportWeight          = 2.4  // what a peer's report counts for: three that saw it themselves come to failOverThreshold
	reportObjectives      = 2.0  // longest aims for which it does: it is told anew each longest aim
	maxBackoffExponent    = 4.0  // doublings of the ramp and the probes' wait, at the most, for a zone that fails again and again
)

// recordSilence takes an attempt that is out for long, or that found no connection in all its time, as evidence against its
// backend's zone if nothing at all has come from there since it was sent: a zone that is slow answers. One
// backend's counts once, and half a second time: it is none against the others.
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

// evaluateZone leaves a zone that is lost by this agent's own evidence and by what others told since the last answer from
// there. One who answers often enough to know for itself is told nothing new: its answers came after the reports.
func (b *Balancer) evaluateZone(z *zone, own bool) {
	validity := time.Duration(reportObjectives * float64(b.maxObjective))
	z.reports = slices.DeleteFunc(z.reports, func(report lossReport) bool { return b.now-report.receivedAt >= validity })
	if !z.failedOver && z.logLikelihoodRatio+reportWeight*float64(len(z.reports)) >= failOverThreshold && b.otherZoneAnswers(z) {
		z.ownEvidence = own
		b.failOver(z)
	}
}

// onLossReport takes which zones a peer found lost by itself. Who holds this agent's own zone for lost stands beyond a cut, and
// what it says of zones says nothing about what can be reached from here.
func (b *Balancer) onLossReport(from int, lost uint16) {
	if lost == 0 || b.settings.Zone < maxLossZones && lost>>max(b.settings.Zone, 0)&1 != 0 {
		return
	}
	for i, z := range b.zones[:min(len(b.zones), maxLossZones)] {
		if lost>>i&1 == 0 || z.failedOver || b.now-z.lastAnswerAt < time.Duration(b.classes[0].latency) {
			continue
		}
		if z.logLikelihoodRatio == 0 { // another zone has to have answered of late
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
	if z.failedOver { // a canary's answer, or one that a cut held up
		b.onProbeAnswer(z, true)
	}
	if z.logLikelihoodRatio > 0 {
		z.logLikelihoodRatio = max(0, z.logLikelihoodRatio+math.Log((1-lostSilenceRate)/(1-b.baselineSilence(z))))
	}
}

// otherZoneAnswers reports whether another zone has answered since this one fell silent. Where none has, the silence is
// this agent's own, or its link's, and nothing is left.
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

// probeZone asks one backend of a zone that was left, or lets one request go there where probes are not allowed,
// and sees to the next.
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

// onProbe takes a probe's answer. Enough of them, and the zone is used again, by a part that grows.
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
	// Late answers count, too, but a zone that stalls and goes on must not be left and used again by turns.
	minSpan := time.Duration(minFailOverObjectives * float64(b.maxObjective) * math.Exp2(z.backoffExponent-1))
	if z.consecutiveSuccesses < recoveryProbes || b.now-z.failedOverAt < minSpan {
		return
	}
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number})
	z.failedOver, z.logLikelihoodRatio, z.recoveryStartedAt, z.lastAnswerAt, z.reports = false, 0, b.now, b.now, nil
	for _, backend := range b.backends { // what its silence taught of each is void
		if b.zone(backend) == z && backend.ejectedAt >= z.silenceStartedAt {
			backend.failureScore, backend.ejectedUntil, backend.consecutiveFailures, backend.failureRate = 0, 0, 0, 0
		}
		if b.zone(backend) == z {
			backend.consecutiveTimeouts = 0
		}
	}
	b.recomputeCapacity()
}

// trafficShare is the share of its usual traffic that a zone may have now.
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

// closedZones says which zones a request may not go to now. Where every zone is left, none is.
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
