package balancer

// How far zones are, as the agents measured it: what that counts for beside what a backend needs.

import "time"

const (
	rttStep       = 0.25                   // a trip that changed by less of itself, or by less than
	minRTTStep    = 300 * time.Microsecond // this, is taken as it was: nobody swings by noise
	farObjectives = 0.05                   // of the aim: an idle backend that is so much farther than the nearest zone is none
	farBias       = 0.2                    // of the chance of an idle backend in another zone, where it is known to be farther
	lossEvidence  = 0.9                    // a zone from which so few asks come back is told of as by one peer
)

// onZoneLatencies takes what was measured: a change with one of the next few messages of it, so that agents move by and by.
func (b *Balancer) onZoneLatencies(event ZoneLatencies) {
	for i, z := range b.zones[:min(len(b.zones), len(event.RTT), len(event.Loss))] {
		change := (event.RTT[i] - z.rtt).Abs()
		if event.RTT[i] == 0 || change > max(minRTTStep, time.Duration(rttStep*float64(z.rtt))) && b.rng.IntN(2) == 0 {
			z.rtt = event.RTT[i]
		}
		// evidence, and never the verdict alone
		if event.RTT[i] == 0 && event.Loss[i] >= lossEvidence && i != b.settings.Zone && i < maxLossZones {
			b.onLossReport(b.settings.Self, 1<<i)
		}
	}
}
