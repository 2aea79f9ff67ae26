package lab

// Scenarios and helpers of the lab's tests.

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/lab/scenario"
)

// testTimeout is how long a test waits for an expected event, far longer than the event takes on any machine.
const testTimeout = 30 * time.Second

// smallScenario is a fleet small enough for any machine, with times short enough for a test. Its bound on the lab's lateness is
// one minute, so that a slow machine does not make a run inconclusive.
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

// slowLinkScenario has requests that take long enough for faults to occur while they are in progress.
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

// processExists reports whether a process runs. A zombie, which has ended but was not waited for, does not run.
func processExists(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X")
}
