package fleet

// This file tests the sharing of documents.

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"martenbeam/internal/residency"
)

// A policy that operators set at one process reaches all members, and a policy with a higher version replaces it. While two
// policies have the same version, a zone is permitted only if both permit it.
func TestPolicyReachesAllMembers(t *testing.T) {
	t.Parallel()
	text := func(version int, permitted string) string {
		return fmt.Sprintf("version = %d\n[regions]\nx = [\"a\"]\ny = [\"b\"]\n[others]\npermitted = [%s]\n", version, permitted)
	}
	holders := map[int]*residency.Holder{}
	list := startFleet(t, 3, 3, func(i int, c *Config) {
		c.PolicySource = i < 2
		holders[i] = residency.NewHolder(zones, time.Minute, c.PolicySource, slog.New(slog.DiscardHandler), nil)
		c.Residency = holders[i]
	})
	allPermit := func(wantX, wantY bool) func() bool {
		return func() bool {
			for i := range list {
				rule := holders[i].RuleID("t", "c")
				if table := holders[i].Table(); table.Permits(rule, 0) != wantX || table.Permits(rule, 1) != wantY {
					return false
				}
			}
			return true
		}
	}
	apply := func(i, version int, permitted string) {
		if err := holders[i].Apply(int64(version), text(version, permitted)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "a state in which nothing is permitted", allPermit(false, false))
	apply(0, 1, `"x", "y"`)
	waitFor(t, "the first policy", allPermit(true, true))
	apply(0, 2, `"x"`)
	waitFor(t, "the second policy", allPermit(true, false))
	apply(1, 2, `"y"`)
	waitFor(t, "the intersection of both policies", allPermit(false, false))
	apply(1, 3, `"y"`)
	waitFor(t, "the third policy", allPermit(false, true))
}
