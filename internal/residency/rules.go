package residency

// The table of what each tenant and class is permitted, as the gate and the decision module use it.

import "martenbeam/internal/residency/gate"

// subject is what a rule is for.
type subject struct{ tenant, class string }

// maxRules bounds how many subjects are told apart. Those beyond it share one rule that permits nothing.
const maxRules = 4096

// RuleID returns the number of the rule for a tenant's requests of a class, from 1. What the rule permits may change; its
// number does not.
func (h *Holder) RuleID(tenant, class string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := subject{tenant, class}
	if id, known := h.ruleIDs[s]; known {
		return id
	}
	if len(h.subjects) >= maxRules {
		return maxRules // in no table, and so not permitted
	}
	id := len(h.subjects)
	h.ruleIDs[s], h.subjects = id, append(h.subjects, s)
	h.rebuildTable()
	return id
}

// Table returns what is permitted now. It is to be asked for at each send, since a policy becomes stale as time passes.
func (h *Holder) Table() *gate.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateStale()
	return h.table
}

// CountRefusal counts and logs an attempt that the gate refused. It is an error: the decision module should not have chosen
// a backend in that zone.
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

// rebuildTable replaces the table by one of the policy in force. The lock is held.
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

// permittedZones returns, by number, the zones that a subject is permitted by all documents of the version in force. Where
// restricted is false that is every zone. The lock is held.
func (h *Holder) permittedZones(s subject) (zones []bool, restricted bool) {
	none := make([]bool, len(h.zones))
	if len(h.policies) == 0 {
		return none, true
	}
	for _, policy := range h.policies {
		if policy == nil { // unusable: a subject that was restricted before is refused, since nobody knows to which zones
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

// wasRestricted reports whether the last usable policy restricts a subject; without one everybody is restricted. The lock is
// held.
func (h *Holder) wasRestricted(s subject) bool {
	last := h.lastReadable
	return last == nil || last.permittedZones(last.ruleFor(s.tenant, s.class), h.zones) != nil
}
