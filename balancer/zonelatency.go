package balancer

// Zone latency: how measured round-trip times and loss between zones affect picking and failover.

import "time"

const (
	rttStep             = 0.25                   // relative change up to which a zone keeps its recorded round-trip time
	minRTTStep          = 300 * time.Microsecond // minimum of this change as a time, so that noise doesn't shift traffic
	farObjectives       = 0.05                   // extra round-trip time, in objectives, at which idle backends count as busy
	farBias             = 0.2                    // further factor on the weight of an idle backend in a zone that is farther
	lossReportThreshold = 0.9                    // share of lost measurements at which a zone counts as reported lost by one peer
)

// onZoneLatencies applies measured round-trip times and losses. Each event applies a change of a round-trip time with a
// probability of one half, so that agents shift their traffic gradually. Small changes are ignored, and an unknown
// round-trip time is applied at once.
func (b *Balancer) onZoneLatencies(event ZoneLatencies) {
	for i, z := range b.zones[:min(len(b.zones), len(event.RTT), len(event.Loss))] {
		change := (event.RTT[i] - z.rtt).Abs()
		if event.RTT[i] == 0 || change > max(minRTTStep, time.Duration(rttStep*float64(z.rtt))) && b.rng.IntN(2) == 0 {
			z.rtt = event.RTT[i]
		}
		// Measured loss counts as one report, which never suffices alone for a failover.
		if event.RTT[i] == 0 && event.Loss[i] >= lossReportThreshold && i != b.settings.Zone && i < maxLossZones {
			b.onLossReport(b.settings.Self, 1<<i)
		}
	}
}
