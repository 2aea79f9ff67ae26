package balancer

// What is known of each zone. Nothing is decided here.

import "time"

// zone is what is known of a zone as a whole.
type zone struct {
	number               int
	up                   int           // its backends that the list says are up
	stableBackends       int           // of these, those that are counted here from step to step ...
	stableOutstanding    int           // ... and the attempts in flight there
	logLikelihoodRatio   float64       // log odds that it is lost; 0: nothing speaks for that
	silenceEpisode       int           // counts times at which something began to
	silenceStartedAt     time.Duration // when the attempt was sent that did
	silenceRate          float64       // running share of attempts without an answer of any kind
	lastAnswerAt         time.Duration // latest answer
	failedOver           bool
	failedOverAt         time.Duration // left then, the last time
	backoffExponent      float64       // times left, fading
	probeTimer           int64         // of the timer of the next probe
	consecutiveSuccesses int           // probes answered in a row
	canary               bool          // one request may go there
	recoveryStartedAt    time.Duration // used again since; 0: it has its full part
	ownEvidence          bool          // left for what this agent saw itself, not by what it was told
	reports              []lossReport  // what others told of its loss, a peer once
	rtt                  time.Duration // round trip from this agent's zone, as steering takes it; 0: not known
	reservedUntil        time.Duration // until then requests that may go elsewhere keep out of it
	latencyRatio         float64       // running mean of what its answers take, as a multiple of the expected
}

// lossReport is a peer's report that a zone is lost, and when it came.
type lossReport struct {
	from       int
	receivedAt time.Duration
}

// zone is the zone of a backend. Those that the settings don't know share one.
func (b *Balancer) zone(backend *backendState) *zone {
	for len(b.zones) <= max(backend.Zone, 0) {
		b.zones = append(b.zones, &zone{number: len(b.zones)})
	}
	return b.zones[max(backend.Zone, 0)]
}

// zoneByProbeTimer is the left zone whose next probe a timer is for.
func (b *Balancer) zoneByProbeTimer(token int64) *zone {
	for _, z := range b.zones {
		if z.failedOver && z.probeTimer == token {
			return z
		}
	}
	return nil
}

// recentlyLostZones names the zones that this agent left of late for what it saw itself, a bit each: what peers report is
// not passed on, and that a zone was lost a while ago says nothing of now, least of all to those who were cut off meanwhile.
func (b *Balancer) recentlyLostZones() (lost uint16) {
	for i, z := range b.zones[:min(len(b.zones), maxLossZones)] {
		if z.failedOver && z.ownEvidence && b.now-z.failedOverAt < b.maxObjective {
			lost |= 1 << i
		}
	}
	return lost
}

// baselineSilence is the share of attempts that the other zones leave without an answer of any kind: what a zone is held against.
func (b *Balancer) baselineSilence(z *zone) float64 {
	rate := minBaselineSilence
	for _, other := range b.zones {
		if other != z && !other.failedOver {
			rate = max(rate, min(other.silenceRate, lostSilenceRate/2))
		}
	}
	return rate
}

// lowestPriority reports whether no class is worth less.
func (b *Balancer) lowestPriority(class int) bool {
	for i := range b.classes {
		if b.classes[i].PriorityWeight < b.classes[class].PriorityWeight {
			return false
		}
	}
	return true
}

// crossingCost is what sending to a zone costs.
func (b *Balancer) crossingCost(zone int) float64 {
	switch own, regions := b.settings.Zone, b.settings.Regions; {
	case zone == own:
		return 0
	case zone >= 0 && zone < len(regions) && own >= 0 && own < len(regions) && regions[zone] != regions[own]:
		return max(b.settings.CrossZoneCost, b.settings.CrossRegionCost)
	}
	return b.settings.CrossZoneCost
}

// extraLatency is how much farther a zone is than the nearest one that is in use; 0: that is not known.
func (b *Balancer) extraLatency(zone *zone) time.Duration {
	nearest := zone.rtt
	for _, z := range b.zones {
		if z.rtt > 0 && z.up > 0 && !z.failedOver {
			nearest = min(nearest, z.rtt)
		}
	}
	return zone.rtt - nearest
}
