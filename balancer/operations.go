package balancer

// The decisions on operators' calls: which backends are out of use, and how one
// comes back.

import (
	"time"
)

const (
	reinstateDelay      = 3 * time.Second // a backend that was called back is used by then: operators expect it within 5 s
	reinstatePreference = 5 * time.Second // and for so long the first request that may go there does
)

// onOtherEvent takes the events that operators cause, and those of large answers.
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
			backend.State = max(backend.State, Draining) // no new attempt; what is out may finish
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

// reinstate has a backend in use again, in the state that the list tells. Operators restart it while
// it is out, and the list may tell of that late or never: it counts as started now, and nothing that
// was learned of the process before is held against it.
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
	backend.failureScore, backend.ejectedUntil, backend.ejectedAt, backend.rejectingUntil = 0, 0, 0, 0
	backend.presumedDead, backend.consecutiveTimeouts, backend.consecutiveFailures, backend.failureRate = false, 0, 0, 0
	// Its budget begins below nothing, so that agents called at once don't all send at once. With little
	// traffic it would take longer to fill than operators wait.
	backend.slowStartBudget = max(backend.slowStartBudget, -b.slowStartRate(backend)*float64(reinstateDelay)*b.rng.Float64())
	b.recomputeCapacity()
}

// applyOverrides puts a list under the operators' calls: a detached backend drains, whatever the list says, and
// one that was called back started no earlier than then.
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

// onDrain tells peers at once. Departure: what agents learn of each other's demand follows it by
// seconds, in which the one that the clients go to refuses them by its old share of the limit, and the
// one that they come back to does again.
func (b *Balancer) onDrain(event Drain) {
	switch {
	case event.On && b.overrides.drainedDemand == 0:
		b.overrides.drainedDemand = max(b.steadyDemand(), 1)
	case !event.On && b.overrides.drainedDemand > 0:
		b.demand.total = max(b.demand.value(b.now), b.overrides.drainedDemand)
		b.overrides.drainedDemand = 0
	default:
		return
	}
	if b.settings.GossipAllowed {
		b.gossip()
	}
}
