package balancer

// Unit tests of the residency policy.

import (
	"testing"

	"martenbeam/internal/residency/gate"
)

func TestResidencyPolicyRestrictsUnknownRules(t *testing.T) {
	policy := residencyPolicy{&gate.Table{Permitted: [][]bool{nil, {true, false}, {true, false}},
		Restricted: []bool{false, true, false}}}
	for name, c := range map[string]struct {
		policy     residencyPolicy
		rule, zone int
		permits    bool
		restricts  bool
	}{
		"no rule":                    {policy, 0, 1, true, false},
		"no rule, no policy":         {residencyPolicy{}, 0, 1, true, false},
		"a rule, no policy":          {residencyPolicy{}, 1, 0, false, true},
		"a permitted zone":           {policy, 1, 0, true, true},
		"a zone not permitted":       {policy, 1, 1, false, true},
		"an unknown zone":            {policy, 1, 2, false, true},
		"a zone below 0":             {policy, 1, -1, false, true},
		"a rule without restriction": {policy, 2, 1, true, false},
		"an unknown rule":            {policy, 3, 0, false, true},
	} {
		if got := c.policy.permits(c.rule, c.zone); got != c.permits {
			t.Errorf("%s: permitted %v, want the opposite", name, got)
		}
		if got := c.policy.restricts(c.rule); got != c.restricts {
			t.Errorf("%s: restricted %v, want the opposite", name, got)
		}
	}
}
