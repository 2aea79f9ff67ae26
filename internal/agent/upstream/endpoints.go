package upstream

// What the list and the operators say about backends, and what that means for an attempt.

import (
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
)

// Endpoint is what the list says about a backend as far as it matters to an attempt between the balancer's decision and
// its first byte. It is immutable: a change in the list makes a new one, so pointers can be compared.
type Endpoint struct {
	Addr       string
	Zone, Cell int
	Draining   bool
}

// ApplyUpdate applies an update of the list. Idle connections to a backend that is gone, drains or has a new address are
// closed: another process answers at the new address, and a draining backend wants no new requests.
func (p *Pool) ApplyUpdate(update discovery.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if update.Endpoints.Kind != balancer.UpdateDelta && update.Endpoints.Kind != balancer.UpdateFailed {
		for id := range p.endpoints {
			if _, listed := update.Addrs[id]; !listed {
				p.removeEndpoint(id)
			}
		}
	}
	for _, backend := range update.Endpoints.Backends {
		addr, ok := update.Addrs[backend.ID]
		if !ok {
			p.removeEndpoint(backend.ID)
			continue
		}
		current := Endpoint{Addr: addr, Zone: backend.Zone, Cell: backend.Cell, Draining: backend.State != balancer.Up}
		if previous := p.endpoints[backend.ID]; previous == nil || *previous != current {
			p.endpoints[backend.ID] = &current
			if previous != nil && (previous.Addr != addr || current.Draining) {
				p.closeIdle(backend.ID)
			}
		}
	}
}

// SetDisabled forbids to write to a backend, or permits it again. Both close its idle connections: operators restart
// the backend in between.
func (p *Pool) SetDisabled(id string, disabled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if disabled {
		p.disabled[id] = true
	} else {
		delete(p.disabled, id)
	}
	p.closeIdle(id)
}

// removeEndpoint forgets a backend and closes its idle connections. The caller holds mu.
func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.closeIdle(id)
}

// Endpoint returns what the list says about a backend now; nil: nothing.
func (p *Pool) Endpoint(id string) *Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// EndpointCount returns the number of backends in the list.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// CheckSendable returns why an attempt must not be written now: its request has its reply, the backend left the list,
// drains, moved or was disabled since the decision, the time for a safe retry is over, or the residency policy forbids it.
func (p *Pool) CheckSendable(att *Attempt) error {
	select {
	case <-att.RequestDone:
		return errAlreadyAnswered
	default:
	}
	p.mu.Lock()
	disabled, endpoint := p.disabled[att.BackendID], p.endpoints[att.BackendID]
	p.mu.Unlock()
	switch {
	case disabled:
		return ErrBackendDisabled
	case endpoint == nil || att.Endpoint != nil && att.Endpoint != endpoint:
		return errEndpointChanged
	case !att.WriteBy.IsZero() && !time.Now().Before(att.WriteBy):
		return errRetryWindowOver
	case !p.residencyPermits(att.ResidencyRule, att.BackendID):
		return errResidencyForbidden
	}
	return nil
}

// residencyPermits checks right before the network, independently of the balancer, whether a request under a residency
// rule may go to a backend. A violation is reported to the policy's keeper.
func (p *Pool) residencyPermits(rule int, id string) bool {
	if p.Residency == nil || rule == 0 {
		return true
	}
	zone := -1
	if endpoint := p.Endpoint(id); endpoint != nil {
		zone = endpoint.Zone
	}
	if p.Residency.Table().Permits(rule, zone) {
		return true
	}
	p.Residency.CountRefusal(rule, zone)
	return false
}
