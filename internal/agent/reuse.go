package agent

import (
	"math"
	"math/bits"
	"time"
)

// reuseStats learns for how long idle connections to backends can be trusted. A backend, or what lies
// between, may drop one well before the time in the settings and say nothing: the request that
// finds out is a reset that may have run. Connections are counted by the time they had been idle,
// in powers of two, and new ones apart.
type reuseStats struct {
	uses, breaks [idleBuckets]float64 // decayed counts, by idleBucket
}

const (
	idleBuckets     = 24
	minBreaks       = 3.0              // breaks before a class is doubted: one can be chance
	breakRateMargin = 0.15             // and so much more often than twice what new ones break
	reuseHalfLife   = 30 * time.Second // of the counts: what was dropped once may be kept later
)

// idleBucket is 0 for a new connection, else it grows with the logarithm of the time idle.
func idleBucket(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(idle/time.Millisecond)), idleBuckets-1)
}

// record takes how a request on a connection ended that had been idle for so long.
func (r *reuseStats) record(idle time.Duration, broken bool) {
	k := idleBucket(idle)
	r.uses[k]++
	if broken {
		r.breaks[k]++
	}
}

// unreliable reports whether connections that were idle for so long, or less, are often found
// broken.
func (r *reuseStats) unreliable(idle time.Duration) bool {
	maxBreakRate := breakRateMargin + 2*r.breaks[0]/max(1, r.uses[0])
	for k := 1; k <= idleBucket(idle); k++ {
		if r.breaks[k] >= minBreaks && r.breaks[k] > maxBreakRate*r.uses[k] {
			return true
		}
	}
	return false
}

// decay lets a while pass over what was learned.
func (r *reuseStats) decay(d time.Duration) {
	f := math.Exp2(-float64(d) / float64(reuseHalfLife))
	for k := range r.uses {
		r.uses[k] *= f
		r.breaks[k] *= f
	}
}
