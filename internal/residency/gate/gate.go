// Package gate is what stands between an agent's sends and its residency policy: a table that says where each rule
// permits to send. It depends on nothing, so that an agent without a policy pays nothing for it.
package gate

// Table is what is in force: for each rule the zones that it permits, by number. It is never changed.
type Table struct {
	Gen   int // grows with each change
	Rules [][]bool
	Bound []bool // which of them bind
}

// Permits reports whether a rule permits a zone. 0 is no rule, which permits all; a rule or a zone that is not known is
// not permitted, where the rule binds.
func (t *Table) Permits(rule, zone int) bool {
	if rule <= 0 {
		return true
	}
	if rule >= len(t.Rules) {
		return false
	}
	if !t.Bound[rule] {
		return true
	}
	return zone >= 0 && zone < len(t.Rules[rule]) && t.Rules[rule][zone]
}

// Keeper answers for the policy that is in force. Its methods may be called from any task.
type Keeper interface {
	Rule(tenant, class string) int // the number of the rule for a tenant's requests of a class
	Table() *Table
	Refused(rule, zone int) // an attempt that the module made was refused before its first byte
}
