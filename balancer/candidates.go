package balancer

// The candidates for one request, and the order in which they are preferred. The struct doesn't access the Balancer.

import (
	"cmp"
	"math"
)

// candidates keeps the best backends offered so far.
type candidates struct {
	remainingIdle              int           // number of idle backends that may still be offered
	idle, busy, ejected        *backendState // backend chosen so far in each of these groups; nil: none
	totalWeight                float64       // sum over the idle backends offered
	lowestScore, lowestPenalty float64       // score of busy, penalty of ejected; infinite: none
}

// newCandidates returns an empty set, which is full after maxIdle idle backends.
func newCandidates(maxIdle int) candidates {
	return candidates{remainingIdle: maxIdle, lowestScore: math.Inf(1), lowestPenalty: math.Inf(1)}
}

// full reports whether enough idle backends were offered.
func (c *candidates) full() bool { return c.remainingIdle <= 0 }

// offerIdle offers an idle backend. Each idle backend is chosen with a probability in proportion to its weight (weighted
// reservoir sampling); draw is a random number in [0, 1).
func (c *candidates) offerIdle(backend *backendState, weight, draw float64) {
	c.remainingIdle--
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

// best returns the idle candidate, else the busy one, else the ejected one: a first attempt is sent even if all
// backends are ejected. It returns nil if no backend was offered.
func (c *candidates) best() *backendState { return cmp.Or(c.idle, c.busy, c.ejected) }
