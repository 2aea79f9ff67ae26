package fleet

// This file tests the sharing of documents.

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"martenbeam/internal/residency"
)

// A policy that is given to one process reaches all, a higher version replaces it, and of two policies with the same version
// only what both permit is permitted.
func TestPolicyReachesAllMembers(t *testing.T) {
	t.Parallel()
	text := func(version int, region string) string {
		return fmt.Sprintf("version = %d\n[regions]\nx = [\"a\"]\ny = [\"b\"]\n[others]\npermitted = [%s]\n", version, region)
	}
	holders := map[int]*residency.Holder{}
	list := startFleet(t, 3, 3, func(i int, c *Config) {
		c.PolicySource = i < 2
		holders[i] = residency.NewHolder(zones, time.Minute, c.PolicySource, slog.New(slog.DiscardHandler), nil)
		c.Residency = holders[i]
	})
	holds := func(a, b bool) func() bool {
		return func() bool {
			for i := range list {
				rule := holders[i].RuleID("t", "c")
				if table := holders[i].Table(); table.Permits(rule, 0) != a || table.Permits(rule, 1) != b {
					return false
				}
			}
			return true
		}
	}
	apply := func(i, version int, region string) {
		if err := holders[i].Apply(int64(version), text(version, region)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "a state in which nothing is permitted", holds(false, false))
	apply(0, 1, `"x", "y"`)
	waitFor(t, "the first policy", holds(true, true))
	apply(0, 2, `"x"`)
	waitFor(t, "the second policy", holds(true, false))
	apply(1, 2, `"y"`)
	waitFor(t, "the intersection of both policies", holds(false, false))
	apply(1, 3, `"y"`)
	waitFor(t, "the third policy", holds(false, true))
}
