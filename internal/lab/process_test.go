package lab

// Processes of a lab: their start, their end and their cleanup.

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"martenbeam/internal/lab/scenario"
)

// A process that a fault ends during its start does not count as crashed.
func TestProcessCanBeEndedWhileItStarts(t *testing.T) {
	for _, what := range []string{"term", "kill"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			const fault = "\n[[fault]]\nat = %q\nwhat = %q\nwho = \"agents n=1\"\nrestart = \"kept\"\n"
			faults := fmt.Sprintf(fault, "500ms", "term") + fmt.Sprintf(fault, "1s", what)
			r := runScenario(t, options(t, "starts-late", smallScenario+faults))
			if r.Verdict == Crashed {
				t.Errorf("verdict %s, want no crash: %s", r.Verdict, r.Crash)
			}
		})
	}
}

// No client outlives its lab. The next lab may use the same addresses, and a remaining client would send requests to its agents.
func TestClientsEndWithTheirLab(t *testing.T) {
	for _, mode := range []string{"never-answers", "refuses-what-ran", "hangs-up"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			l, err := New(options(t, mode, smallScenario))
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			l.OnReady = func(*Lab) { time.AfterFunc(time.Second, cancel) }
			_, err = l.Run(ctx)
			l.Close()
			if err != nil {
				t.Fatal(err)
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, a := range l.agents {
				if a.openRequests > 0 {
					t.Errorf("%d requests of clients of agent %d are open after Close, want none", a.openRequests, a.number)
				}
			}
		})
	}
}

// runLabUntilKilled runs a lab in a separate process, pauses one agent, and prints its agents' process ids.
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
	l, err := New(Options{Scenario: &s, Seed: 1, Agent: []string{self}, Hub: []string{self, "hub"}, Env: []string{"LAB_TEST_AGENT=real"}, Dir: dir, OnReady: func(l *Lab) {
		for _, a := range l.agents {
			fmt.Println(a.cmd.Process.Pid, dir)
		}
		if err := l.agents[1].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			panic(err)
		}
		fmt.Println("ready")
	}})
	if err != nil {
		panic(err)
	}
	_, _ = l.Run(context.Background()) // the test kills this process during the run
}

// A lab that gets SIGKILL leaves no process behind, not even a paused one.
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
	_ = cmd.Wait() // returns an error, since the process was killed
	if dir != "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if len(pids) != 3 {
		t.Fatalf("the lab printed %d process ids, want those of 3 agents", len(pids))
	}
	for _, pid := range pids {
		for end := time.Now().Add(testTimeout); processExists(pid); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("process %d still runs after its lab was killed", pid)
			}
		}
	}
}
