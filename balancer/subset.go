package balancer

// Subsetting: how many backends an agent spreads its traffic over. The struct doesn't access the Balancer.

import "time"

const (
	revisitObjectives = 4.0   // time, in longest objectives, in which an agent uses each backend of its subset about once
	subsetDecrease    = 0.9   // factor on the subset size when a backend rejects a new connection
	subsetIncrease    = 1.003 // factor on the subset size after each response
	minSubset         = 3     // minimum subset size
	subsetBase        = 30.0  // maximum subset size before subsetFraction adds its part
	subsetFraction    = 0.1   // share of all backends added to the maximum: limits connections in a large fleet
)

// subset tracks the rate of requests, and whether backends accept new connections.
type subset struct {
	scale            float64       // factor on the subset size, at most 1; lowered by rejected connections
	meanInterarrival float64       // moving average of the time between requests, ns; 0: unknown
	lastArrivalAt    time.Duration // latest request
}

// newSubset returns the subset of an agent that has received no request.
func newSubset() subset { return subset{scale: 1} }

// recordArrival counts a request.
func (s *subset) recordArrival(now time.Duration) {
	if s.lastArrivalAt > 0 {
		s.meanInterarrival = ewma(s.meanInterarrival, float64(now-s.lastArrivalAt))
	}
	s.lastArrivalAt = now
}

// shrink records that a backend rejected a new connection.
func (s *subset) shrink() { s.scale *= subsetDecrease }

// grow records a response.
func (s *subset) grow() { s.scale = min(1, s.scale*subsetIncrease) }

// size returns the number of idle backends that pick chooses from: the first usable backends in this agent's order.
// Departure: an agent that spreads little traffic over all backends would get one response a day from each, and open a
// connection for nearly every attempt. The subset is limited to as many backends as the agent can use once in
// revisitObjectives. If observed is true, peers' observations cover all backends, and size returns the number of all
// backends.
func (s *subset) size(backends int, maxObjective time.Duration, observed bool) int {
	if s.meanInterarrival == 0 || observed {
		return backends
	}
	maxSize := subsetBase + subsetFraction*float64(backends)
	return max(minSubset, int(min(s.scale*revisitObjectives*float64(maxObjective)/s.meanInterarrival, maxSize)))
}
