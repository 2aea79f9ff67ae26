package balancer

// Observations: recent outcomes at backends, measured by this agent or its peers, as agents forward them to each other.
// The structs don't access the Balancer.

import "time"

const (
	ratioSteps        = 31.0 // steps per multiple of the expected latency: 8 multiples fit below valueLate
	valueLate         = 254  // value that stands for an overdue or timed-out attempt
	valueFailed       = 255  // value that stands for a failed attempt
	outcomesPerGossip = 2    // outcomes per message with observations: half the cost of one message per outcome
	maxObservations   = 96   // about as many as fit in two messages
)

// observation is one outcome at a backend: its latency as a multiple of the expected one, in steps of 1/ratioSteps, or
// valueLate or valueFailed.
type observation struct {
	key        uint32
	value      byte
	observedAt time.Duration
}

// observeLatency returns the observation of a response with the given latency ratio.
func observeLatency(key uint32, ratio float64, now time.Duration) observation {
	return observation{key, byte(min(ratio, maxLatencyRatio-0.1) * ratioSteps), now}
}

// ratio returns the latency ratio of an observed response.
func (o observation) ratio() float64 { return float64(o.value) / ratioSteps }

// observationLog keeps the latest observations, the newest last.
type observationLog struct {
	recent   []observation
	outcomes int // number of outcomes of this agent's attempts
}

// add appends an observation, and drops the oldest one above maxObservations.
func (l *observationLog) add(entry observation) {
	l.recent = append(l.recent[max(0, len(l.recent)+1-maxObservations):], entry)
}

// countOutcome counts an outcome of this agent, and reports whether it is time to send a message.
func (l *observationLog) countOutcome() bool {
	l.outcomes++
	return l.outcomes%outcomesPerGossip == 0
}

// gossipKey returns a 24-bit hash (FNV-1a with a finalizer) of a backend's ID. Two backends with the same key share
// their observations.
func gossipKey(id string) uint32 {
	h := uint32(2166136261)
	for i := range len(id) {
		h = (h ^ uint32(id[i])) * 16777619
	}
	h = (h ^ h>>16) * 0x85ebca6b // IDs differ mostly in their last bytes: spread the difference over all bits
	h = (h ^ h>>13) * 0xc2b2ae35
	return (h ^ h>>16) >> 8
}
