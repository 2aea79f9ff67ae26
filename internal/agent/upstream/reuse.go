package upstream

// This file measures for how long idle connections to backends stay reliable.

import (
	"math"
	"math/bits"
	"time"
)

// reuseStats estimates the idle time up to which connections to backends are reliable. A backend, or a network device,
// may drop a connection well before the idle time in the settings without closing it. The next request then ends as a
// reset, and may have been executed. Uses and breaks are counted by the idle time before the use, in buckets of powers
// of two; new connections have a separate bucket. The caller of its methods holds the pool's mu.
type reuseStats struct {
	uses, breaks [idleBuckets]float64 // decayed counts, by idleBucket
}

const (
	idleBuckets     = 24
	minBreaks       = 3.0              // breaks before a bucket is unreliable, since a single break can be chance
	breakRateMargin = 0.15             // a bucket is unreliable if its break rate exceeds twice that of new connections by this margin
	reuseHalfLife   = 30 * time.Second // of the counts, since the behaviour of backends may change
)

// idleBucket returns 0 for a new connection; for others, the bucket grows with the logarithm of the idle time.
func idleBucket(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(idle/time.Millisecond)), idleBuckets-1)
}

// record counts a use of a connection after the given idle time, and a break if the connection broke.
func (r *reuseStats) record(idle time.Duration, broken bool) {
	k := idleBucket(idle)
	r.uses[k]++
	if broken {
		r.breaks[k]++
	}
}

// unreliable reports whether connections often break when they are used after this idle time, or a shorter one.
func (r *reuseStats) unreliable(idle time.Duration) bool {
	maxBreakRate := breakRateMargin + 2*r.breaks[0]/max(1, r.uses[0])
	for k := 1; k <= idleBucket(idle); k++ {
		if r.breaks[k] >= minBreaks && r.breaks[k] > maxBreakRate*r.uses[k] {
			return true
		}
	}
	return false
}

// decay ages the counts by d: they halve in each reuseHalfLife.
func (r *reuseStats) decay(d time.Duration) {
	factor := math.Exp2(-float64(d) / float64(reuseHalfLife))
	for k := range r.uses {
		r.uses[k] *= factor
		r.breaks[k] *= factor
	}
}
