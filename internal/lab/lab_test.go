package lab

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/scenario"
)

// patience is how long a test waits for what must come: far more than it takes anywhere.
const testTimeout = 30 * time.Second

// small is a fleet that any machine bears, with times short enough for a test and no bound on the lab's lateness:
// the verdicts asked for here don't hang on it.
const smallScenario = `
for = "3s"
settle = "100ms"
[fleet]
agents = 3
backends = 9
pod = 3
[load]
rate = 60
of = 0.05
impatient = 0.0
[world]
error_rate = [0.0, 0.0]
[lists]
notice_s = [0.05, 0.1]
add_s = [0.05, 0.1]
[limits]
late_ms = 60000
`

// slow has requests take long enough that faults fall on them.
const slowLinkScenario = `
for = "4s"
settle = "100ms"
[fleet]
agents = 3
backends = 9
pod = 3
[load]
rate = 40
of = 0.3
[lists]
notice_s = [0.05, 0.1]
silent_s = [0.5, 0.6]
add_s = [0.05, 0.1]
[limits]
late_ms = 60000
`

func readScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	file := filepath.Join(t.TempDir(), "test.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func options(t *testing.T, mode, text string) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Scenario: readScenario(t, text), Seed: 1, Agent: []string{self}, Hub: []string{self, "hub"}, Env: []string{"LAB_TEST_AGENT=" + mode}, Dir: t.TempDir()}
}

func runScenario(t *testing.T, o Options) *Report {
	t.Helper()
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

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

// A process that is told to end while it starts has not crashed, and is started once more.
func TestProcessCanBeEndedWhileItStarts(t *testing.T) {
	for _, what := range []string{"term", "kill"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			const fault = "\n[[fault]]\nat = %q\nwhat = %q\nwho = \"agents n=1\"\nrestart = \"kept\"\n"
			faults := fmt.Sprintf(fault, "500ms", "term") + fmt.Sprintf(fault, "1s", what)
			r := runScenario(t, options(t, "starts-late", smallScenario+faults))
			if r.Verdict == Crashed {
				t.Errorf("%s: %s", r.Verdict, r.Crash)
			}
		})
	}
}

// No client outlives its lab: the next may have the same addresses, and its agents would be sent what their clients never sent.
func TestClientsEndWithTheirLab(t *testing.T) {
	for _, mode := range []string{"never-answers", "refuses-what-ran", "hangs-up"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			l, err := New(options(t, mode, smallScenario))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			l.Ready = func(*Lab) { time.AfterFunc(time.Second, cancel) }
			_, err = l.Run(ctx)
			l.Close()
			if err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, a := range l.agents {
				if a.openRequests > 0 {
					t.Errorf("%d clients of agent %d are at work", a.openRequests, a.number)
				}
			}
		})
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

// A machine that falls silent and is back before discovery knows is never told to be gone.
func TestOutdatedChangeIsNotPublished(t *testing.T) {
	l, err := New(options(t, "real", smallScenario))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	h := l.hosts[0]
	l.mu.Lock()
	defer l.mu.Unlock()
	h.machine.Stop(0, model.Silent)
	l.discovery.learn(0, h, "gone", scenario.Range{5, 5})
	h.machine.Restart(time.Second)
	l.discovery.learn(time.Second, h, "ready", scenario.Range{0.5, 0.5})
	l.runPending(20 * time.Second)
	for _, m := range l.discovery.cachedList(l.agents[0], 20*time.Second).Servers {
		if m.ID == h.machine.ID && m.State == "ready" && m.Started > 0 {
			return
		}
	}
	t.Error("it is not in the list as ready again")
}

// The kernel's table is read as it is written.
func TestOpeningsAreReadFromKernelTable(t *testing.T) {
	table := `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 1
   1: 0203A57F:C350 0465A57F:0050 02 00000001:00000000 01:00000064 00000000     0        0 2
   2: 0203A57F:C351 0465A57F:0050 01 00000000:00000000 00:00000000 00000000     0        0 3
   3: 0203A57:C351 zz65A57F:0050 02
`
	got := openings([]byte(table))
	if len(got) != 1 || got[0].from.String() != "127.165.3.2:50000" || got[0].to.String() != "127.165.101.4:80" {
		t.Errorf("%v", got)
	}
}

// A lab that is late gives no verdict, whatever it saw.
func TestLateLabIsInconclusive(t *testing.T) {
	r := runScenario(t, options(t, "sends-twice", strings.Replace(smallScenario, "late_ms = 60000", "late_ms = 0.0001", 1)))
	if r.Verdict != Void || r.Rules.Broken == 0 {
		t.Errorf("%s with %d broken, want a void run of which some are", r.Verdict, r.Rules.Broken)
	}
}

// runLabUntilKilled is a lab in a process of its own. It prints its agents' process ids.
func runLabUntilKilled() {
	dir, err := os.MkdirTemp("", "lab-test-")
	if err != nil {
		panic(err)
	}
	s := scenario.Default()
	s.Fleet.Agents, s.Fleet.Backends, s.Load.Rate = 3, 3, 30
	self, err := os.Executable()
	if err != nil {
		panic(err)
	}
	l, err := New(Options{Scenario: &s, Seed: 1, Agent: []string{self}, Hub: []string{self, "hub"}, Env: []string{"LAB_TEST_AGENT=real"}, Dir: dir, Ready: func(l *Lab) {
		for _, a := range l.agents {
			fmt.Println(a.cmd.Process.Pid, dir)
		}
		l.agents[1].cmd.Process.Signal(syscall.SIGSTOP)
		fmt.Println("ready")
	}})
	if err != nil {
		panic(err)
	}
	_, _ = l.Run(context.Background()) // it is killed
}

