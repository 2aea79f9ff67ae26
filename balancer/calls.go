package balancer

import "time"

// The records of operators' calls. Nothing is decided here.

// calls is what operators said of backends, by id, and of this agent. The list knows nothing of it and
// ends none of it.
type calls struct {
	moved    float64                  // the demand of this agent's clients, who were sent elsewhere; 0: they are here
	detached map[string]BackendState  // with the state that the list last told
	returned map[string]time.Duration // when they were called back, while that still makes them cold
}

// has reports whether a call may name this id.
func (b *Balancer) has(id string) bool {
	_, out := b.calls.detached[id]
	_, back := b.calls.returned[id]
	return out || back || b.byID[id] != nil
}
