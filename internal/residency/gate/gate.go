// Package gate checks the sends of an agent against its residency policy, with a table of the zones that each rule permits. It
// has no dependencies, so that package agent can use it without linking the code that parses policies.
//
// The package has no state. A Table belongs to the Enforcer that made it, is immutable, and may be used from any goroutine.
// The Enforcer checks the age of its policy whenever it returns a table.
package gate

// Table lists the zones that each rule permits. Rules and zones are numbers that the Enforcer assigns.
type Table struct {
	Generation int      // grows with each new table of an Enforcer
	Permitted  [][]bool // by rule and zone
	Restricted []bool   // by rule; an unrestricted rule permits every zone, including unknown ones
}

// Permits reports whether a rule permits sending to a zone. Rule 0 means that no rule applies, and permits every zone. A rule
// that is not in the table permits no zone. A restricted rule permits only zones in the table; -1 is never in the table.
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

// Enforcer applies the residency policy in force. Its methods may be called from any goroutine.
type Enforcer interface {
	// RuleID returns the number of the rule for a tenant's requests of a class; it never changes.
	RuleID(tenant, class string) int
	// Table returns the table that is valid now. The agent calls it right before each send.
	Table() *Table
	// CountRefusal records that the gate refused an attempt of the decision module before sending its first byte.
	CountRefusal(rule, zone int)
}
