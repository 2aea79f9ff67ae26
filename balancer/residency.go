package balancer

// Data residency: which zones may serve a request under the policy in force, and which zones other requests avoid to
// leave capacity for restricted requests, those that only some zones may serve.

import (
	"slices"
	"time"

	"martenbeam/internal/residency/gate"
)

const (
	congestedLatencyRatio = 1.2   // latency relative to the expected latency above which a zone is congested
	restrictedValueFactor = 100.0 // value of a restricted request in the admission queue, relative to others of its class
	reservationObjectives = 2.0   // longest objectives for which other requests avoid the zones of a restricted request
)

// residencyPolicy is the policy in force. The zero value permits no zone to a request with a rule.
type residencyPolicy struct {
	table *gate.Table // nil: no policy received
}

// permits reports whether a rule (0: none) permits a zone.
func (p residencyPolicy) permits(rule, zone int) bool {
	return rule == 0 || p.table != nil && p.table.Permits(rule, zone)
}

// restricts reports whether a rule (0: none) restricts requests to some zones. An unknown rule restricts them.
func (p residencyPolicy) restricts(rule int) bool {
	return rule != 0 && (p.table == nil || rule >= len(p.table.Permitted) || p.table.Restricted[rule])
}

// permits reports whether a zone may serve a request. mayAttempt calls it before every send: first attempts, retries
// and hedged requests.
func (b *Balancer) permits(req *request, zone int) bool {
	return b.residency.permits(req.residencyRule, zone)
}

// residencyRestricted reports whether a request may be served only in some zones.
func (b *Balancer) residencyRestricted(req *request) bool {
	return b.residency.restricts(req.residencyRule)
}

// hasPermittedBackend reports whether any backend that is up may serve a restricted request; for other requests it
// returns true. A request without a permitted backend is refused at once.
func (b *Balancer) hasPermittedBackend(req *request) bool {
	return !b.residencyRestricted(req) || slices.ContainsFunc(b.backends, func(backend *backendState) bool {
		return backend.State == Up && b.permits(req, backend.Zone)
	})
}

// reserveZones makes other requests avoid the zones that a restricted request may use. It is called when such a request
// has to wait, or finds its backend busy or its zone congested.
func (b *Balancer) reserveZones(req *request) {
	for i, z := range b.zones {
		if b.permits(req, i) {
			z.reserve(b.now + time.Duration(reservationObjectives*float64(b.maxObjective)))
		}
	}
}

// reservedZones returns, by zone number, which zones an unrestricted request avoids. It returns nil if no zone is
// reserved or every open zone is, and for a restricted request.
func (b *Balancer) reservedZones(req *request) []bool {
	reserved, open := []bool(nil), false
	for i, z := range b.zones {
		open = open || z.open() && !z.reserved(b.now)
		if z.reserved(b.now) && !b.residencyRestricted(req) {
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
