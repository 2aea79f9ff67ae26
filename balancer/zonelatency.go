package balancer

// Zone latency: how measured round-trip times and loss between zones affect picking and failover.

import "time"

const (
	rttStep             = 0.25                   // relative change up to which a zone keeps its old round-trip time
	minRTTStep          = 300 * time.Microsecond // the same as a time: noise must not shift traffic
	farObjectives       = 0.05                   // extra latency, in objectives, at which idle backends count as busy
	farBias             = 0.2                    // further factor on the weight of an idle backend in a zone that is farther
	lossReportThreshold = 0.9                    // measured loss from which a zone counts as reported lost by one peer
)

// onZoneLatencies applies measured round-trip times. A change is applied at one of the next few events, at random, so
// that agents shift their traffic gradually.
func (b *Balancer) onZoneLatencies(event ZoneLatencies) {
	for i, z := range b.zones[:min(len(b.zones), len(event.RTT), len(event.Loss))] {
		change := (event.RTT[i] - z.rtt).Abs()
		if event.RTT[i] == 0 || change > max(minRTTStep, time.Duration(rttStep*float64(z.rtt))) && b.rng.IntN(2) == 0 {
			z.rtt = event.RTT[i]
		}
		// Measured loss counts as one report, and never suffices alone for a failover.
		if event.RTT[i] == 0 && event.Loss[i] >= lossReportThreshold && i != b.settings.Zone && i < maxLossZones {
			b.onLossReport(b.settings.Self, 1<<i)
		}
	}
}
