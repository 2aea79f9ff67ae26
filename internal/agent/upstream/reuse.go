package upstream

// How long idle connections to backends can be trusted.

import (
	"math"
	"math/bits"
	"time"
)

// reuseStats learns how long an idle connection to a backend can be trusted. A backend, or a device in between, may drop
// connections well before the time in the settings without a sign; the request that finds out is a reset that may have
// been executed. Uses and breaks are counted by how long the connection had been idle, in buckets of powers of two; new
// connections have a bucket of their own. The owner of the pool's lock calls its methods.
type reuseStats struct {
	uses, breaks [idleBuckets]float64 // decayed counts, by idleBucket
}

const (
	idleBuckets     = 24
	minBreaks       = 3.0              // breaks before a bucket is doubted: a single one can be chance
	breakRateMargin = 0.15             // break rate above twice that of new connections before a bucket is doubted
	reuseHalfLife   = 30 * time.Second // of the counts, since backends may change
)

// idleBucket is 0 for a new connection, and otherwise grows with the logarithm of the idle time.
func idleBucket(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(idle/time.Millisecond)), idleBuckets-1)
}

// record counts a use of a connection that had been idle for so long, and whether it broke.
func (r *reuseStats) record(idle time.Duration, broken bool) {
	k := idleBucket(idle)
	r.uses[k]++
	if broken {
		r.breaks[k]++
	}
}

// unreliable reports whether connections that had been idle for this long, or less, often turn out broken.
func (r *reuseStats) unreliable(idle time.Duration) bool {
	maxBreakRate := breakRateMargin + 2*r.breaks[0]/max(1, r.uses[0])
	for k := 1; k <= idleBucket(idle); k++ {
		if r.breaks[k] >= minBreaks && r.breaks[k] > maxBreakRate*r.uses[k] {
			return true
		}
	}
	return false
}

// decay ages the counts by a span of time.
func (r *reuseStats) decay(d time.Duration) {
	factor := math.Exp2(-float64(d) / float64(reuseHalfLife))
	for k := range r.uses {
		r.uses[k] *= factor
		r.breaks[k] *= factor
	}
}
