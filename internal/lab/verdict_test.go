package lab

// The lab finds the violations of broken agents, and finds none of real agents.

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/lab/check"
)

// Each checker finds the violation of a fake agent that violates only its rule, and reports nothing about correct fakes.
func TestCheckersFindBrokenAgents(t *testing.T) {
	const drains = "\n[[fault]]\nat = \"300ms\"\nwhat = \"drain\"\nwho = \"backends share=0.5\"\n"
	const replaces = "\n[[fault]]\nat = \"200ms\"\nwhat = \"replace\"\nwho = \"backends n=0\"\n"
	partitions := ""
	for _, at := range []string{"500ms", "900ms", "1300ms", "1700ms", "2100ms"} {
		partitions += "\n[[fault]]\nat = \"" + at + "\"\nfor = \"200ms\"\nwhat = \"link\"\nfrom = \"backends\"\nto = \"agents\"\ncut = true\n"
	}
	overloaded := strings.Replace(strings.Replace(smallScenario, "rate = 60", "rate = 150", 1), "of = 0.05", "of = 0.7", 1) + replaces
	for _, c := range []struct{ mode, text, verdict, rule string }{
		{"honest", smallScenario, Passed, ""},
		{"probes", smallScenario + partitions, Passed, ""}, // a response that a partition delays arrives once
		{"repeats-in-pod", smallScenario, Passed, ""},
		{"sends-twice", smallScenario, Violated, check.RuleDuplicate},
		{"refuses-what-ran", smallScenario, Violated, check.RuleDuplicate},
		{"hangs-up", smallScenario, Violated, check.RuleAnswer},
		{"never-answers", smallScenario, Violated, check.RuleAnswer},
		{"answers-late", smallScenario, Violated, check.RuleAnswer},
		{"forges", smallScenario, Violated, check.RuleAnswer},
		{"reads-and-closes", smallScenario, Violated, check.RuleAnswer},
		{"sends-after-the-end", smallScenario, Violated, check.RuleCancelled},
		{"overstates", smallScenario, Violated, check.RuleDeadline},
		{"invents", smallScenario, Violated, check.RuleUnknown},
		{"rewrites", smallScenario, Violated, check.RuleUnknown},
		{"ignores-lists", smallScenario + drains, Violated, check.RuleDrain},
		{"rushes-the-newest", overloaded, Violated, check.RuleSlowStart},
		{"dies", smallScenario, Crashed, ""},
		{"hoards", smallScenario, Crashed, ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, c.mode, c.text))
			if r.Verdict != c.verdict {
				t.Fatalf("verdict %s, want %s; first violation: %+v, crash: %s", r.Verdict, c.verdict, r.Rules.First, r.Crash)
			}
			if c.rule != "" && r.Rules.ByRule[c.rule] == 0 {
				t.Errorf("violations by rule: %v, want one of %s", r.Rules.ByRule, c.rule)
			}
			if c.mode == "reads-and-closes" && r.Rules.ByRule[check.RuleDuplicate] > 0 {
				t.Errorf("the client resent a request that the agent had read, want no duplicate; violations by rule: %v", r.Rules.ByRule)
			}
			if c.mode == "repeats-in-pod" && r.Attempts <= 1 {
				t.Errorf("%v attempts per request, want more than 1", r.Attempts)
			}
			if c.rule == check.RuleDuplicate && len(r.Rules.History.History) < 4 {
				t.Errorf("the history of the first violating request has %d events, want at least 4", len(r.Rules.History.History))
			}
		})
	}
}

// Real agents keep every rule during faults that affect several processes.
func TestRealAgentsKeepTheRules(t *testing.T) {
	for name, faults := range map[string]string{
		"killed":     `what = "kill"` + "\n" + `who = "agents share=0.7"` + "\n" + `after = "100ms"`,
		"ended":      `what = "term"` + "\n" + `who = "agents n=1"` + "\n" + `restart = "kept"`,
		"stopped":    `what = "stop"` + "\n" + `who = "agents n=0,2"` + "\n" + `for = "1s"`,
		"zone lost":  `what = "zone-lost"` + "\n" + `who = "zone zone=0"` + "\n" + `for = "1500ms"`,
		"zone cut":   `what = "zone-cut"` + "\n" + `who = "zone zone=1"` + "\n" + `for = "1500ms"`,
		"zone deaf":  `what = "zone-deaf"` + "\n" + `who = "zone zone=2"` + "\n" + `for = "1500ms"`,
		"replaced":   `what = "replace"` + "\n" + `who = "backends share=0.6"` + "\n" + `for = "1s"` + "\n" + `steps = 3`,
		"list again": `what = "list-rewind"`,
		"links":      `what = "link"` + "\n" + `from = "agents"` + "\n" + `to = "backends share=0.5"` + "\n" + `both = true` + "\n" + `reset = true` + "\n" + `lose = 0.2` + "\n" + `for = "1s"`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, "real", slowLinkScenario+"[[fault]]\nat = \"1s\"\n"+faults+"\n"))
			if r.Verdict != Passed {
				var history bytes.Buffer
				if r.Rules.History != nil {
					WriteHistory(&history, r.Rules.History)
				}
				t.Errorf("verdict %s, want kept; first violation: %+v, crash: %s\n%s", r.Verdict, r.Rules.First, r.Crash, history.String())
			}
			if r.ServedInObjective == 0 {
				t.Error("no request was served within its latency objective")
			}
		})
	}
}

// An attempt counts as arrived when the kernel received it, so a delay in the lab does not count against the agent.
func TestAttemptArrivesWhenTheKernelHasIt(t *testing.T) {
	l, err := New(options(t, "real", smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.hosts[0].gates[0].Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const busy = 500 * time.Millisecond
	l.mu.Lock()
	sent := l.now()
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\n\r\n")
	time.Sleep(busy)
	l.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		for _, a := range l.attempts {
			if took := a.arrivedAt - sent; took > busy/2 {
				t.Errorf("the attempt counts as arrived %v after it was sent, want less than half of the lab's delay", took)
			}
		}
		arrived := len(l.attempts) > 0
		l.mu.Unlock()
		if arrived {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the attempt did not arrive at the lab within testTimeout")
		}
	}
}

// The report shows that an agent keeps sending to a zone that it cannot reach: the lab counts queued attempts and connections that
// cannot be established. Without a fault that makes a zone unreachable, the report has no time until a zone was avoided.
func TestUnavoidedZoneIsReported(t *testing.T) {
	const cut = "[[fault]]\nat = \"500ms\"\nfor = \"2s\"\nwhat = \"zone-cut\"\nwho = \"zone zone=1\"\n"
	if r := runScenario(t, options(t, "honest", smallScenario+cut)); r.AvoidedAfter == nil || *r.AvoidedAfter >= 0 {
		t.Errorf("time until the zone was avoided: %v, want a negative one, for never", r.AvoidedAfter)
	}
	if r := runScenario(t, options(t, "honest", smallScenario)); r.AvoidedAfter != nil {
		t.Errorf("time until unreachable zones were avoided: %v s without a fault, want nil", *r.AvoidedAfter)
	}
}

// A run in which the lab was too late is inconclusive, even if the lab found violations.
func TestLateLabIsInconclusive(t *testing.T) {
	r := runScenario(t, options(t, "sends-twice", strings.Replace(smallScenario, "late_ms = 60000", "late_ms = 0.0001", 1)))
	if r.Verdict != Inconclusive || r.Rules.Violations == 0 {
		t.Errorf("verdict %s with %d violations, want an inconclusive run with at least one", r.Verdict, r.Rules.Violations)
	}
}
