package agent

import (
	"math"
	"math/bits"
	"time"
)

// reuse learns for how long idle connections to backends can be trusted. A backend, or what lies
// between, may drop one well before the time in the settings and say nothing: the request that
// finds out is a reset that may have run. Connections are counted by the time they had been idle,
// in powers of two, and new ones apart.
type reuse struct {
	tried, broke [idleClasses]float64 // decayed counts, by idleClass
}

const (
	idleClasses  = 24
	reuseLeast   = 3.0              // breaks before a class is doubted: one can be chance
	reuseExcess  = 0.15             // and so much more often than twice what new ones break
	reuseHalving = 30 * time.Second // of the counts: what was dropped once may be kept later
)

// idleClass is 0 for a new connection, else it grows with the logarithm of the time idle.
func idleClass(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return min(1+bits.Len64(uint64(idle/time.Millisecond)), idleClasses-1)
}

// learn takes how a request on a connection ended that had been idle for so long.
func (r *reuse) learn(idle time.Duration, broken bool) {
	k := idleClass(idle)
	r.tried[k]++
	if broken {
		r.broke[k]++
	}
}

// doubtful reports whether connections that were idle for so long, or less, are often found
// broken.
func (r *reuse) doubtful(idle time.Duration) bool {
	most := reuseExcess + 2*r.broke[0]/max(1, r.tried[0])
	for k := 1; k <= idleClass(idle); k++ {
		if r.broke[k] >= reuseLeast && r.broke[k] > most*r.tried[k] {
			return true
		}
	}
	return false
}

// fade lets a while pass over what was learned.
func (r *reuse) fade(d time.Duration) {
	f := math.Exp2(-float64(d) / float64(reuseHalving))
	for k := range r.tried {
		r.tried[k] *= f
		r.broke[k] *= f
	}
}
