package check

import "time"

// RuleResidency is broken by an attempt whose bytes come to a zone that no policy in force permits its tenant.
const RuleResidency = "residency"

// Permits says whether a policy permits a tenant's requests of a class a zone.
type Permits func(tenant, class, zone int) bool

// Residency holds attempts against the policies that were in force. A policy that was given at a time is in force for
// everyone a bound later; until then the ones before it may still be used, after it none of them.
type Residency struct {
	PropagationBound time.Duration
	policies         []publishedPolicy
}

type publishedPolicy struct {
	publishedAt time.Duration
	version     int64
	permits     Permits
}

// Publish takes that a policy is given now. Of two under one version only what both permit is in force.
func (r *Residency) Publish(now time.Duration, version int64, p Permits) {
	if n := len(r.policies); n > 0 && r.policies[n-1].version == version {
		one, other := r.policies[n-1].permits, p
		p = func(tenant, class, zone int) bool { return one(tenant, class, zone) && other(tenant, class, zone) }
	}
	r.policies = append(r.policies, publishedPolicy{now, version, p})
}

// permitted reports whether anything that may be in force at a time permits it.
func (r *Residency) permitted(now time.Duration, tenant, class, zone int) bool {
	for i, p := range r.policies {
		if i+1 < len(r.policies) && now > r.policies[i+1].publishedAt+r.PropagationBound {
			continue // replaced everywhere
		}
		if p.permits(tenant, class, zone) {
			return true
		}
	}
	return len(r.policies) == 0
}

// CheckResidency judges an attempt whose first byte came at a time.
func (c *Checker) CheckResidency(r *Residency, now, arrivedAt time.Duration, id string, agent, tenant, class, zone int, backend string) {
	// What was written before the bound was over may come a little later.
	if r.permitted(arrivedAt-c.rules.Slack, tenant, class, zone) {
		return
	}
	c.violate(RuleResidency, now, agent, c.requests[id],
		"tenant %d's request of class %d came to %s in zone %d, which no policy in force permits", tenant, class, backend, zone)
}
