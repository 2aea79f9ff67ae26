package balancer

// Operators' orders: how a backend is disabled and put back into use, and what a drained agent tells its peers.

import "time"

const (
	reinstateDelay      = 3 * time.Second // latest first request of a re-enabled backend: operators expect it within 5 s
	reinstatePreference = 5 * time.Second // for so long it is preferred over idle backends until it has answered
)

// onDisable takes a backend out of use: it gets no new attempts, and the outstanding ones may finish.
func (b *Balancer) onDisable(event Disable) {
	backend := b.byID[event.Backend]
	accepted := event.Inherited || backend != nil || b.overrides.knows(event.Backend)
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

// onEnable ends any number of Disable. One that an earlier process accepted counts here as well.
func (b *Balancer) onEnable(event Enable) {
	accepted := event.Inherited || b.byID[event.Backend] != nil || b.overrides.knows(event.Backend)
	if listed, disabled := b.overrides.enable(event.Backend); disabled {
		b.reinstate(event.Backend, listed, event.At)
	} else if event.Inherited && b.overrides.reenabledBefore(event.Backend, event.At) {
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
	backend.forgive()
	// The budget starts below 0, so that agents called at the same time don't all send at once; but with little
	// traffic it would take longer to fill than operators wait.
	backend.raiseBudget(-b.slowStartRate(backend) * float64(reinstateDelay) * b.rng.Float64())
	b.recomputeCapacity()
}

// onDrain tells the peers at once. Departure: what agents learn about each other's demand lags by seconds. During that
// time the agents that receive the clients would refuse them at their old quota, and the drained agent would do the
// same when its clients return.
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
