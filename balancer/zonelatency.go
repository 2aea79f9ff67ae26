package balancer

// Zone latency: how measured round-trip times between zones steer traffic.

import "time"

const (
	rttStep       = 0.25                   // a round-trip time that changed by a smaller share, or by less than
	minRTTStep    = 300 * time.Microsecond // this keeps its old value: noise must not swing traffic
	farObjectives = 0.05                   // a zone farther than the nearest by this share of the objective has no idle backends
	farBias       = 0.2                    // further bias against an idle backend in another zone that is known to be farther
	lossEvidence  = 0.9                    // a zone with this measured loss counts as reported lost by one peer
)

// onZoneLatencies applies measured round-trip times. A change is applied at one of the next few events, at random, so
// that agents shift their traffic gradually.
func (b *Balancer) onZoneLatencies(event ZoneLatencies) {
	for i, z := range b.zones[:min(len(b.zones), len(event.RTT), len(event.Loss))] {
		change := (event.RTT[i] - z.rtt).Abs()
		if event.RTT[i] == 0 || change > max(minRTTStep, time.Duration(rttStep*float64(z.rtt))) && b.rng.IntN(2) == 0 {
			z.rtt = event.RTT[i]
		}
		// loss is evidence, and never decides alone
		if event.RTT[i] == 0 && event.Loss[i] >= lossEvidence && i != b.settings.Zone && i < maxLossZones {
			b.onLossReport(b.settings.Self, 1<<i)
		}
	}
}
