package balancer

// How far zones are, as the agents measured it: what that counts for beside what a backend needs.

import "time"

const (
	tripStep  = 0.25                   // a trip that changed by less of itself, or by less than
	tripLeast = 300 * time.Microsecond // this, is taken as it was: nobody swings by noise
	farAim    = 0.05                   // of the aim: an idle backend that is so much farther than the nearest zone is none
	farBias   = 0.2                    // of the chance of an idle backend in another zone, where it is known to be farther
	probeLoss = 0.9                    // a zone from which so few asks come back is told of as by one peer
)

// onDistances takes what was measured: a change with one of the next few messages of it, so that agents move by and by.
func (b *Balancer) onDistances(e Distances) {
	for i, z := range b.zones[:min(len(b.zones), len(e.Trip), len(e.Loss))] {
		off := (e.Trip[i] - z.trip).Abs()
		if e.Trip[i] == 0 || off > max(tripLeast, time.Duration(tripStep*float64(z.trip))) && b.rng.IntN(2) == 0 {
			z.trip = e.Trip[i]
		}
		if e.Trip[i] == 0 && e.Loss[i] >= probeLoss && i != b.s.Zone && i < lostZones { // evidence, and never the verdict alone
			b.onLossReport(b.s.Self, 1<<i)
		}
	}
}
