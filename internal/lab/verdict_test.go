package lab

// The lab finds what broken agents do, and nothing against real ones.

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/lab/check"
)

// Each checker finds what it is there for, in a run with an agent that does just that wrong, and nothing where
// nothing is wrong.
func TestCheckersFindBrokenAgents(t *testing.T) {
	const drains = "\n[[fault]]\nat = \"300ms\"\nwhat = \"drain\"\nwho = \"backends share=0.5\"\n"
	const replaces = "\n[[fault]]\nat = \"200ms\"\nwhat = \"replace\"\nwho = \"backends n=0\"\n"
	const holdsUp = "\n[[fault]]\nat = \"500ms\"\nfor = \"200ms\"\nwhat = \"link\"\nfrom = \"backends\"\nto = \"agents\"\ncut = true\n"
	rushed := strings.Replace(strings.Replace(smallScenario, "rate = 60", "rate = 150", 1), "of = 0.05", "of = 0.7", 1) + replaces
	for _, c := range []struct{ mode, text, verdict, rule string }{
		{"honest", smallScenario, Kept, ""},
		{"probes", smallScenario + holdsUp, Kept, ""}, // an answer that a cut holds up comes once
		{"repeats-in-pod", smallScenario, Kept, ""},
		{"sends-twice", smallScenario, Broken, check.RuleDuplicate},
		{"refuses-what-ran", smallScenario, Broken, check.RuleDuplicate},
		{"hangs-up", smallScenario, Broken, check.RuleAnswer},
		{"never-answers", smallScenario, Broken, check.RuleAnswer},
		{"answers-late", smallScenario, Broken, check.RuleAnswer},
		{"forges", smallScenario, Broken, check.RuleAnswer},
		{"reads-and-closes", smallScenario, Broken, check.RuleAnswer},
		{"sends-after-the-end", smallScenario, Broken, check.RuleCancelled},
		{"overstates", smallScenario, Broken, check.RuleDeadline},
		{"invents", smallScenario, Broken, check.RuleUnknown},
		{"rewrites", smallScenario, Broken, check.RuleUnknown},
		{"ignores-lists", smallScenario + drains, Broken, check.RuleDrain},
		{"rushes-the-newest", rushed, Broken, check.RuleSlowStart},
		{"dies", smallScenario, Crashed, ""},
		{"hoards", smallScenario, Crashed, ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, options(t, c.mode, c.text))
			if r.Verdict != c.verdict {
				t.Fatalf("%s, want %s; first: %+v, crash: %s", r.Verdict, c.verdict, r.Rules.First, r.Crash)
			}
			if c.rule != "" && r.Rules.ByRule[c.rule] == 0 {
				t.Errorf("broken rules: %v, want %s", r.Rules.ByRule, c.rule)
			}
			if c.mode == "reads-and-closes" && r.Rules.ByRule[check.RuleDuplicate] > 0 {
				t.Errorf("the client sends again what the agent has read: %v", r.Rules.ByRule)
			}
			if c.mode == "repeats-in-pod" && r.Attempts <= 1 {
				t.Errorf("%v attempts a request: nothing was repeated", r.Attempts)
			}
			if c.rule == check.RuleDuplicate && len(r.Rules.History.History) < 4 {
				t.Errorf("the offender's history has %d lines", len(r.Rules.History.History))
			}
		})
	}
}

// Real agents keep every rule through faults between several processes.
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
			if r.Verdict != Kept {
				var history bytes.Buffer
				if r.Rules.History != nil {
					WriteHistory(&history, r.Rules.History)
				}
				t.Errorf("%s: %+v %s\n%s", r.Verdict, r.Rules.First, r.Crash, history.String())
			}
			if r.ServedInAim == 0 {
				t.Error("nothing was served")
			}
		})
	}
}

// An attempt came when the kernel had it: what the lab is busy with itself is not held against the agent.
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
				t.Errorf("it came %v after it was sent", took)
			}
		}
		seen := len(l.attempts) > 0
		l.mu.Unlock()
		if seen {
			return
		}
		if time.Now().After(end) {
			t.Fatal("it never came")
		}
	}
}

// An agent that goes on sending to a zone it can't reach is seen to, by what waits and by connections that don't come
// up; without a fault between zones nothing is told of it.
func TestUnavoidedZoneIsReported(t *testing.T) {
	const cut = "[[fault]]\nat = \"500ms\"\nfor = \"2s\"\nwhat = \"zone-cut\"\nwho = \"zone zone=1\"\n"
	if r := runScenario(t, options(t, "honest", smallScenario+cut)); r.LeftAfter == nil || *r.LeftAfter >= 0 {
		t.Errorf("left after %v, want never", r.LeftAfter)
	}
	if r := runScenario(t, options(t, "honest", smallScenario)); r.LeftAfter != nil {
		t.Errorf("left after %v without a fault", *r.LeftAfter)
	}
}

// A lab that is late gives no verdict, whatever it saw.
func TestLateLabIsInconclusive(t *testing.T) {
	r := runScenario(t, options(t, "sends-twice", strings.Replace(smallScenario, "late_ms = 60000", "late_ms = 0.0001", 1)))
	if r.Verdict != Void || r.Rules.Broken == 0 {
		t.Errorf("%s with %d broken, want a void run of which some are", r.Verdict, r.Rules.Broken)
	}
}
