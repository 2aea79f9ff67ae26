package balancer

// Subsetting: how many backends an agent spreads its traffic over. The struct stands alone.

import "time"

const (
	revisitObjectives = 4.0   // longest objectives within which a quiet agent revisits each backend of its subset
	subsetDecrease    = 0.9   // factor of the subset size when a backend rejects a new connection
	subsetIncrease    = 1.003 // and after each answer
	minSubset         = 3     // idle backends that a choice is made among, at least
	subsetBase        = 30.0  // and at most this
	subsetFraction    = 0.1   // plus this share of all: connections must not grow in step with the fleet
)

// subset follows the rate of requests, and the connections that backends have for this agent.
type subset struct {
	scale            float64       // share of the subset to which connections are possible
	meanInterarrival float64       // moving average of the time between requests, ns; 0: unknown
	lastArrivalAt    time.Duration // latest request
}

// newSubset returns the subset of an agent without any request.
func newSubset() subset { return subset{scale: 1} }

// arrive counts a request.
func (s *subset) arrive(now time.Duration) {
	if s.lastArrivalAt > 0 {
		s.meanInterarrival = ewma(s.meanInterarrival, float64(now-s.lastArrivalAt))
	}
	s.lastArrivalAt = now
}

// shrink notes that a backend rejected a new connection.
func (s *subset) shrink() { s.scale *= subsetDecrease }

// grow notes an answer.
func (s *subset) grow() { s.scale = min(1, s.scale*subsetIncrease) }

// size is how many idle backends a choice is made among: the first usable ones in this agent's own order. Departure:
// an agent with little traffic, spread over all backends, would hear from each once a day and open a connection for
// nearly every attempt. It keeps to as many as it revisits within a few objectives. This has no effect where
// observations of peers tell about all backends.
func (s *subset) size(backends int, maxObjective time.Duration, observed bool) int {
	if s.meanInterarrival == 0 || observed {
		return backends
	}
	maxSize := subsetBase + subsetFraction*float64(backends)
	return max(minSubset, int(min(s.scale*revisitObjectives*float64(maxObjective)/s.meanInterarrival, maxSize)))
}
