package balancer

// Zone failover: when traffic leaves a zone as a whole, and how the zone is put back into use. A zone that is lost or
// cut off is silent. Detected backend by backend, each would take an attempt for as long as its client waits, and
// these would fill the concurrency limit while the other zones are idle.

import "time"

// recordSilence takes an attempt that is outstanding for long, or that got no connection in all its time, as evidence
// against the zone if no answer at all has come from there since it was sent: a zone that is only slow answers.
func (b *Balancer) recordSilence(a *attempt, result Result) {
	z := b.zone(a.backend)
	if a.countedSilent || z.failedOver || z.answeredSince(a.sentAt) ||
		result != ConnectFailed && float64(b.now-a.sentAt) < overdueLatencies*a.expected {
		return // with queues everywhere a long wait tells nothing
	}
	a.countedSilent = true
	z.recordSilence(a.sentAt, b.zones.baselineSilence(z), &a.backend.silence)
	b.evaluateZone(z, true)
}

// evaluateZone fails over from a zone that is lost according to the sequential test and the reports since its last
// answer. An agent that gets answers often enough to judge by itself learns nothing from reports: its answers are
// newer.
func (b *Balancer) evaluateZone(z *zone, ownEvidence bool) {
	validity := time.Duration(reportObjectives * float64(b.maxObjective))
	if lost := z.lost(b.now, validity); lost && !z.failedOver && b.zones.othersAnswer(z) {
		b.failOver(z, ownEvidence)
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
		if lost>>i&1 == 0 || z.failedOver || z.answeredRecently(b.now, time.Duration(b.classes[0].latency)) {
			continue
		}
		z.recordReport(from, b.now, b.now-b.maxObjective) // another zone must have answered since
		b.evaluateZone(z, false)
	}
}

// recordZoneAnswer takes any answer as evidence for its backend's zone.
func (b *Balancer) recordZoneAnswer(backend *backendState) {
	z := b.zone(backend)
	z.recordAnswer(b.now)
	if z.failedOver { // the canary's answer, or one that a partition delayed
		b.onProbeAnswer(z, true)
	}
	if z.suspected() {
		z.refute(b.zones.baselineSilence(z))
	}
}

// failOver takes the traffic of a zone elsewhere, until its health checks succeed.
func (b *Balancer) failOver(z *zone, ownEvidence bool) {
	z.failoverState.failOver(b.now, b.settings.SlowStartWindow+1, ownEvidence)
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number, FailedOver: true, ByGossip: !ownEvidence})
	b.recomputeCapacity()
	b.probeZone(z)
	if ownEvidence && b.settings.GossipAllowed {
		b.gossipToSample()
	}
}

// probeZone checks the health of one backend of a failed-over zone, or lets one request go there where health checks
// are not allowed, and schedules the next check.
func (b *Balancer) probeZone(z *zone) {
	interval := z.probeInterval(b.maxObjective, b.settings.Balancers)
	z.scheduleProbe(b.setTimer(time.Duration(interval * (0.75 + 0.5*b.rng.Float64()))))
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
		z.allowCanary()
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

// onProbeAnswer applies the result of a health check, or an answer to a request. A zone that recovers gets a growing
// share of its traffic.
func (b *Balancer) onProbeAnswer(z *zone, ok bool) {
	if !z.recordProbe(ok, b.now, b.maxObjective) {
		return
	}
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number})
	z.recover(b.now)
	z.reset(b.now)
	for _, backend := range b.backends { // what its silence taught about each backend is void
		if b.zone(backend) == z {
			backend.forgiveSince(z.silenceStartedAt)
		}
	}
	b.recomputeCapacity()
}

// trafficShare is the share of its usual traffic that a zone may get now.
func (b *Balancer) trafficShare(z *zone) float64 {
	return z.failoverState.trafficShare(b.now, b.maxObjective)
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
		share := b.trafficShare(z)
		closed[i] = share < 1 && b.rng.Float64() >= share
		if closed[i] && z.canary && req.possiblyExecuted == 0 && b.classes.lowestPriority(req.class) {
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