// A lab that is killed outright leaves no process behind, not even a stopped one.
func TestKilledLabLeavesNoProcess(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), "LAB_TEST_AGENT=lab")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var pids []int
	dir := ""
	for lines := bufio.NewScanner(out); lines.Scan() && lines.Text() != "ready"; {
		pid := 0
		if _, err := fmt.Sscan(lines.Text(), &pid, &dir); err != nil {
			t.Fatal(err)
		}
		pids = append(pids, pid)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait() // killed
	if dir != "" {
		defer os.RemoveAll(dir)
	}
	if len(pids) != 3 {
		t.Fatalf("%d agents", len(pids))
	}
	for _, pid := range pids {
		for end := time.Now().Add(testTimeout); processExists(pid); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("process %d is still there", pid)
			}
		}
	}
}

// processExists reports whether a process runs; one that has ended and that nobody has waited for does not.
func processExists(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}

// The same seed gives the same arrivals and requests; what one agent draws shifts nothing of another's.
func TestSameSeedSameArrivals(t *testing.T) {
	draw := func(seed uint64, agents string) map[int][]string {
		o := options(t, "real", strings.Replace(smallScenario, "agents = 3", agents, 1))
		o.Seed = seed
		l, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		got := map[int][]string{}
		for _, a := range l.agents {
			at := time.Duration(0)
			for range 50 {
				at = l.nextArrival(a, at)
				p := l.newRequest(a, at)
				got[a.number] = append(got[a.number], fmt.Sprint(p.firstID, p.class, p.tenant, p.sid, p.work, p.idempotencyKey, string(p.body)))
			}
		}
		return got
	}
	one, again, other := draw(1, "agents = 3"), draw(1, "agents = 3"), draw(2, "agents = 3")
	if !reflect.DeepEqual(one, again) {
		t.Error("the same seed drew something else")
	}
	if reflect.DeepEqual(one, other) {
		t.Error("another seed drew the same")
	}
	if more := draw(1, "agents = 4"); !reflect.DeepEqual(one[0], more[0]) {
		t.Error("a fourth agent changed what the first is asked")
	}
}

// Two labs at once have addresses of their own.
func TestLabsUseSeparateAddresses(t *testing.T) {
	a, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	b, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if a.number == b.number || a.agentAddr(3) == b.agentAddr(3) || a.linkAddr(3) == a.agentAddr(3) {
		t.Errorf("blocks %d and %d", a.number, b.number)
	}
}

// Through a gate that is shut no connection comes up, and none refuses; open again, it takes them, and those who
// waited in its queue are reset.
func TestGateBlocksAndReopens(t *testing.T) {
	defer goleak.VerifyNone(t)
	g, err := newGate("127.0.0.1", func(c net.Conn) net.Conn { return c })
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn)
	go func() {
		defer close(accepted)
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func(limit time.Duration) error {
		c, err := net.DialTimeout("tcp4", g.Addr().String(), limit)
		if err == nil {
			defer c.Close()
			(<-accepted).Close()
		}
		return err
	}
	if err := dial(testTimeout); err != nil {
		t.Fatal(err)
	}
	g.setUnreachable(true)
	var late net.Error
	if err := dial(200 * time.Millisecond); !errors.As(err, &late) || !late.Timeout() {
		t.Fatalf("a shut gate: %v", err)
	}
	g.setUnreachable(false)
	if err := dial(testTimeout); err != nil {
		t.Fatal(err)
	}
	g.Close()
	for range accepted {
	}
}

// What needs more descriptors than there are is refused before anything starts.
func TestScenarioOverTheDescriptorLimitIsRejected(t *testing.T) {
	o := options(t, "real", strings.Replace(strings.Replace(smallScenario, "agents = 3", "agents = 2000", 1), "backends = 9", "backends = 4000", 1))
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "descriptors") {
		t.Errorf("error %v", err)
	}
}

// The platform's agent has nothing of the lab in it.
func TestPlatformAgentHasNoLab(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "martenbeam/cmd/agent").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strings.Fields(string(out)) {
		if strings.HasPrefix(p, "martenbeam/internal/lab") || strings.Contains(p, "/kong") || strings.Contains(p, "hdrhistogram") {
			t.Errorf("it is linked with %s", p)
		}
	}
	if !strings.Contains(string(out), "martenbeam/internal/agent") {
		t.Error("it is not linked with the agent")
	}
}

// A block in which somebody listens is passed over.
func TestBlockInUseIsNotClaimed(t *testing.T) {
	b, err := claimBlock()
	if err != nil {
		t.Fatal(err)
	}
	b.close()
	for _, left := range []func() (interface{ Close() error }, error){
		func() (interface{ Close() error }, error) { return net.Listen("tcp4", b.agentAddr(3)+":0") },
		func() (interface{ Close() error }, error) { return net.ListenPacket("udp4", b.agentAddr(2)+":0") },
	} {
		s, err := left()
		if err != nil {
			t.Fatal(err)
		}
		other, err := claimBlock()
		if err != nil {
			t.Fatal(err)
		}
		if other.number == b.number {
			t.Errorf("block %d is claimed, in which a socket is bound", b.number)
		}
		other.close()
		s.Close()
	}
}
