// Package gate is the check between an agent's sends and its residency policy: a table of the zones that each rule permits.
// It depends on nothing, so that an agent without a policy pays nothing for it.
//
// The package has no state. A Table belongs to the Enforcer that made it, is never changed, and may be used from any
// goroutine; how old its policy may be is the Enforcer's to check, whenever the table is asked for.
package gate

// Table says which zones each rule permits. Rules and zones are numbers that the Enforcer gives out.
type Table struct {
	Generation int      // grows with each new table of an Enforcer
	Permitted  [][]bool // by rule and zone
	Restricted []bool   // by rule; an unrestricted one permits every zone, unknown ones included
}

// Permits reports whether a rule permits sending to a zone. Rule 0 stands for no rule, and permits every zone. A rule that
// is not in the table permits none, and a restricted rule permits no zone that it does not know, -1 included.
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

// Enforcer decides by the residency policy in force. Its methods may be called from any goroutine.
type Enforcer interface {
	// RuleID returns the number of the rule for a tenant's requests of a class; it never changes.
	RuleID(tenant, class string) int
	// Table returns what is permitted now. It is asked for right before each send.
	Table() *Table
	// CountRefusal records that the gate refused an attempt, before its first byte, that the decision module had chosen.
	CountRefusal(rule, zone int)
}
