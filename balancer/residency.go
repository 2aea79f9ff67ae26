package balancer

// Where a request may be served, by the residency policy in force, and who makes way for those who may not go elsewhere.

import (
	"slices"
	"time"
)

const (
	crowdedLatencyRatio   = 1.2   // answers of a zone that take so many times the mean say that it is crowded
	boundValueFactor      = 100.0 // value of a bound request against another of its class while it waits for room
	reservationObjectives = 2.0   // longest aims for which others keep out of the zones of a bound one that found none
)

// permits is the gate that every send passes: mayAttempt asks it, for first attempts, repeats and second copies alike.
func (b *Balancer) permits(req *request, zone int) bool {
	return req.residencyRule == 0 || b.residencyTable != nil && b.residencyTable.Permits(req.residencyRule, zone)
}

// residencyBound reports whether a request may not go just anywhere.
func (b *Balancer) residencyBound(req *request) bool {
	rule, table := req.residencyRule, b.residencyTable
	return rule != 0 && (table == nil || rule >= len(table.Permitted) || table.Restricted[rule])
}

// hasPermittedBackend reports whether a backend that is up may serve a request. One without any is refused at once.
func (b *Balancer) hasPermittedBackend(req *request) bool {
	return !b.residencyBound(req) || slices.ContainsFunc(b.backends, func(backend *backendState) bool {
		return backend.State == Up && b.permits(req, backend.Zone)
	})
}

// reserveZones has others keep out of the zones of a bound request that waits for them, or finds them busy or slow.
func (b *Balancer) reserveZones(req *request) {
	for i, z := range b.zones {
		if b.permits(req, i) {
			z.reservedUntil = b.now + time.Duration(reservationObjectives*float64(b.maxObjective))
		}
	}
}

// reservedZones says which zones a request that may go elsewhere keeps out of; nil: none, or it may go nowhere else.
func (b *Balancer) reservedZones(req *request) []bool {
	reserved, open := []bool(nil), false
	for i, z := range b.zones {
		open = open || z.up > 0 && b.now >= z.reservedUntil && !z.failedOver
		if b.now < z.reservedUntil && !b.residencyBound(req) {
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
