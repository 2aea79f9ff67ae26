package balancer

// The demand estimate: the work that this agent's clients ask for. Nothing is decided here.

import (
	"math"
	"time"
)

// demandEstimate is the decayed work, in ns, of the first attempts that clients asked for.
type demandEstimate struct {
	decayingSum
	startedAt time.Duration // of the estimate
	interval  time.Duration // between two gossip rounds
}

// newDemandEstimate returns an estimate that forgets as peers expire: within peerExpiry gossip intervals.
func newDemandEstimate(interval time.Duration) demandEstimate {
	return demandEstimate{decayingSum: decayingSum{timeConstant: peerExpiry * float64(interval)}, interval: interval}
}

// start notes the time from which work was added.
func (d *demandEstimate) start(now time.Duration) { d.startedAt = now }

// steady returns the sum extrapolated to an agent that has run for long. Without that a restarted agent would take
// itself for a quiet one beside its peers.
func (d *demandEstimate) steady(now time.Duration) float64 {
	age := max(float64(now-d.startedAt), float64(d.interval)/4)
	return d.value(now) / (1 - math.Exp(-age/d.timeConstant))
}

// resume continues from the demand that an earlier process saw, as if this process had run for long.
func (d *demandEstimate) resume(now time.Duration, work float64) {
	d.add(now, work)
	d.startedAt = now - time.Duration(4*d.timeConstant)
}
