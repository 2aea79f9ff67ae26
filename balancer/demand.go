package balancer

// The demand estimate: the work that this agent's clients request. Nothing is decided here.

import (
	"math"
	"time"
)

// demandEstimate is the decaying sum of the work, in ns, of the clients' first attempts.
type demandEstimate struct {
	decayingSum
	startedAt time.Duration // when the estimate started
	interval  time.Duration // between two gossip rounds
}

// newDemandEstimate returns an empty estimate. The time constant of its decay is peerExpiry gossip intervals, the
// time in which peers expire.
func newDemandEstimate(interval time.Duration) demandEstimate {
	return demandEstimate{decayingSum: decayingSum{timeConstant: peerExpiry * float64(interval)}, interval: interval}
}

// start sets the time from which on work is added.
func (d *demandEstimate) start(now time.Duration) { d.startedAt = now }

// steady returns the sum, in ns, extrapolated to that of an agent that has run for a long time. Without the
// extrapolation a restarted agent would compute too low a share of the demand for itself.
func (d *demandEstimate) steady(now time.Duration) float64 {
	age := max(float64(now-d.startedAt), float64(d.interval)/4)
	return d.value(now) / (1 - math.Exp(-age/d.timeConstant))
}

// resume adds the demand of an earlier process. The estimate then counts as that of an agent that has run for a long
// time.
func (d *demandEstimate) resume(now time.Duration, work float64) {
	d.add(now, work)
	d.startedAt = now - time.Duration(4*d.timeConstant)
}
