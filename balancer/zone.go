package balancer

// Zones: the state of each zone, and comparisons between zones.

import "time"

// zone holds what this agent records about one zone. Only the methods of the embedded structs change their fields.
type zone struct {
	sequentialTest
	failoverState
	stableTotals
	number        int
	up            int           // its backends in state Up
	rtt           time.Duration // round-trip time from this agent's zone, as used for picking; 0: unknown
	reservedUntil time.Duration // requests that may go elsewhere avoid the zone until then
	latencyRatio  float64       // moving average of the latency of its responses, relative to the expected latency
}

// recordLatencyRatio adds the latency of a response, relative to the expected latency.
func (z *zone) recordLatencyRatio(ratio float64) { z.latencyRatio = ewma(z.latencyRatio, ratio) }

// congested reports whether the zone's responses take much longer than expected.
func (z *zone) congested() bool { return z.latencyRatio > congestedLatencyRatio }

// reserve makes requests that may go elsewhere avoid the zone until the given time; reserved reports whether they do.
func (z *zone) reserve(until time.Duration)     { z.reservedUntil = until }
func (z *zone) reserved(now time.Duration) bool { return now < z.reservedUntil }

// open reports whether the zone has backends that are up and is not failed over.
func (z *zone) open() bool { return z.up > 0 && !z.failedOver }

// zoneTable holds the zones by number.
type zoneTable []*zone

// of returns the state of a zone, and adds it if it is new. A number below 0, for zones that the settings don't list,
// stands for zone 0.
func (t *zoneTable) of(number int) *zone {
	for len(*t) <= max(number, 0) {
		*t = append(*t, &zone{number: len(*t)})
	}
	return (*t)[max(number, 0)]
}

// byProbeTimer returns the failed-over zone whose next health check has the given timer, or nil.
func (t zoneTable) byProbeTimer(token int64) *zone {
	for _, z := range t {
		if z.isProbeTimer(token) {
			return z
		}
	}
	return nil
}

// recentlyLost returns the zones in a failover that began less than span ago on this agent's own evidence, one bit each.
// Losses that peers reported are not forwarded. Older losses are not reported: they may be out of date, in particular
// for agents that were partitioned off in between.
func (t zoneTable) recentlyLost(now, span time.Duration) (lost uint16) {
	for i, z := range t[:min(len(t), maxLossZones)] {
		if z.recentOwnLoss(now, span) {
			lost |= 1 << i
		}
	}
	return lost
}

// baselineUnansweredRate returns the share of unanswered attempts in normal operation that a zone is compared with: the
// highest share in the other zones, at least minUnansweredRate and at most half of lostUnansweredRate.
func (t zoneTable) baselineUnansweredRate(z *zone) float64 {
	rate := minUnansweredRate
	for _, other := range t {
		if other != z && !other.failedOver {
			rate = max(rate, min(other.unansweredRate, lostUnansweredRate/2))
		}
	}
	return rate
}

// otherZoneHealthy reports whether another zone that is not failed over has responded since the given zone was first
// suspected, and is healthy (see healthyAfter). If there is none, this agent or its own link is the cause, and a
// failover would not help.
func (t zoneTable) otherZoneHealthy(z *zone) bool {
	for _, other := range t {
		if other != z && !other.failedOver && other.healthyAfter(z.suspectedSince) {
			return true
		}
	}
	return false
}

// extraLatency returns how much longer the round-trip time to a zone is than to the nearest open one. It returns 0 if
// the zone's round-trip time is unknown.
func (t zoneTable) extraLatency(zone *zone) time.Duration {
	nearest := zone.rtt
	for _, z := range t {
		if z.rtt > 0 && z.open() {
			nearest = min(nearest, z.rtt)
		}
	}
	return zone.rtt - nearest
}

// spillover returns 0 while responses from the own zone take no longer than responses from the other zone, or if either
// latency is unknown. It rises to 1 at an excess of fullSpilloverExcess.
func (t zoneTable) spillover(own int, z *zone) float64 {
	if own < 0 || own >= len(t) || t[own].latencyRatio == 0 || z.latencyRatio == 0 {
		return 0
	}
	return min(max((t[own].latencyRatio/z.latencyRatio-1)/fullSpilloverExcess, 0), 1)
}

// zone returns the state of a backend's zone.
func (b *Balancer) zone(backend *backendState) *zone { return b.zones.of(backend.Zone) }
