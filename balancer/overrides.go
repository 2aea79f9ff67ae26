package balancer

// The operators' overrides: which backends are disabled or were re-enabled, by ID. Endpoint updates neither know nor
// end them. The struct stands alone.

import "time"

// overrides are the operators' orders in force. The zero value has none.
type overrides struct {
	disabled    map[string]BackendState  // with the state that the endpoint list last gave
	reenabledAt map[string]time.Duration // while that still means slow start
}

// knows reports whether an override is in force for the ID.
func (o *overrides) knows(id string) bool {
	_, disabled := o.disabled[id]
	_, reenabled := o.reenabledAt[id]
	return disabled || reenabled
}

// disable records that a backend was disabled in the given state. It reports false if it was disabled already.
func (o *overrides) disable(id string, listed BackendState) bool {
	if _, disabled := o.disabled[id]; disabled {
		return false
	}
	if o.disabled == nil {
		o.disabled = map[string]BackendState{}
	}
	o.disabled[id] = listed
	return true
}

// enable ends a backend's being disabled, and returns the state that the endpoint list last gave. It reports false if
// the backend was not disabled.
func (o *overrides) enable(id string) (listed BackendState, was bool) {
	listed, was = o.disabled[id]
	delete(o.disabled, id)
	return listed, was
}

// reenable records that a backend was put back into use at the given time.
func (o *overrides) reenable(id string, at time.Duration) {
	if o.reenabledAt == nil {
		o.reenabledAt = map[string]time.Duration{}
	}
	o.reenabledAt[id] = at
}

// reenabledBefore reports whether the latest known time at which a backend was re-enabled, if any, is older.
func (o *overrides) reenabledBefore(id string, at time.Duration) bool { return at > o.reenabledAt[id] }

// anyReenabled reports whether a backend was re-enabled lately.
func (o *overrides) anyReenabled() bool { return len(o.reenabledAt) > 0 }

// recentlyReenabled reports whether a backend was re-enabled within the span.
func (o *overrides) recentlyReenabled(id string, now, span time.Duration) bool {
	at, reenabled := o.reenabledAt[id]
	return reenabled && now-at < span
}

// apply returns an endpoint list with the overrides: a disabled backend drains, whatever the list says, and a
// re-enabled one started no earlier than it was re-enabled. Times older than the slow-start window are forgotten.
func (o *overrides) apply(list []Backend, now, window time.Duration) []Backend {
	effective := append([]Backend(nil), list...)
	for i := range effective {
		backend := &effective[i]
		if _, disabled := o.disabled[backend.ID]; disabled {
			o.disabled[backend.ID] = backend.State
			backend.State = max(backend.State, Draining)
		}
		if at, reenabled := o.reenabledAt[backend.ID]; reenabled {
			backend.Started = max(backend.Started, at)
		}
	}
	for id, at := range o.reenabledAt {
		if now-at > window {
			delete(o.reenabledAt, id)
		}
	}
	return effective
}
