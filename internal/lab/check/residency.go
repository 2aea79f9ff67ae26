package check

// The rule on data residency.

import "time"

// RuleResidency is the rule that the bytes of a request reach only zones that the tenant's policy permits.
const RuleResidency = "residency"

// Permits reports whether a policy permits the requests of a tenant and class in a zone.
type Permits func(tenant, class, zone int) bool

// Residency records the published residency policies. For PropagationBound after the publication of a policy, agents may
// still use the previous policy. Later they must use the published policy or a newer one.
type Residency struct {
	PropagationBound time.Duration
	policies         []publishedPolicy
}

// publishedPolicy is a policy with the time at which it was published.
type publishedPolicy struct {
	publishedAt time.Duration
	version     int64
	permits     Permits
}

// Publish adds a policy. If the previous policy has the same version, the added policy permits what both permit.
func (r *Residency) Publish(now time.Duration, version int64, p Permits) {
	if n := len(r.policies); n > 0 && r.policies[n-1].version == version {
		previous, added := r.policies[n-1].permits, p
		p = func(tenant, class, zone int) bool { return previous(tenant, class, zone) && added(tenant, class, zone) }
	}
	r.policies = append(r.policies, publishedPolicy{now, version, p})
}

// permitted reports whether any policy that may be in force at the time now permits a request in a zone. If no policy was
// published, every request is permitted.
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

// CheckResidency checks that a policy permits the zone of an attempt whose first byte reached the backend at arrivedAt.
func (c *Checker) CheckResidency(r *Residency, now, arrivedAt time.Duration, id string, agent, tenant, class, zone int, backend string) {
	// Bytes that the agent wrote just before the bound ended may arrive shortly after it.
	if r.permitted(arrivedAt-c.rules.Slack, tenant, class, zone) {
		return
	}
	c.violate(RuleResidency, now, agent, c.requests[id],
		"tenant %d's request of class %d came to %s in zone %d, which no policy in force permits", tenant, class, backend, zone)
}
