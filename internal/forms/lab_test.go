package forms

import (
	"encoding/json"
	"strings"
	"testing"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/scenario"
	"martenbeam/internal/scale/overhead"
)

// Tests of the reports of the lab and of the measurements, and of the scenarios that the lab reads.

// The reports of a run, of a comparison and of the overhead measurement keep their keys. Verdicts and measures keep their
// names.
func TestReportsKeepTheirFormat(t *testing.T) {
	goldenJSON(t, "report.json", filled[lab.Report]())
	goldenJSON(t, "pair.json", lab.Pair{Seed: 1})
	goldenJSON(t, "difference.json", filled[lab.Difference]())
	goldenJSON(t, "callway.json", filled[overhead.Result]())
	if lab.Schema != 1 {
		t.Errorf("got report schema %d, want 1", lab.Schema)
	}
	equal(t, "verdicts", []string{lab.Passed, lab.Violated, lab.Crashed, lab.Inconclusive}, []string{"kept", "broken", "crashed", "void"})
	var measures []string
	for _, m := range lab.Measures {
		measures = append(measures, m.Name)
	}
	golden(t, "measures.txt", []byte(strings.Join(measures, "\n")+"\n"))
}

// The history of a request, which `lab run --events` writes and `lab trace` reads, keeps its keys. Rules and answers keep
// their names.
func TestRequestHistoryKeepsItsFormat(t *testing.T) {
	q := check.Request{ID: "r1", FirstID: "r2", Attempt: 3, Agent: 4, Class: 5, SentAt: 6, Timeout: 7,
		History: []check.Event{{At: 8, Who: "w9", What: "w10"}}}
	goldenJSON(t, "request.json", q)
	var got check.Request
	if err := json.Unmarshal(stored(t, "request.json"), &got); err != nil {
		t.Fatal(err)
	}
	equal(t, "read back", got, q)
	equal(t, "rules", []string{check.RuleAnswer, check.RuleDuplicate, check.RuleDrain, check.RuleSlowStart,
		check.RuleUnknown, check.RuleCancelled, check.RuleDeadline,
		check.RuleResidency}, []string{"answer", "duplicate", "drain", "cold", "unsent", "gone", "deadline", "residency"})
	var answers []string
	for a := check.Served; a <= check.Foreign; a++ {
		answers = append(answers, a.String())
	}
	golden(t, "answers.txt", []byte(strings.Join(answers, "\n")+"\n"))
}

// The plan of faults that the lab injects into a process keeps its keys.
func TestInjectedPlanKeepsItsFormat(t *testing.T) {
	goldenJSON(t, "inject-plan.json", filled[faultinject.Plan]())
}

// The keys of a scenario, the names of the built-in scenarios and the kinds of fault stay the same.
func TestScenariosKeepTheirNames(t *testing.T) {
	goldenKeys[scenario.Scenario](t, "scenario-keys.txt")
	golden(t, "scenarios.txt", []byte(strings.Join(scenario.Names(), "\n")+"\n"))
	equal(t, "kinds of fault", []string{scenario.Link, scenario.Kill, scenario.Terminate, scenario.Pause, scenario.ZoneLost,
		scenario.ZoneCut, scenario.ZoneReceiveCut,
		scenario.Replace, scenario.Drain, scenario.FailingBackends, scenario.SlowBackends, scenario.NoisyNeighbour,
		scenario.Burst, scenario.DiscoverySilent, scenario.DiscoveryDown,
		scenario.DiscoveryRewind, scenario.PowerLoss, scenario.Policy, scenario.Settings, scenario.Reload, scenario.WallClock,
		scenario.SyscallFailure, scenario.IdleClients},
		[]string{"link", "kill", "term", "stop", "zone-lost", "zone-cut", "zone-deaf", "replace", "drain", "bad", "slow",
			"neighbour", "burst",
			"list-silent", "list-away", "list-rewind", "power", "policy", "settings", "reload", "wall", "fail", "crowd"})
	for _, name := range scenario.Names() {
		s, err := scenario.Read(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if s.Name != name {
			t.Errorf("scenario %s: Read returned the name %s, want the same name", name, s.Name)
		}
	}
}
