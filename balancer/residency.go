package balancer

// Data residency: which zones may serve a request under the policy in force, and which zones other requests avoid so
// that a bound request finds capacity.

import (
	"slices"
	"time"

	"martenbeam/internal/residency/gate"
)

const (
	crowdedLatencyRatio   = 1.2   // a zone whose answers take so many times the expected latency is crowded
	boundValueFactor      = 100.0 // value of a bound request in the admission queue, relative to another of its class
	reservationObjectives = 2.0   // longest objectives for which other requests avoid the zones of a bound request
)

// residencyPolicy is the policy in force. The zero value permits nothing to a request with a rule.
type residencyPolicy struct {
	table *gate.Table // nil: no policy received
}

// permits reports whether a rule (0: none) permits a zone.
func (p residencyPolicy) permits(rule, zone int) bool {
	return rule == 0 || p.table != nil && p.table.Permits(rule, zone)
}

// binds reports whether requests of a rule (0: none) may be served in some zones only. An unknown rule binds.
func (p residencyPolicy) binds(rule int) bool {
	return rule != 0 && (p.table == nil || rule >= len(p.table.Permitted) || p.table.Restricted[rule])
}

// permits is the check that every send passes, through mayAttempt: first attempts, retries and hedged requests alike.
func (b *Balancer) permits(req *request, zone int) bool {
	return b.residency.permits(req.residencyRule, zone)
}

// residencyBound reports whether a request may be served in some zones only.
func (b *Balancer) residencyBound(req *request) bool { return b.residency.binds(req.residencyRule) }

// hasPermittedBackend reports whether a backend that is up may serve the request. A request without one is refused at
// once.
func (b *Balancer) hasPermittedBackend(req *request) bool {
	return !b.residencyBound(req) || slices.ContainsFunc(b.backends, func(backend *backendState) bool {
		return backend.State == Up && b.permits(req, backend.Zone)
	})
}

// reserveZones makes other requests avoid the zones of a bound request that waits for them, or finds them busy or
// slow.
func (b *Balancer) reserveZones(req *request) {
	for i, z := range b.zones {
		if b.permits(req, i) {
			z.reserve(b.now + time.Duration(reservationObjectives*float64(b.maxObjective)))
		}
	}
}

// reservedZones returns the zones that a request which may go elsewhere avoids. nil means none; also where no other
// zone is left.
func (b *Balancer) reservedZones(req *request) []bool {
	reserved, open := []bool(nil), false
	for i, z := range b.zones {
		open = open || z.open() && !z.reserved(b.now)
		if z.reserved(b.now) && !b.residencyBound(req) {
			if reserved == nil {
				reserved = make([]bool, len(b.zones))
			}
			reserved[i] = true
		}
	}
	if !open {
		return nil
	}
	return reserved
}
