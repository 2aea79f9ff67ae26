package balancer

// Zone failover: when all traffic is moved out of a zone, and how the zone is put back into use. The backends of a zone
// that is lost or partitioned off don't respond. If each backend were detected separately, attempts at these backends
// would wait until their clients' deadlines and fill the concurrency limit while the other zones are idle.

import "time"

// recordUnanswered counts an overdue attempt, or one that timed out while connecting, as evidence that its zone is lost.
// An attempt counts once, and only if no response of any kind has arrived from the zone since the attempt was sent: a
// zone that is merely slow still responds.
func (b *Balancer) recordUnanswered(a *attempt, result Result) {
	z := b.zone(a.backend)
	if a.countedUnanswered || z.failedOver || z.respondedSince(a.sentAt) ||
		result != ConnectFailed && float64(b.now-a.sentAt) < overdueLatencies*a.expected {
		return // queues in all zones raise the expected latency, so a shorter wait may be due to queueing
	}
	a.countedUnanswered = true
	z.recordUnanswered(a.sentAt, b.zones.baselineUnansweredRate(z), &a.backend.unanswered)
	b.evaluateZone(z, true)
}

// evaluateZone fails over from a zone if the sequential test and the peers' reports since the zone's last response
// indicate that the zone is lost, and another zone is healthy. Each response discards the reports, so reports have no
// effect at an agent that frequently gets responses from the zone. ownEvidence is false if a peer's report caused the
// call.
func (b *Balancer) evaluateZone(z *zone, ownEvidence bool) {
	validity := time.Duration(reportObjectives * float64(b.maxObjective))
	if lost := z.lost(b.now, validity); lost && !z.failedOver && b.zones.otherZoneHealthy(z) {
		b.failOver(z, ownEvidence)
	}
}

// onLossReport applies a peer's report of the zones that the peer found lost on its own evidence, except for zones that
// have recently responded to this agent. It ignores a report that includes this agent's own zone: the peer is on the
// other side of a network partition, and its reports don't apply on this side.
func (b *Balancer) onLossReport(from int, lost uint16) {
	if lost == 0 || b.settings.Zone < maxLossZones && lost>>max(b.settings.Zone, 0)&1 != 0 {
		return
	}
	for i, z := range b.zones[:min(len(b.zones), maxLossZones)] {
		if lost>>i&1 == 0 || z.failedOver || z.respondedRecently(b.now, time.Duration(b.classes[0].latency)) {
			continue
		}
		z.recordReport(from, b.now, b.now-b.maxObjective) // evaluateZone requires a response from another zone after this time
		b.evaluateZone(z, false)
	}
}

// recordZoneResponse counts a response of any kind as evidence that its backend's zone is not lost.
func (b *Balancer) recordZoneResponse(backend *backendState) {
	z := b.zone(backend)
	z.recordResponse(b.now)
	if z.failedOver { // the response to the canary, or one that a partition delayed
		b.applyProbeResult(z, true)
	}
	if z.suspected() {
		z.refute(b.zones.baselineUnansweredRate(z))
	}
}

// failOver moves the traffic of a zone to the other zones until its health checks succeed. A failover on this agent's
// own evidence is also reported to peers.
func (b *Balancer) failOver(z *zone, ownEvidence bool) {
	z.failoverState.failOver(b.now, b.settings.SlowStartWindow+1, ownEvidence)
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number, FailedOver: true, ByGossip: !ownEvidence})
	b.recomputeCapacity()
	b.probeZone(z)
	if ownEvidence && b.settings.GossipAllowed {
		b.gossipToSample()
	}
}

// probeZone starts a health check of one random backend of a failed-over zone, or admits one request to the zone if the
// settings don't allow health checks. It schedules the next check.
func (b *Balancer) probeZone(z *zone) {
	interval := z.probeInterval(b.maxObjective, b.settings.Balancers)
	z.scheduleProbe(b.setTimer(time.Duration(interval * (0.75 + 0.5*b.rng.Float64()))))
	seen, target := 0, (*backendState)(nil)
	for _, backend := range b.backends {
		if backend.State == Up && b.zone(backend) == z {
			if seen++; b.rng.IntN(seen) == 0 {
				target = backend
			}
		}
	}
	switch {
	case target == nil:
	case b.settings.ProbingAllowed:
		b.actions = append(b.actions, Probe{Backend: target.ID})
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
	b.applyProbeResult(b.zone(backend), event.Result == OK || event.Result == Rejected || event.Result == Errored)
}

// applyProbeResult applies the result of a health check, or a response to a request. When the zone recovers, its
// traffic share grows along a ramp.
func (b *Balancer) applyProbeResult(z *zone, ok bool) {
	if !z.recordProbe(ok, b.now, b.maxObjective) {
		return
	}
	b.actions = append(b.actions, ZoneStateChanged{Zone: z.number})
	z.recover(b.now)
	z.reset(b.now)
	for _, backend := range b.backends { // the zone's outage caused the failures and time-outs of its backends
		if b.zone(backend) == z {
			backend.clearFailuresSince(z.suspectedSince)
		}
	}
	b.recomputeCapacity()
}

// trafficShare returns the share of its usual traffic that a zone may get now, from 0 to 1.
func (b *Balancer) trafficShare(z *zone) float64 {
	return z.failoverState.trafficShare(b.now, b.maxObjective)
}

// closedZones returns, by zone number, which zones a request must avoid: failed-over zones, a random part of recovering
// zones, and reserved zones. It returns nil, which closes no zone, if every permitted zone that has backends is failed
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
