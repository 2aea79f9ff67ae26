package main

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"martenbeam/internal/lab"
)

// TestMain runs the program itself if a test has started this binary as the program, or the program has started
// this binary as an agent.
func TestMain(m *testing.M) {
	if os.Getenv("MARTENBEAM_TEST") == "1" || len(os.Args) == 2 && os.Args[1] == "agent" {
		main()
	}
	os.Exit(m.Run())
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "test.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Invalid arguments and files cause exit code 2 and a one-line error. Help, lists, printed defaults and valid settings cause exit
// code 0.
func TestExitCodesAndMessages(t *testing.T) {
	invalidFile := writeTempFile(t, "for = \"-3s\"\n")
	settingsFile := writeTempFile(t, "version = 3\nattempts.most = 4\n")
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"--help", 0, "martenbeam lab run zone-loss"},
		{"lab run --help", 0, "--seed"},
		{"lab list", 0, "zone-cut"},
		{"config print", 0, "[limits]"},
		{"storm", exitUsage, "unexpected argument storm"},
		{"lab run storm", exitUsage, `no scenario is called "storm"`},
		{"lab run " + invalidFile, exitUsage, invalidFile + ":1: for: -3s is out of range: must be above 0 and at most"},
		{"lab run calm --agents=-4", exitUsage, "fleet.agents: -4"},
		{"lab run calm --agents 2000 --backends 4000", exitUsage, "descriptors"},
		{"lab run calm --agent-bin /nowhere", exitUsage, "/nowhere is not an executable file"},
		{"lab compare calm --a /nowhere --seeds 5-1", exitUsage, `"5-1" is neither`},
		{"lab run calm --hubs 9", exitUsage, "shared.hubs: 9 hubs"},
		{"lab run calm --apart --hubs 2", exitUsage, "--apart and --hubs can't be combined"},
		{"lab compare calm", exitUsage, "or --hubs (A is a flat fleet)"},
		{"lab trace /dev/null 12", exitUsage, "contains no request with id 12"},
		{"config check", exitUsage, "specify a FILE"},
		{"config check --settings " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"config check --settings " + settingsFile, 0, settingsFile + ": version 3 can be used"},
		{"config check --settings " + settingsFile + " --with " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"config print --hub", 0, "admit_rate"},
		{"config check --hub " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"hub --config " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"hub", exitUsage, "--config"},
		{"config check " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"agent --config " + invalidFile, exitUsage, invalidFile + ":1: for: unknown key"},
		{"agent --log-level loud", exitUsage, "--log-level"},
	} {
		var out, errs bytes.Buffer
		code := run(strings.Fields(c.args), &out, &errs)
		text := out.String() + errs.String()
		if code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%s: exit %d, want %d with %q:\n%s", c.args, code, c.code, c.want, text)
		}
		if code == exitUsage && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%s: want one line on stderr, got:\n%s", c.args, errs.String())
		}
	}
}

// A run that violates only a rule on shared state ends with exit code 3 and prints the violation.
func TestViolationOfSharedStateIsReported(t *testing.T) {
	var out, errs bytes.Buffer
	r := &lab.Report{Verdict: lab.Violated, Rules: lab.Rules{Shared: "agent 2 went back from settings 3 to 2 at 4s"}}
	if err := verdictError(&output{&out, &errs}, r); err != exitCodeError(exitViolated) ||
		!strings.Contains(errs.String(), r.Rules.Shared) {
		t.Errorf("error %v, want exit code 3 and the violation on stderr; stderr %s", err, errs.String())
	}
}

// The up command serves a request like the one in its printed curl command, and exits with status 0 on an interrupt.
func TestUpServesRequestsUntilInterrupted(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, "up", "--agents", "2", "--backends", "3", "--rate", "20")
	cmd.Env = append(os.Environ(), "MARTENBEAM_TEST=1")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	lines := bufio.NewScanner(out)
	url := ""
	for url == "" && lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), "http://"); ok {
			url, _, _ = strings.Cut("http://"+rest, " ")
		}
	}
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("done"))
	if err != nil {
		t.Fatalf("request to the address that up prints: %v\nstderr of up:\n%s", err, stderr.String())
	}
	for name, value := range map[string]string{"X-Trace-Id": "hand-1", "Idempotency-Key": "hand-1",
		"X-Customer": "state-post", "Cookie": "sid=stop-1"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "served hand-1 by s-") {
		t.Errorf("status %d, body %q, error %v, want 200 and a body that starts with served hand-1 by s-", resp.StatusCode, body, err)
	}
	if err := cmd.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	rest := ""
	for lines.Scan() {
		rest += lines.Text() + "\n"
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(rest, "served in aim") {
		t.Errorf("up ended with error %v, want status 0 and a report on stdout; stdout and stderr:\n%s%s", err, rest, stderr.String())
	}
}

// The JSON report of a run has all keys, and lab trace prints the history of a request from the events file of the run.
func TestTraceFollowsARequestOfARun(t *testing.T) {
	dir := t.TempDir()
	scenarioFile := writeTempFile(t, "for = \"2s\"\nsettle = \"0s\"\n[fleet]\nagents = 2\nbackends = 3\n[load]\nrate = 20\nof = 0.1\n[limits]\nlate_ms = 60000\n")
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	events, report := filepath.Join(dir, "events"), filepath.Join(dir, "report.json")
	cmd := exec.Command(self, "lab", "run", scenarioFile, "--json", report, "--events", events, "-q")
	cmd.Env = append(os.Environ(), "MARTENBEAM_TEST=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text, err := os.ReadFile(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"schema", "scenario", "seed", "commit", "agents", "backends", "offered", "served_in_aim",
		"refused", "failed", "lost",
		"attempts_per_request", "cross_zone_share", "worst_10s", "latency_ms", "rules", "crashes", "lab_late_ms", "agent", "windows"} {
		if !strings.Contains(string(text), "\n \""+key+"\": ") {
			t.Errorf("the report has no key %s", key)
		}
	}
	text, err = os.ReadFile(events)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), `"id":"`)
	id, _, _ := strings.Cut(rest, `"`)
	var out, errs bytes.Buffer
	if code := run([]string{"lab", "trace", events, id}, &out, &errs); code != 0 ||
		!strings.Contains(out.String(), "attempt 0 arrives from agent") {
		t.Errorf("lab trace: exit %d, want 0 and the arrival of attempt 0; stdout and stderr:\n%s%s", code, out.String(), errs.String())
	}
}
