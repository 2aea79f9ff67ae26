package balancer

// Zones: the record of each, and how it compares with the others.

import "time"

// zone is what the agent knows about a zone as a whole. The embedded structs own their fields.
type zone struct {
	sequentialTest
	failoverState
	stableTotals
	number        int
	up            int           // its backends in state Up
	rtt           time.Duration // round-trip time from this agent's zone, as used for steering; 0: unknown
	reservedUntil time.Duration // requests that may go elsewhere avoid the zone until then
	latencyRatio  float64       // moving average of the latency of its answers, relative to the expected latency
}

// recordLatency adds the latency of an answer, relative to the expected latency.
func (z *zone) recordLatency(ratio float64) { z.latencyRatio = ewma(z.latencyRatio, ratio) }

// crowded reports whether the zone's answers take much longer than expected.
func (z *zone) crowded() bool { return z.latencyRatio > crowdedLatencyRatio }

// reserve makes requests that may go elsewhere avoid the zone for a while; reserved reports whether they do.
func (z *zone) reserve(until time.Duration)     { z.reservedUntil = until }
func (z *zone) reserved(now time.Duration) bool { return now < z.reservedUntil }

// open reports whether the zone has backends and no failover.
func (z *zone) open() bool { return z.up > 0 && !z.failedOver }

// zoneTable holds the zones by number.
type zoneTable []*zone

// of returns the record of a zone, and adds it if it is new. Zones that the settings don't know, with a number below 0,
// share that of zone 0.
func (t *zoneTable) of(number int) *zone {
	for len(*t) <= max(number, 0) {
		*t = append(*t, &zone{number: len(*t)})
	}
	return (*t)[max(number, 0)]
}

// byProbeTimer returns the failed-over zone whose next health check the timer is for, or nil.
func (t zoneTable) byProbeTimer(token int64) *zone {
	for _, z := range t {
		if z.isProbeTimer(token) {
			return z
		}
	}
	return nil
}

// recentlyLost returns the zones that this agent failed over from within the span on its own evidence, one bit each.
// Reports of peers are not passed on. An earlier loss says nothing about the present, least of all to agents that were
// cut off in the meantime.
func (t zoneTable) recentlyLost(now, span time.Duration) (lost uint16) {
	for i, z := range t[:min(len(t), maxLossZones)] {
		if z.recentOwnLoss(now, span) {
			lost |= 1 << i
		}
	}
	return lost
}

// baselineSilence is the share of attempts without any answer in the other zones, which a zone is compared with.
func (t zoneTable) baselineSilence(z *zone) float64 {
	rate := minBaselineSilence
	for _, other := range t {
		if other != z && !other.failedOver {
			rate = max(rate, min(other.silenceRate, lostSilenceRate/2))
		}
	}
	return rate
}

// othersAnswer reports whether another zone has answered since this one fell silent. If none has, the silence is that
// of this agent or its own link, and there is nothing to fail over from.
func (t zoneTable) othersAnswer(z *zone) bool {
	for _, other := range t {
		if other != z && !other.failedOver && other.worksAfter(z.silenceStartedAt) {
			return true
		}
	}
	return false
}

// extraLatency is how much farther away a zone is than the nearest one in use. 0 also means unknown.
func (t zoneTable) extraLatency(zone *zone) time.Duration {
	nearest := zone.rtt
	for _, z := range t {
		if z.rtt > 0 && z.open() {
			nearest = min(nearest, z.rtt)
		}
	}
	return zone.rtt - nearest
}

// spillover is 0 while answers from the own zone take no longer than those from the other zone, and rises to 1 where
// they take longer by spilloverAt.
func (t zoneTable) spillover(own int, z *zone) float64 {
	if own < 0 || own >= len(t) || t[own].latencyRatio == 0 || z.latencyRatio == 0 {
		return 0
	}
	return min(max((t[own].latencyRatio/z.latencyRatio-1)/spilloverAt, 0), 1)
}

// zone returns the record of a backend's zone.
func (b *Balancer) zone(backend *backendState) *zone { return b.zones.of(backend.Zone) }
