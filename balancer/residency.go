package balancer

// Where a request may be served, by the residency policy in force, and who makes way for those who may not go elsewhere.

import (
	"slices"
	"time"
)

const (
	slowPace   = 1.2   // answers of a zone that take so many times the mean say that it is crowded
	boundFirst = 100.0 // value of a bound request against another of its class while it waits for room
	tightFor   = 2.0   // longest aims for which others keep out of the zones of a bound one that found none
)

// permits is the gate that every send passes: mayRepeat asks it, for first attempts, repeats and second copies alike.
func (b *Balancer) permits(r *request, zone int) bool {
	return r.rule == 0 || b.resident != nil && b.resident.Permits(r.rule, zone)
}

// binds reports whether a request may not go just anywhere.
func (b *Balancer) binds(r *request) bool {
	return r.rule != 0 && (b.resident == nil || r.rule >= len(b.resident.Rules) || b.resident.Bound[r.rule])
}

// homes reports whether a backend that is up may serve a request. One without any is refused at once.
func (b *Balancer) homes(r *request) bool {
	return !b.binds(r) || slices.ContainsFunc(b.backends, func(t *backend) bool { return t.State == Up && b.permits(r, t.Zone) })
}

// reserve has others keep out of the zones of a bound request that waits for them, or finds them busy or slow.
func (b *Balancer) reserve(r *request) {
	for i, z := range b.zones {
		if b.permits(r, i) {
			z.tight = b.now + time.Duration(tightFor*float64(b.period))
		}
	}
}

// aside says which zones a request that may go elsewhere keeps out of; nil: none, or it may go nowhere else.
func (b *Balancer) aside(r *request) []bool {
	aside, room := []bool(nil), false
	for i, z := range b.zones {
		if room = room || z.up > 0 && b.now >= z.tight && !z.left; b.now < z.tight && !b.binds(r) {
			if aside == nil {
				aside = make([]bool, len(b.zones))
			}
			aside[i] = true
		}
	}
	if !room {
		return nil
	}
	return aside
}
