package balancer

// Operators' overrides: which backends are disabled, how one is put back into use, and what a drained agent tells its
// peers.

import (
	"time"
)

const (
	reinstateDelay      = 3 * time.Second // latest first request of a re-enabled backend: operators expect it within 5 s
	reinstatePreference = 5 * time.Second // for so long it is preferred over idle backends until it has answered
)

// onOtherEvent dispatches the operators' events and those of large bodies and responses.
func (b *Balancer) onOtherEvent(event Event) {
	switch event := event.(type) {
	case Disable:
		b.onDisable(event)
	case Enable:
		b.onEnable(event)
	case Drain:
		b.onDrain(event)
	case Restore:
		b.onRestore(event)
	case BodyComplete:
		b.onBodyComplete(event)
	case BodyConsumed:
		if req := b.requests[event.Request]; req != nil {
			req.committed = true
		}
	case ResponseStarted:
		b.onResponseStarted(event)
	}
}

func (b *Balancer) onDisable(event Disable) {
	accepted := event.Inherited || b.knowsBackend(event.Backend)
	if _, disabled := b.overrides.disabled[event.Backend]; accepted && !disabled {
		if b.overrides.disabled == nil {
			b.overrides.disabled = map[string]BackendState{}
		}
		b.overrides.disabled[event.Backend] = Up
		if backend := b.byID[event.Backend]; backend != nil {
			b.overrides.disabled[event.Backend] = backend.State
			b.markUnstable(backend)
			backend.State = max(backend.State, Draining) // no new attempts; the outstanding ones may finish
		}
		b.recomputeCapacity()
	}
	b.actions = append(b.actions, OverrideResult{Call: event.Call, Accepted: accepted})
}

func (b *Balancer) onEnable(event Enable) {
	accepted := event.Inherited || b.knowsBackend(event.Backend)
	if state, disabled := b.overrides.disabled[event.Backend]; disabled {
		delete(b.overrides.disabled, event.Backend)
		b.reinstate(event.Backend, state, event.At)
	} else if event.Inherited && event.At > b.overrides.reenabledAt[event.Backend] {
		b.reinstate(event.Backend, Up, event.At)
	}
	b.actions = append(b.actions, OverrideResult{Call: event.Call, Accepted: accepted})
}

// reinstate puts a disabled backend back into use, in the state that the endpoint list gives. Operators restart
// backends while they are disabled, and the list may say so late or never: the backend counts as started now, and
// everything learned about its earlier process is forgotten.
func (b *Balancer) reinstate(id string, state BackendState, at time.Duration) {
	if at == 0 {
		at = b.now
	}
	if b.overrides.reenabledAt == nil {
		b.overrides.reenabledAt = map[string]time.Duration{}
	}
	b.overrides.reenabledAt[id] = at
	backend := b.byID[id]
	if backend == nil {
		return
	}
	if backend.State != Removed {
		backend.State = state
	}
	backend.Started = max(backend.Started, at)
	b.beginSlowStart(backend, max(backend.Started, backend.slowStartAt))
	backend.forgive()
	// The budget starts below 0, so that agents called at the same time don't all send at once; but with little
	// traffic it would take longer to fill than operators wait.
	backend.raiseBudget(-b.slowStartRate(backend) * float64(reinstateDelay) * b.rng.Float64())
	b.recomputeCapacity()
}

// applyOverrides returns an endpoint list with the operators' overrides applied: a disabled backend drains, whatever
// the list says, and a re-enabled one started no earlier than it was re-enabled.
func (b *Balancer) applyOverrides(list []Backend) []Backend {
	effective := append([]Backend(nil), list...)
	for i := range effective {
		backend := &effective[i]
		if _, disabled := b.overrides.disabled[backend.ID]; disabled {
			b.overrides.disabled[backend.ID] = backend.State
			backend.State = max(backend.State, Draining)
		}
		if at, reenabled := b.overrides.reenabledAt[backend.ID]; reenabled {
			backend.Started = max(backend.Started, at)
		}
	}
	for id, at := range b.overrides.reenabledAt {
		if b.now-at > b.settings.SlowStartWindow {
			delete(b.overrides.reenabledAt, id)
		}
	}
	return effective
}

// onDrain tells the peers at once. Departure: what agents learn about each other's demand lags by seconds. During that
// time the agents that receive the clients would refuse them at their old quota, and the drained agent would do the
// same when its clients return.
func (b *Balancer) onDrain(event Drain) {
	switch {
	case event.On && b.overrides.drainedDemand == 0:
		b.overrides.drainedDemand = max(b.demand.steady(b.now), 1)
	case !event.On && b.overrides.drainedDemand > 0:
		b.demand.raiseTo(b.now, b.overrides.drainedDemand)
		b.overrides.drainedDemand = 0
	default:
		return
	}
	if b.settings.GossipAllowed {
		b.gossip()
	}
}
