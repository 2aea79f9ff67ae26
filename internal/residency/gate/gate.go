// Package gate is what stands between an agent's sends and its residency policy: a table that says where each rule
// permits to send. It depends on nothing, so that an agent without a policy pays nothing for it.
package gate

// Table is what is in force: for each rule the zones that it permits, by number. It is never changed.
type Table struct {
	Generation int // grows with each change
	Permitted  [][]bool
	Restricted []bool // which of them bind
}

// Permits reports whether a rule permits a zone. 0 is no rule, which permits all; a rule or a zone that is not known is
// not permitted, where the rule binds.
func (t *Table) Permits(rule, zone int) bool {
	if rule <= 0 {
		return true
	}
	if rule >= len(t.Permitted) {
		return false
	}
	if !t.Restricted[rule] {
		return true
	}
	return zone >= 0 && zone < len(t.Permitted[rule]) && t.Permitted[rule][zone]
}

// Enforcer answers for the policy that is in force. Its methods may be called from any task.
type Enforcer interface {
	RuleID(tenant, class string) int // the number of the rule for a tenant's requests of a class
	Table() *Table
	CountRefusal(rule, zone int) // an attempt that the module made was refused before its first byte
}
