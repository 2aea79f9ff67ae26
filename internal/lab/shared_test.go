package lab

import (
	"strings"
	"testing"

	"martenbeam/internal/lab/check"
)

// policyDocument returns a residency policy for a test scenario. It binds all requests to the permitted regions.
func policyDocument(version string, permitted string) string {
	return "'''\nversion = " + version + `
[regions]
riga = ["riga-ziepniekkalns"]
second = ["riga-purvciems"]
[others]
permitted = [` + permitted + `]
'''
`
}

const sharedScenario = `
[shared]
on = true
bound = "500ms"
`

func tighterPolicy(text string) string {
	return text + sharedScenario + "policy = " + policyDocument("1", `"riga", "second"`) + "[[fault]]\nat = \"1s\"\nwhat = \"policy\"\nwho = \"agents n=0\"\ntext = " + policyDocument("2", `"riga"`)
}

// hubScenario is a fleet with two hubs, in which the settings change once.
const hubScenario = sharedScenario + `
hubs = 2
settings_bound = "1s"
settings = "version = 1"
[[fault]]
at = "500ms"
what = "settings"
who = "hubs n=0"
text = "version = 2"
`

// Each checker of shared state finds the violation of a fake that violates its rule, and reports nothing about correct fakes.
func TestCheckersOfSharedState(t *testing.T) {
	restart := "[[fault]]\nat = \"800ms\"\nwhat = \"kill\"\nwho = \"agents n=1\"\nrestart = \"kept\"\n"
	agentPartitioned := "[[fault]]\nat = \"300ms\"\nwhat = \"link\"\nfrom = \"hubs\"\nto = \"agents n=1\"\ncut = true\n"
	shortPartition := "[[fault]]\nat = \"300ms\"\nfor = \"300ms\"\nwhat = \"link\"\nfrom = \"hubs\"\nto = \"agents\"\ncut = true\n"
	sourceKilled := "[[fault]]\nat = \"400ms\"\nwhat = \"kill\"\nwho = \"hubs n=0\"\nafter = \"300ms\"\nrestart = \"kept\"\n"
	for _, c := range []struct{ mode, text, verdict, rule string }{
		{"resides", tighterPolicy(smallScenario) + restart, Passed, ""},
		{"leaks", tighterPolicy(smallScenario), Violated, check.RuleResidency},
		{"leaks-on-repeat", tighterPolicy(smallScenario), Violated, check.RuleResidency},
		{"leaks-after-change", tighterPolicy(smallScenario), Violated, check.RuleResidency},
		{"leaks-after-restart", tighterPolicy(smallScenario) + restart, Violated, check.RuleResidency},
		{"honest", smallScenario + sharedScenario, Passed, ""},
		{"uses-old", smallScenario + sharedScenario, Violated, ""},
		{"takes-two-parts", smallScenario + sharedScenario, Violated, ""},
		{"takes-two-parts", smallScenario + hubScenario, Violated, ""},
		{"settles", smallScenario + hubScenario, Passed, ""},
		{"settles", smallScenario + hubScenario + agentPartitioned, Passed, ""}, // an agent that no hub can reach is not late
		{"settles", smallScenario + hubScenario + restart, Passed, ""},
		{"settles", smallScenario + hubScenario + sourceKilled, Passed, ""},
		{"never-settles", smallScenario + hubScenario, Violated, ""},
		{"never-settles", smallScenario + hubScenario + shortPartition, Violated, ""},
		{"agent-goes-back", smallScenario + hubScenario, Violated, ""},
		{"hub-goes-back", smallScenario + hubScenario, Violated, ""},
		{"forgets-settings", smallScenario + hubScenario + restart, Violated, ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, c.mode, c.text))
			if r.Verdict != c.verdict {
				t.Fatalf("verdict %s, want %s; first violation: %+v, crash: %s, shared: %+v", r.Verdict, c.verdict, r.Rules.First, r.Crash, r.Shared)
			}
			if c.rule != "" && r.Rules.ByRule[c.rule] == 0 {
				t.Errorf("violations by rule: %v, want one of %s", r.Rules.ByRule, c.rule)
			}
			if want := c.mode == "uses-old"; want != (r.Shared.PastBound > 0) {
				t.Errorf("%d uses of entries past their age bound, want some only in mode uses-old", r.Shared.PastBound)
			}
			if want := c.mode == "takes-two-parts"; want != (r.Shared.MaxQuotaSum > maxQuotaSum) {
				t.Errorf("quotas sum up to %v of the limit, want more than the bound only in mode takes-two-parts", r.Shared.MaxQuotaSum)
			}
			s := r.Shared.Settings
			if s == nil {
				return
			}
			if want := strings.HasSuffix(c.mode, "-back") || c.mode == "forgets-settings"; want != (s.Regressions > 0) {
				t.Errorf("settings %+v, want regressions only in modes that revert settings", s)
			}
			if want := c.mode == "never-settles"; want != (s.PastBound > 0) || c.mode == "settles" && s.Lagging > 0 {
				t.Errorf("settings %+v, want some past the bound only in mode never-settles, and no lagging agent in mode settles", s)
			}
		})
	}
}

