package residency

// The table of the zones that are permitted to each tenant and class, for the gate and the decision module.

import "martenbeam/internal/residency/gate"

// subject is the tenant and class that a rule applies to.
type subject struct{ tenant, class string }

// maxRules bounds the rule numbers: fewer than maxRules subjects have rules of their own. Further subjects share the number
// maxRules, which no table contains, so that no zone is permitted to them.
const maxRules = 4096

// RuleID returns the number of the rule for a tenant's requests of a class, from 1. The permitted zones may change; the
// number does not.
func (h *Holder) RuleID(tenant, class string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := subject{tenant, class}
	if id, known := h.ruleIDs[s]; known {
		return id
	}
	if len(h.subjects) >= maxRules {
		return maxRules
	}
	id := len(h.subjects)
	h.ruleIDs[s], h.subjects = id, append(h.subjects, s)
	h.rebuildTable()
	return id
}

// Table returns the table that is valid now. Callers must call Table before each send, because a policy becomes stale as time
// passes.
func (h *Holder) Table() *gate.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateStale()
	return h.table
}

// CountRefusal counts and logs an attempt that the gate refused. Each refusal is an error of the decision module, which should
// not have chosen a backend in the zone.
func (h *Holder) CountRefusal(rule, zone int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tenant, zoneName := "", "unknown"
	if rule > 0 && rule < len(h.subjects) {
		tenant = h.subjects[rule].tenant
	}
	if zone >= 0 && zone < len(h.zones) {
		zoneName = h.zones[zone]
	}
	h.refusals[[2]string{tenant, zoneName}]++
	h.log.Error("attempt refused by residency policy", "tenant", tenant, "zone", zoneName, "version", h.version)
}

// rebuildTable replaces the table by one for the policy in force. The caller holds the lock.
func (h *Holder) rebuildTable() {
	table := &gate.Table{Generation: 1, Permitted: [][]bool{nil}, Restricted: []bool{false}}
	if h.table != nil {
		table.Generation = h.table.Generation + 1
	}
	for _, s := range h.subjects[1:] {
		zones, restricted := h.permittedZones(s)
		table.Permitted, table.Restricted = append(table.Permitted, zones), append(table.Restricted, restricted)
	}
	h.table = table
}

// permittedZones returns, by zone number, whether all documents of the version in force permit the zone to a subject. If
// restricted is false, every zone is permitted. The caller holds the lock.
func (h *Holder) permittedZones(s subject) (zones []bool, restricted bool) {
	none := make([]bool, len(h.zones))
	if len(h.policies) == 0 {
		return none, true
	}
	for _, policy := range h.policies {
		if policy == nil { // unusable: a subject that was restricted before is refused, because its zones are unknown
			if h.wasRestricted(s) {
				return none, true
			}
			continue
		}
		rule := policy.ruleFor(s.tenant, s.class)
		allowed := policy.permittedZones(rule, h.zones)
		if allowed == nil {
			continue
		}
		if h.stale && rule.WhenStale == refuseWhenStale {
			return none, true
		}
		if !restricted {
			zones, restricted = allowed, true
			continue
		}
		for i := range zones {
			zones[i] = zones[i] && allowed[i]
		}
	}
	return zones, restricted
}

// wasRestricted reports whether the last usable policy restricts a subject. Without such a policy every subject is restricted.
// The caller holds the lock.
func (h *Holder) wasRestricted(s subject) bool {
	last := h.lastUsable
	return last == nil || last.permittedZones(last.ruleFor(s.tenant, s.class), h.zones) != nil
}
