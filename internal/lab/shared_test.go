package lab

import (
	"strings"
	"testing"

	"martenbeam/internal/lab/check"
)

// policyDocument is a residency policy in a test scenario: all are bound, at first to two zones, later to one of them.
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

// hubScenario is a fleet with hubs whose settings change once.
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

// The checkers of what agents share find what they are there for, and nothing where nothing is wrong.
func TestCheckersOfSharedState(t *testing.T) {
	restart := "[[fault]]\nat = \"800ms\"\nwhat = \"kill\"\nwho = \"agents n=1\"\nrestart = \"kept\"\n"
	cutOff := "[[fault]]\nat = \"300ms\"\nwhat = \"link\"\nfrom = \"hubs\"\nto = \"agents n=1\"\ncut = true\n"
	cutShort := "[[fault]]\nat = \"300ms\"\nfor = \"300ms\"\nwhat = \"link\"\nfrom = \"hubs\"\nto = \"agents\"\ncut = true\n"
	sourceKilled := "[[fault]]\nat = \"400ms\"\nwhat = \"kill\"\nwho = \"hubs n=0\"\nafter = \"300ms\"\nrestart = \"kept\"\n"
	for _, c := range []struct{ mode, text, verdict, rule string }{
		{"resides", tighterPolicy(smallScenario) + restart, Kept, ""},
		{"leaks", tighterPolicy(smallScenario), Broken, check.RuleResidency},
		{"leaks-on-repeat", tighterPolicy(smallScenario), Broken, check.RuleResidency},
		{"leaks-after-change", tighterPolicy(smallScenario), Broken, check.RuleResidency},
		{"leaks-after-restart", tighterPolicy(smallScenario) + restart, Broken, check.RuleResidency},
		{"honest", smallScenario + sharedScenario, Kept, ""},
		{"uses-old", smallScenario + sharedScenario, Broken, ""},
		{"takes-two-parts", smallScenario + sharedScenario, Broken, ""},
		{"takes-two-parts", smallScenario + hubScenario, Broken, ""},
		{"settles", smallScenario + hubScenario, Kept, ""},
		{"settles", smallScenario + hubScenario + cutOff, Kept, ""}, // whom no hub can reach is not late
		{"settles", smallScenario + hubScenario + restart, Kept, ""},
		{"settles", smallScenario + hubScenario + sourceKilled, Kept, ""},
		{"never-settles", smallScenario + hubScenario, Broken, ""},
		{"never-settles", smallScenario + hubScenario + cutShort, Broken, ""},
		{"agent-goes-back", smallScenario + hubScenario, Broken, ""},
		{"hub-goes-back", smallScenario + hubScenario, Broken, ""},
		{"forgets-settings", smallScenario + hubScenario + restart, Broken, ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, c.mode, c.text))
			if r.Verdict != c.verdict {
				t.Fatalf("%s, want %s; first: %+v, crash: %s, shared %+v", r.Verdict, c.verdict, r.Rules.First, r.Crash, r.Shared)
			}
			if c.rule != "" && r.Rules.ByRule[c.rule] == 0 {
				t.Errorf("broken rules: %v, want %s", r.Rules.ByRule, c.rule)
			}
			if broken := c.mode == "uses-old"; broken != (r.Shared.Past > 0) {
				t.Errorf("%d uses past the bound", r.Shared.Past)
			}
			if broken := c.mode == "takes-two-parts"; broken != (r.Shared.Parts > maxQuotaSum) {
				t.Errorf("parts sum up to %v", r.Shared.Parts)
			}
			s := r.Shared.Settings
			if s == nil {
				return
			}
			if broken := strings.HasSuffix(c.mode, "-back") || c.mode == "forgets-settings"; broken != (s.Back > 0) {
				t.Errorf("went back: %+v", s)
			}
			if broken := c.mode == "never-settles"; broken != (s.Late > 0) || c.mode == "settles" && s.Behind > 0 {
				t.Errorf("past the bound, or behind: %+v", s)
			}
		})
	}
}

// sixAgentScenario is a fleet of real agents that share what they know.
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

