package balancer

// The record of each zone. Nothing is decided here.

import "time"

// zone is what the agent knows about a zone as a whole.
type zone struct {
	number               int
	up                   int           // its backends in state Up
	stableBackends       int           // those that are counted here from step to step
	stableOutstanding    int           // attempts outstanding at these
	logLikelihoodRatio   float64       // sequential test for the loss of the zone; 0: no evidence
	silenceEpisode       int           // number of the latest period in which the ratio was above 0
	silenceStartedAt     time.Duration // when the first silent attempt of that period was sent
	silenceRate          float64       // moving average of the share of attempts without any answer
	lastAnswerAt         time.Duration // latest answer
	failedOver           bool
	failedOverAt         time.Duration // latest failover
	backoffExponent      float64       // number of failovers, decaying
	probeTimer           int64         // token of the timer of the next health check
	consecutiveSuccesses int           // health checks answered in a row
	canary               bool          // one request may be sent there in place of a health check
	recoveryStartedAt    time.Duration // 0: the zone has its full share of traffic
	ownEvidence          bool          // failed over on this agent's own evidence, not on reports
	reports              []lossReport  // reports of its loss, one for each peer
	rtt                  time.Duration // round-trip time from this agent's zone, as used for steering; 0: unknown
	reservedUntil        time.Duration // other requests avoid the zone until then
	latencyRatio         float64       // moving average of the latency of its answers, relative to the expected latency
}

// lossReport is a peer's report that a zone is lost.
type lossReport struct {
	from       int
	receivedAt time.Duration
}

// zone returns the record of a backend's zone. Zones that the settings don't know share one.
func (b *Balancer) zone(backend *backendState) *zone {
	for len(b.zones) <= max(backend.Zone, 0) {
		b.zones = append(b.zones, &zone{number: len(b.zones)})
	}
	return b.zones[max(backend.Zone, 0)]
}

// zoneByProbeTimer returns the failed-over zone whose next health check the timer is for, or nil.
func (b *Balancer) zoneByProbeTimer(token int64) *zone {
	for _, z := range b.zones {
		if z.failedOver && z.probeTimer == token {
			return z
		}
	}
	return nil
}

// recentlyLostZones returns the zones that this agent failed over from recently on its own evidence, one bit each.
// Reports of peers are not passed on. An earlier loss says nothing about the present, least of all to agents that were
// cut off in the meantime.
func (b *Balancer) recentlyLostZones() (lost uint16) {
	for i, z := range b.zones[:min(len(b.zones), maxLossZones)] {
		if z.failedOver && z.ownEvidence && b.now-z.failedOverAt < b.maxObjective {
			lost |= 1 << i
		}
	}
	return lost
}

// baselineSilence is the share of attempts without any answer in the other zones, which a zone is compared with.
func (b *Balancer) baselineSilence(z *zone) float64 {
	rate := minBaselineSilence
	for _, other := range b.zones {
		if other != z && !other.failedOver {
			rate = max(rate, min(other.silenceRate, lostSilenceRate/2))
		}
	}
	return rate
}

// lowestPriority reports whether no class has a lower priority weight.
func (b *Balancer) lowestPriority(class int) bool {
	for i := range b.classes {
		if b.classes[i].PriorityWeight < b.classes[class].PriorityWeight {
			return false
		}
	}
	return true
}

// crossingCost is the cost of sending to a zone, as a share of the result.
func (b *Balancer) crossingCost(zone int) float64 {
	switch own, regions := b.settings.Zone, b.settings.Regions; {
	case zone == own:
		return 0
	case zone >= 0 && zone < len(regions) && own >= 0 && own < len(regions) && regions[zone] != regions[own]:
		return max(b.settings.CrossZoneCost, b.settings.CrossRegionCost)
	}
	return b.settings.CrossZoneCost
}

// extraLatency is how much farther away a zone is than the nearest one in use. 0 also means unknown.
func (b *Balancer) extraLatency(zone *zone) time.Duration {
	nearest := zone.rtt
	for _, z := range b.zones {
		if z.rtt > 0 && z.up > 0 && !z.failedOver {
			nearest = min(nearest, z.rtt)
		}
	}
	return zone.rtt - nearest
}
