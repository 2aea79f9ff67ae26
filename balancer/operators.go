package balancer

// Operators' requests: how a backend is disabled and re-enabled, and how an agent is drained.

import "time"

const (
	reinstateDelay      = 3 * time.Second // bound of the wait for budget after an Enable: operators expect a request within 5 s
	reinstatePreference = 5 * time.Second // how long a re-enabled backend is preferred if it doesn't respond
)

// onDisable stops new attempts to a backend; outstanding attempts may finish. It rejects a Disable of an unknown ID
// unless an earlier process accepted the Disable.
func (b *Balancer) onDisable(event Disable) {
	backend := b.byID[event.Backend]
	accepted := event.Inherited || backend != nil || b.overrides.has(event.Backend)
	if accepted {
		listed := Up
		if backend != nil {
			listed = backend.State
		}
		if b.overrides.disable(event.Backend, listed) {
			if backend != nil {
				b.markUnstable(backend)
				backend.State = max(backend.State, Draining)
			}
			b.recomputeCapacity()
		}
	}
	b.actions = append(b.actions, OverrideResult{Call: event.Call, Accepted: accepted})
}

// onEnable reverts any number of Disable events, including Disable events that an earlier process accepted. It rejects
// an Enable of an unknown ID unless an earlier process accepted the Enable.
func (b *Balancer) onEnable(event Enable) {
	accepted := event.Inherited || b.byID[event.Backend] != nil || b.overrides.has(event.Backend)
	if listed, disabled := b.overrides.enable(event.Backend); disabled {
		b.reinstate(event.Backend, listed, event.At)
	} else if event.Inherited && b.overrides.reenabledBefore(event.Backend, event.At) {
		b.reinstate(event.Backend, Up, event.At)
	}
	b.actions = append(b.actions, OverrideResult{Call: event.Call, Accepted: accepted})
}

// reinstate puts a disabled backend back into use, in the state that the endpoint list gives. Operators restart
// backends while they are disabled, and the list may report the restart late or never. The backend therefore counts as
// started at the given time (0: now), and the measurements of its earlier process are discarded.
func (b *Balancer) reinstate(id string, state BackendState, at time.Duration) {
	if at == 0 {
		at = b.now
	}
	b.overrides.reenable(id, at)
	backend := b.byID[id]
	if backend == nil {
		return
	}
	if backend.State != Removed {
		backend.State = state
	}
	backend.Started = max(backend.Started, at)
	b.beginSlowStart(backend, max(backend.Started, backend.slowStartAt))
	backend.clearFailures()
	// The budget starts below 0, so that agents that get the same order don't all send at once. At an agent with little
	// traffic the budget could take longer to refill than operators wait. It is therefore raised to a value that refills
	// within reinstateDelay.
	backend.raiseBudget(-b.slowStartRate(backend) * float64(reinstateDelay) * b.rng.Float64())
	b.recomputeCapacity()
}

// onDrain starts or ends a drain of this agent, and notifies the peers at once. Departure: demand reports lag by
// seconds. During that time the agents that receive the clients would refuse requests at their old quota, and so would
// the drained agent when its clients return.
func (b *Balancer) onDrain(event Drain) {
	switch {
	case event.On && b.drainedDemand == 0:
		b.drainedDemand = max(b.demand.steady(b.now), 1)
	case !event.On && b.drainedDemand > 0:
		b.demand.raiseTo(b.now, b.drainedDemand)
		b.drainedDemand = 0
	default:
		return
	}
	if b.settings.GossipAllowed {
		b.gossip()
	}
}
