package lab

import (
	"testing"

	"martenbeam/internal/lab/scenario"
)

// Real agents with real hubs keep every rule while a hub is killed, partitioned, or paused for longer than its failure timeout,
// and after the hub is up again. No gossip entry is used past its age bound, the sum of the quotas stays within its bound, and
// settings that are published during the fault reach every agent and never revert to an older version.
func TestRealHubs(t *testing.T) {
	for _, name := range []string{"hub-kill", "hub-cut", "hub-pause"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithHubs(t, name, func(*scenario.Scenario) {})
		})
	}
	t.Run("all gone", func(t *testing.T) { // all hubs end, and agents fall back to a full mesh
		t.Parallel()
		r := runWithHubs(t, "hub-kill", func(s *scenario.Scenario) {
			s.Shared.MeshFallback = true
			s.Faults = s.Faults[:1]
			s.Faults[0].Targets, s.Faults[0].Restart = "hubs", "never"
		})
		if r.Shared.Used["gone"] > 0 && r.Shared.MaxQuotaSum > 1.0001 {
			t.Errorf("quotas sum up to %v of the limit although no agent started, want at most 1.0001", r.Shared.MaxQuotaSum)
		}
	})
	t.Run("lists and a policy", func(t *testing.T) {
		t.Parallel()
		r := runWithHubs(t, "hub-pause", func(s *scenario.Scenario) {
			s.Discovery.Polled, s.Discovery.CachedList, s.Discovery.Rate, s.Shared.RelayedLists = true, "none", 20, true
			s.Shared.Policy = "version = 1\n[regions]\nriga = [\"riga-ziepniekkalns\", \"riga-purvciems\"]\nsecond = [\"marupe\"]\n[others]\npermitted = [\"riga\", \"second\"]\nwhen_stale = \"refuse\"\n"
			s.Faults = append(s.Faults, scenario.Fault{At: s.Faults[1].At, Kind: scenario.Policy, Targets: "hubs n=0",
				Document: "version = 2\n[regions]\nriga = [\"riga-ziepniekkalns\", \"riga-purvciems\"]\nsecond = [\"marupe\"]\n[others]\npermitted = [\"riga\"]\nwhen_stale = \"refuse\"\n"})
		})
		if r.Lists.Calls == 0 || r.Shared.Used["residency"] == 0 {
			t.Errorf("%d list calls, entries used by kind: %v; want list calls and used residency entries", r.Lists.Calls, r.Shared.Used)
		}
	})
}

// runWithHubs runs a built-in scenario with changes, and checks the requirements that all scenarios with hubs share.
func runWithHubs(t *testing.T, name string, change func(*scenario.Scenario)) *Report {
	t.Helper()
	o := options(t, "real", smallScenario)
	s, err := scenario.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Limits.MaxLabLatenessMs = 60000 // a slow machine must not make the run inconclusive
	change(s)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	o.Scenario = s
	r := runScenario(t, o)
	if r.Verdict != Passed {
		t.Fatalf("verdict %s, want kept; first violation: %+v, shared violation: %s, crash: %s, shared: %+v, settings: %+v", r.Verdict, r.Rules.First, r.Rules.Shared, r.Crash, r.Shared, r.Shared.Settings)
	}
	if x := r.Shared.Settings; x.Lagging > 0 {
		t.Errorf("some agents do not have the latest settings at the end, want none: %+v", x)
	}
	if r.ServedInObjective == 0 || r.Shared.Used["census"] == 0 || r.Shared.Used["settings"] == 0 || r.Shared.Used["distance"] == 0 || r.Hubs.Hubs != 3 {
		t.Errorf("share served %v, entries used by kind %v, hubs %+v; want requests served, entries of kinds census, settings and distance used, and 3 hubs",
			r.ServedInObjective, r.Shared.Used, r.Hubs)
	}
	return r
}
