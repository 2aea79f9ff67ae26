package balancer

import "time"

// The records of operators' calls. Nothing is decided here.

// overrides is what operators said of backends, by id, and of this agent. The list knows nothing of it and
// ends none of it.
type overrides struct {
	drainedDemand float64                  // the demand of this agent's clients, who were sent elsewhere; 0: they are here
	disabled      map[string]BackendState  // with the state that the list last told
	reenabledAt   map[string]time.Duration // when they were called back, while that still makes them cold
}

// knowsBackend reports whether a call may name this id.
func (b *Balancer) knowsBackend(id string) bool {
	_, disabled := b.overrides.disabled[id]
	_, reenabled := b.overrides.reenabledAt[id]
	return disabled || reenabled || b.byID[id] != nil
}
