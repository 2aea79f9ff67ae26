package balancer

// The candidates of one choice of a backend, and their order. The struct stands alone.

import (
	"cmp"
	"math"
)

// candidates keeps the best backends offered so far.
type candidates struct {
	remaining                  int           // idle backends that may still be offered
	idle, busy, ejected        *backendState // the best of each sort; nil: none
	totalWeight                float64       // of the idle ones
	lowestScore, lowestPenalty float64       // of the other two
}

// newCandidates returns none, for a choice among so many idle backends.
func newCandidates(subset int) candidates {
	return candidates{remaining: subset, lowestScore: math.Inf(1), lowestPenalty: math.Inf(1)}
}

// full reports whether enough idle backends were offered.
func (c *candidates) full() bool { return c.remaining <= 0 }

// offerIdle offers an idle backend. Each is chosen in proportion to its weight (weighted reservoir sampling); draw is a
// random number in [0, 1).
func (c *candidates) offerIdle(backend *backendState, weight, draw float64) {
	c.remaining--
	if c.totalWeight += weight; draw*c.totalWeight < weight {
		c.idle = backend
	}
}

// offerBusy offers a backend with outstanding attempts. The lowest score is chosen.
func (c *candidates) offerBusy(backend *backendState, score float64) {
	if score < c.lowestScore {
		c.busy, c.lowestScore = backend, score
	}
}

// offerEjected offers a backend that should get no ordinary traffic. The lowest penalty is chosen.
func (c *candidates) offerEjected(backend *backendState, penalty float64) {
	if penalty < c.lowestPenalty {
		c.ejected, c.lowestPenalty = backend, penalty
	}
}

// best returns an idle backend if there is one, else the least loaded one, else an ejected one: if all are ejected, a
// first attempt is sent all the same. nil: there is none.
func (c *candidates) best() *backendState { return cmp.Or(c.idle, c.busy, c.ejected) }
