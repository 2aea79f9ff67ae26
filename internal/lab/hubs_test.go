package lab

import (
	"testing"

	"martenbeam/internal/lab/scenario"
)

// Real agents that hold to real hubs keep every rule while a hub is killed, cut off or stopped for longer than it may be
// silent, and comes back: nothing is used past its bound, the parts of the limit are never more than it, and what settings are
// given meanwhile come to every agent and never go back.
func TestRealHubs(t *testing.T) {
	for _, name := range []string{"hub-kill", "hub-cut", "hub-pause"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithHubs(t, name, func(*scenario.Scenario) {})
		})
	}
	t.Run("all gone", func(t *testing.T) { // and a flat fleet to fall back to
		t.Parallel()
		r := runWithHubs(t, "hub-kill", func(s *scenario.Scenario) {
			s.Shared.MeshFallback = true
			s.Faults = s.Faults[:1]
			s.Faults[0].Targets, s.Faults[0].Restart = "hubs", "never"
		})
		if r.Shared.Used["gone"] > 0 && r.Shared.Parts > 1.0001 {
			t.Errorf("parts sum up to %v, and nobody started", r.Shared.Parts)
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
			t.Errorf("%d calls for lists, %v", r.Lists.Calls, r.Shared.Used)
		}
	})
}

// runWithHubs plays a built-in scenario, changed, and asks for what has to hold in all of them.
func runWithHubs(t *testing.T, name string, change func(*scenario.Scenario)) *Report {
	t.Helper()
	o := options(t, "real", smallScenario)
	s, err := scenario.Read(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Limits.MaxLabLatenessMs = 60000 // the verdict does not hang on it
	change(s)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	o.Scenario = s
	r := runScenario(t, o)
	if r.Verdict != Kept {
		t.Fatalf("%s: %+v %s %s; shared %+v, settings %+v", r.Verdict, r.Rules.First, r.Rules.Shared, r.Crash, r.Shared, r.Shared.Settings)
	}
	if x := r.Shared.Settings; x.Behind > 0 {
		t.Errorf("settings: %+v", x)
	}
	if r.ServedInAim == 0 || r.Shared.Used["census"] == 0 || r.Shared.Used["settings"] == 0 || r.Shared.Used["distance"] == 0 || r.Hubs.Hubs != 3 {
		t.Errorf("served %v, used %v, %+v", r.ServedInAim, r.Shared.Used, r.Hubs)
	}
	return r
}
