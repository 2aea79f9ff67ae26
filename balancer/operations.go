package balancer

// The decisions on operators' calls: which backends are out of use, and how one
// comes back.

import (
	"time"
)

const (
	backWithin = 3 * time.Second // a backend that was called back is used by then: operators expect it within 5 s
	backTries  = 5 * time.Second // and for so long the first request that may go there does
)

// onOperations takes the events that operators cause, and those of large answers.
func (b *Balancer) onOperations(e Event) {
	switch e := e.(type) {
	case Detach:
		b.onDetach(e)
	case Attach:
		b.onAttach(e)
	case Emptying:
		b.onEmptying(e)
	case Restore:
		b.onRestore(e)
	case BodyWhole:
		b.onBodyWhole(e)
	case BodySpent:
		if r := b.requests[e.Request]; r != nil {
			r.stream = true
		}
	case StreamStarted:
		b.onStream(e)
	}
}

func (b *Balancer) onDetach(e Detach) {
	taken := e.Carried || b.has(e.Backend)
	if _, out := b.calls.detached[e.Backend]; taken && !out {
		if b.calls.detached == nil {
			b.calls.detached = map[string]BackendState{}
		}
		b.calls.detached[e.Backend] = Up
		if t := b.byID[e.Backend]; t != nil {
			b.calls.detached[e.Backend] = t.State
			b.unsettle(t)
			t.State = max(t.State, Draining) // no new attempt; what is out may finish
		}
		b.measure()
	}
	b.actions = append(b.actions, Answer{Call: e.Call, Taken: taken})
}

func (b *Balancer) onAttach(e Attach) {
	taken := e.Carried || b.has(e.Backend)
	if state, out := b.calls.detached[e.Backend]; out {
		delete(b.calls.detached, e.Backend)
		b.comeBack(e.Backend, state, e.At)
	} else if e.Carried && e.At > b.calls.returned[e.Backend] {
		b.comeBack(e.Backend, Up, e.At)
	}
	b.actions = append(b.actions, Answer{Call: e.Call, Taken: taken})
}

// comeBack has a backend in use again, in the state that the list tells. Operators restart it while
// it is out, and the list may tell of that late or never: it counts as started now, and nothing that
// was learned of the process before is held against it.
func (b *Balancer) comeBack(id string, state BackendState, at time.Duration) {
	if at == 0 {
		at = b.now
	}
	if b.calls.returned == nil {
		b.calls.returned = map[string]time.Duration{}
	}
	b.calls.returned[id] = at
	t := b.byID[id]
	if t == nil {
		return
	}
	if t.State != Gone {
		t.State = state
	}
	t.Started = max(t.Started, at)
	b.start(t, max(t.Started, t.warmFrom))
	t.strikes, t.ejected, t.struckAt, t.fullTill = 0, 0, 0, 0
	t.down, t.silent, t.row, t.fails = false, 0, 0, 0
	// Its budget begins below nothing, so that agents called at once don't all send at once. With little
	// traffic it would take longer to fill than operators wait.
	t.budget = max(t.budget, -b.coldRate(t)*float64(backWithin)*b.rng.Float64())
	b.measure()
}

// heed puts a list under the operators' calls: a detached backend drains, whatever the list says, and
// one that was called back started no earlier than then.
func (b *Balancer) heed(list []Backend) []Backend {
	heeded := append([]Backend(nil), list...)
	for i := range heeded {
		n := &heeded[i]
		if _, out := b.calls.detached[n.ID]; out {
			b.calls.detached[n.ID] = n.State
			n.State = max(n.State, Draining)
		}
		if at, back := b.calls.returned[n.ID]; back {
			n.Started = max(n.Started, at)
		}
	}
	for id, at := range b.calls.returned {
		if b.now-at > b.s.RampTime {
			delete(b.calls.returned, id)
		}
	}
	return heeded
}

// onEmptying tells peers at once. Departure: what agents learn of each other's demand follows it by
// seconds, in which the one that the clients go to refuses them by its old share of the limit, and the
// one that they come back to does again.
func (b *Balancer) onEmptying(e Emptying) {
	switch {
	case e.On && b.calls.moved == 0:
		b.calls.moved = max(b.asked(), 1)
	case !e.On && b.calls.moved > 0:
		b.demand.total = max(b.demand.sum(b.now), b.calls.moved)
		b.calls.moved = 0
	default:
		return
	}
	if b.s.Peers {
		b.tell()
	}
}
