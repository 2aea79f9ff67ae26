package balancer

import "time"

// The records of operators' overrides. Nothing is decided here.

// overrides are what operators ordered about backends, by ID, and about this agent. Endpoint updates neither know nor
// end them.
type overrides struct {
	drainedDemand float64                  // demand of this agent's clients, which were moved elsewhere; 0: not drained
	disabled      map[string]BackendState  // with the state that the endpoint list last gave
	reenabledAt   map[string]time.Duration // while that still means slow start
}

// knowsBackend reports whether an override may name this ID.
func (b *Balancer) knowsBackend(id string) bool {
	_, disabled := b.overrides.disabled[id]
	_, reenabled := b.overrides.reenabledAt[id]
	return disabled || reenabled || b.byID[id] != nil
}
