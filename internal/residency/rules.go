package residency

import (
	"martenbeam/internal/residency/gate"
)

type subject struct{ tenant, class string }

// maxRules bounds how many tenants and classes are told apart. Beyond, a name shares one rule that permits nothing
// where anyone is bound.
const maxRules = 4096

// rebuildTable makes the table anew. The lock is held.
func (h *Holder) rebuildTable() {
	table := &gate.Table{Generation: 1}
	if h.table != nil {
		table.Generation = h.table.Generation + 1
	}
	for i, s := range h.subjects {
		if i == 0 {
			table.Permitted, table.Restricted = append(table.Permitted, nil), append(table.Restricted, false)
			continue
		}
		zones, bound := h.permittedZones(s)
		table.Permitted, table.Restricted = append(table.Permitted, zones), append(table.Restricted, bound)
	}
	h.table = table
}

// permittedZones is what a subject is permitted now: by every text that has the version. The lock is held.
func (h *Holder) permittedZones(s subject) (zones []bool, restricted bool) {
	none := make([]bool, len(h.zones))
	if len(h.policies) == 0 {
		return none, true
	}
	for _, p := range h.policies {
		if p == nil { // who was bound stays bound, and nobody knows to what
			if h.lastReadable == nil || h.lastReadable.permittedZones(h.lastReadable.ruleFor(s.tenant, s.class), h.zones) != nil {
				return none, true
			}
			continue
		}
		r := p.ruleFor(s.tenant, s.class)
		allowed := p.permittedZones(r, h.zones)
		if allowed == nil {
			continue
		}
		if h.stale && r.WhenStale == refuseWhenStale {
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

// RuleID is the number of the rule for a tenant's requests of a class. What it permits may change; the number does not.
func (h *Holder) RuleID(tenant, class string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := subject{tenant, class}
	if id, known := h.ruleIDs[s]; known {
		return id
	}
	if len(h.subjects) >= maxRules {
		return maxRules // in no table: not permitted
	}
	id := len(h.subjects)
	h.ruleIDs[s], h.subjects = id, append(h.subjects, s)
	h.rebuildTable()
	return id
}

// Table is what is in force now.
func (h *Holder) Table() *gate.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateStale()
	return h.table
}

// CountRefusal counts a send that the check in front of the network refused. The module should have: it is told as an error.
func (h *Holder) CountRefusal(rule int, zone int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tenant, name := "", "unknown"
	if rule > 0 && rule < len(h.subjects) {
		tenant = h.subjects[rule].tenant
	}
	if zone >= 0 && zone < len(h.zones) {
		name = h.zones[zone]
	}
	h.refusals[[2]string{tenant, name}]++
	h.log.Error("residency: an attempt was refused before its first byte", "tenant", tenant, "zone", name, "version", h.version)
}
