package upstream

// This file holds the backends' endpoints and operators' overrides, and checks whether an attempt may be written.

import (
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/membudget"
)

// Endpoint holds the listed properties of a backend that must not change between the balancer's decision and the first
// byte of an attempt. It is immutable: a change in the list creates a new Endpoint, so pointers can be compared.
type Endpoint struct {
	Addr       string
	Zone, Cell int
	Draining   bool
}

// ApplyUpdate applies an update of the list. It closes the idle connections to a backend that is removed, drains or has a
// new address: the process at the new address is a different one, and a draining backend must get no new requests.
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
	p.countEndpoints()
}

// countEndpoints counts the memory of the list past smallList backends, which the process holds whether it fits or not. The caller
// holds mu.
func (p *Pool) countEndpoints() {
	memory := int64(max(0, len(p.endpoints)-smallList)) * membudget.EndpointMemory
	p.Memory.Add(memory - p.listMemory)
	p.listMemory = memory
}

// smallList is the length of the longest list that the budget leaves room for.
const smallList = 200

// SetDisabled forbids writing to a backend, or permits it again. Both close its idle connections, since operators restart
// a backend while it is disabled.
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

// removeEndpoint removes a backend and closes its idle connections. The caller holds mu.
func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.closeIdle(id)
}

// Endpoint returns the current entry of a backend; nil: the backend is not listed.
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

// CheckSendable returns an error if an attempt must not be written now: the request has its final answer; the backend
// is disabled or not listed; the backend started to drain or changed address, zone or pod after the balancer's
// decision; WriteBy has passed; or the residency policy forbids the backend.
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

// residencyPermits reports whether a request under a residency rule may go to a backend. The check runs right before
// the request is sent, and does not depend on the balancer. It counts a violation with Residency.CountRefusal.
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
