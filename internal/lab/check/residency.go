package check

// The rule on data residency.

import "time"

// RuleResidency is the rule that no byte of a request reaches a zone that its tenant's policy does not permit.
const RuleResidency = "residency"

// Permits reports whether a policy permits the requests of a tenant and class in a zone.
type Permits func(tenant, class, zone int) bool

// Residency knows which policies were in force at a time. A published policy is in force everywhere after PropagationBound;
// until then earlier ones may still be used, after it none of them.
type Residency struct {
	PropagationBound time.Duration
	policies         []publishedPolicy
}

// publishedPolicy is a policy, with when it was published.
type publishedPolicy struct {
	publishedAt time.Duration
	version     int64
	permits     Permits
}

// Publish adds a policy. Of two with one version, only what both permit is in force.
func (r *Residency) Publish(now time.Duration, version int64, p Permits) {
	if n := len(r.policies); n > 0 && r.policies[n-1].version == version {
		previous, added := r.policies[n-1].permits, p
		p = func(tenant, class, zone int) bool { return previous(tenant, class, zone) && added(tenant, class, zone) }
	}
	r.policies = append(r.policies, publishedPolicy{now, version, p})
}

// permitted reports whether any policy that may be in force at a time permits a request in a zone.
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

// CheckResidency checks an attempt whose first byte arrived at a time.
func (c *Checker) CheckResidency(r *Residency, now, arrivedAt time.Duration, id string, agent, tenant, class, zone int, backend string) {
	// Bytes written before the bound ran out may arrive a little later.
	if r.permitted(arrivedAt-c.rules.Slack, tenant, class, zone) {
		return
	}
	c.violate(RuleResidency, now, agent, c.requests[id],
		"tenant %d's request of class %d came to %s in zone %d, which no policy in force permits", tenant, class, backend, zone)
}
