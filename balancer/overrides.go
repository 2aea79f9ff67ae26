package balancer

// The operators' overrides: which backends are disabled or were re-enabled, by ID. Endpoint updates don't change them.
// The struct doesn't access the Balancer.

import "time"

// overrides holds the operators' overrides in force. The zero value has none.
type overrides struct {
	disabled    map[string]BackendState  // with the state that the endpoint list last gave
	reenabledAt map[string]time.Duration // when each backend was re-enabled; apply removes old entries
}

// has reports whether an override is in force for the ID.
func (o *overrides) has(id string) bool {
	_, disabled := o.disabled[id]
	_, reenabled := o.reenabledAt[id]
	return disabled || reenabled
}

// disable records that a backend was disabled, and the state that the endpoint list gives. It returns false if the
// backend was disabled already.
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

// enable removes the override of a disabled backend, and returns the state that the endpoint list last gave. wasDisabled
// is false if the backend was not disabled.
func (o *overrides) enable(id string) (listed BackendState, wasDisabled bool) {
	listed, wasDisabled = o.disabled[id]
	delete(o.disabled, id)
	return listed, wasDisabled
}

// reenable records that a backend was put back into use at the given time.
func (o *overrides) reenable(id string, at time.Duration) {
	if o.reenabledAt == nil {
		o.reenabledAt = map[string]time.Duration{}
	}
	o.reenabledAt[id] = at
}

// reenabledBefore reports whether a backend was last re-enabled before the given time, or never.
func (o *overrides) reenabledBefore(id string, at time.Duration) bool { return at > o.reenabledAt[id] }

// anyReenabled reports whether any backend was re-enabled recently.
func (o *overrides) anyReenabled() bool { return len(o.reenabledAt) > 0 }

// recentlyReenabled reports whether a backend was re-enabled less than the span ago.
func (o *overrides) recentlyReenabled(id string, now, span time.Duration) bool {
	at, reenabled := o.reenabledAt[id]
	return reenabled && now-at < span
}

// apply returns an endpoint list with the overrides applied: a disabled backend is at least draining, and a re-enabled
// one counts as started no earlier than it was re-enabled. It removes re-enabled backends from the overrides after
// window, the slow-start window.
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