// sixAgentScenario is a scenario for real agents that share state.
const sixAgentScenario = `
for = "7s"
settle = "100ms"
[fleet]
agents = 6
backends = 9
pod = 3
[load]
rate = 60
of = 0.2
[lists]
notice_s = [0.05, 0.1]
silent_s = [0.5, 0.6]
add_s = [0.05, 0.1]
[limits]
late_ms = 60000
`

// Real agents that share state keep every rule during faults between several processes: they use no gossip entry past its age
// bound, and the sum of their quotas stays within the bound.
func TestRealAgentsShareSafely(t *testing.T) {
	polled := strings.Replace(sixAgentScenario, "[lists]", "[lists]\nasked = true\nknown = \"none\"\nrate = 20", 1)
	relayed := "[shared]\non = true\nrelayed = true\n"
	matrix := "[shared]\non = true\nmatrix = true\n"
	for name, c := range map[string]struct {
		text   string
		verify func(t *testing.T, r *Report)
	}{
		"cold start": {polled + relayed + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents\"\nafter = \"100ms\"\n", func(t *testing.T, r *Report) {
			if r.Lists.PerAgent > 1.3 || r.Lists.Calls == 0 {
				t.Errorf("%d list calls, %v for each start of an agent; want some, and at most 1.3 for each start", r.Lists.Calls, r.Lists.PerAgent)
			}
		}},
		"own lists":    {polled + "[shared]\non = true\n[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents share=0.7\"\nafter = \"100ms\"\n", nil},
		"relays stop":  {polled + relayed + "[[fault]]\nat = \"1s\"\nfor = \"3s\"\nwhat = \"stop\"\nwho = \"agents n=0,1,2\"\n", nil},
		"dark service": {strings.Replace(polled, `known = "none"`, `known = "now"`, 1) + relayed + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents\"\nafter = \"100ms\"\n[[fault]]\nat = \"1s\"\nfor = \"2s\"\nwhat = \"list-silent\"\n", nil},
		"some stay dead": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents n=4,5\"\nrestart = \"never\"\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["gone"] == 0 {
				t.Error("no agent used an entry of kind gone about the agents that stay down, want at least one use")
			}
		}},
		"cut between agents": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nfor = \"4s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1,2\"\nboth = true\ncut = true\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["distance"] == 0 {
				t.Error("no agent used a round-trip time of another agent, want at least one use")
			}
		}},
		"datagrams lost": {sixAgentScenario + matrix + "[[fault]]\nat = \"100ms\"\nwhat = \"link\"\nfrom = \"agents\"\nto = \"agents\"\nprotocol = \"udp\"\nlose = 0.3\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["distance"] == 0 {
				t.Error("no agent used a round-trip time of another agent, want at least one use")
			}
		}},
		"delay one way":  {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1\"\ndelay = \"60ms\"\n", nil},
		"probes blocked": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1\"\nboth = true\nprotocol = \"udp\"\ncut = true\n", nil},
		"sites of one":   {strings.Replace(sixAgentScenario, "agents = 6", "agents = 3", 1) + matrix, nil},
		"list again":     {polled + relayed + "[[fault]]\nat = \"2s\"\nwhat = \"list-rewind\"\n", nil},
		"stopped past the bound": {strings.ReplaceAll(strings.Replace(strings.Replace(tighterPolicy(sixAgentScenario), "of = 0.2", "of = 0.1", 1), `bound = "500ms"`, `bound = "2s"`, 1), "\n[regions]", "\nwhen_stale = \"refuse\"\n[regions]") +
			"[[fault]]\nat = \"800ms\"\nfor = \"4s\"\nwhat = \"stop\"\nwho = \"agents n=1,4\"\n", nil},
		"bound tenants": {strings.Replace(strings.Replace(tighterPolicy(sixAgentScenario), "of = 0.2", "of = 0.1", 1), `bound = "500ms"`, `bound = "2s"`, 1) + "[[fault]]\nat = \"2s\"\nwhat = \"kill\"\nwho = \"agents n=0,3\"\nrestart = \"kept\"\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, "real", c.text))
			if r.Verdict != Passed {
				t.Fatalf("verdict %s, want kept; first violation: %+v, crash: %s, shared: %+v", r.Verdict, r.Rules.First, r.Crash, r.Shared)
			}
			if r.ServedInObjective == 0 {
				t.Error("no request was served within its latency objective")
			}
			if c.verify != nil {
				c.verify(t, r)
			}
		})
	}
}