// Real agents that share what they know keep every rule, use nothing past its bound and never take more than the limit
// together, through faults between several processes.
func TestRealAgentsShareSafely(t *testing.T) {
	asked := strings.Replace(sixAgentScenario, "[lists]", "[lists]\nasked = true\nknown = \"none\"\nrate = 20", 1)
	relayed := "[shared]\non = true\nrelayed = true\n"
	matrix := "[shared]\non = true\nmatrix = true\n"
	for name, c := range map[string]struct {
		text string
		also func(t *testing.T, r *Report)
	}{
		"cold start": {asked + relayed + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents\"\nafter = \"100ms\"\n", func(t *testing.T, r *Report) {
			if r.Lists.PerAgent > 1.3 || r.Lists.Calls == 0 {
				t.Errorf("%d calls, %v for each start", r.Lists.Calls, r.Lists.PerAgent)
			}
		}},
		"own lists":    {asked + "[shared]\non = true\n[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents share=0.7\"\nafter = \"100ms\"\n", nil},
		"relays stop":  {asked + relayed + "[[fault]]\nat = \"1s\"\nfor = \"3s\"\nwhat = \"stop\"\nwho = \"agents n=0,1,2\"\n", nil},
		"dark service": {strings.Replace(asked, `known = "none"`, `known = "now"`, 1) + relayed + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents\"\nafter = \"100ms\"\n[[fault]]\nat = \"1s\"\nfor = \"2s\"\nwhat = \"list-silent\"\n", nil},
		"some stay dead": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"kill\"\nwho = \"agents n=4,5\"\nrestart = \"never\"\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["gone"] == 0 {
				t.Error("nobody was told to be gone")
			}
		}},
		"cut between agents": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nfor = \"4s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1,2\"\nboth = true\ncut = true\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["distance"] == 0 {
				t.Error("no round trip was told")
			}
		}},
		"datagrams lost": {sixAgentScenario + matrix + "[[fault]]\nat = \"100ms\"\nwhat = \"link\"\nfrom = \"agents\"\nto = \"agents\"\nprotocol = \"udp\"\nlose = 0.3\n", func(t *testing.T, r *Report) {
			if r.Shared.Used["distance"] == 0 {
				t.Error("no round trip was told")
			}
		}},
		"delay one way":  {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1\"\ndelay = \"60ms\"\n", nil},
		"probes blocked": {sixAgentScenario + matrix + "[[fault]]\nat = \"1s\"\nwhat = \"link\"\nfrom = \"agents zone=0\"\nto = \"agents zone=1\"\nboth = true\nprotocol = \"udp\"\ncut = true\n", nil},
		"sites of one":   {strings.Replace(sixAgentScenario, "agents = 6", "agents = 3", 1) + matrix, nil},
		"list again":     {asked + relayed + "[[fault]]\nat = \"2s\"\nwhat = \"list-rewind\"\n", nil},
		"stopped past the bound": {strings.ReplaceAll(strings.Replace(strings.Replace(tighterPolicy(sixAgentScenario), "of = 0.2", "of = 0.1", 1), `bound = "500ms"`, `bound = "2s"`, 1), "\n[regions]", "\nwhen_stale = \"refuse\"\n[regions]") +
			"[[fault]]\nat = \"800ms\"\nfor = \"4s\"\nwhat = \"stop\"\nwho = \"agents n=1,4\"\n", nil},
		"bound tenants": {strings.Replace(strings.Replace(tighterPolicy(sixAgentScenario), "of = 0.2", "of = 0.1", 1), `bound = "500ms"`, `bound = "2s"`, 1) + "[[fault]]\nat = \"2s\"\nwhat = \"kill\"\nwho = \"agents n=0,3\"\nrestart = \"kept\"\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, "real", c.text))
			if r.Verdict != Kept {
				t.Fatalf("%s: %+v %s; shared %+v", r.Verdict, r.Rules.First, r.Crash, r.Shared)
			}
			if r.ServedInAim == 0 {
				t.Error("nothing was served")
			}
			if c.also != nil {
				c.also(t, r)
			}
		})
	}
}
