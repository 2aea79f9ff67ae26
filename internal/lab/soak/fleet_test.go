package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/faultinject"
	"martenbeam/internal/lab/scenario"
	"martenbeam/internal/strictconfig"
)

// An agent that restarts after its wall clock was set back still counts as the newer incarnation of its name. The other agents
// must use the entries of the new process within propagationBound, before the entries of the previous process expire.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	const propagationBound = 1500 * time.Millisecond // an agent publishes each entry once a second
	program, err := faultinject.Build(t.Context(), "../../..", "./cmd/martenbeam", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := scenario.Default()
	s.Name, s.Duration, s.WarmUp = "set-back", strictconfig.Duration(10*time.Second), strictconfig.Duration(time.Second)
	s.Fleet.Agents, s.Fleet.Backends, s.Load.Rate, s.Load.Utilization = 3, 6, 60, 0.2
	s.Shared.Enabled, s.Shared.LatencyMatrix, s.Limits.MaxLabLatenessMs = true, true, 60000
	s.Faults = []scenario.Fault{
		{Kind: scenario.WallClock, Targets: "agents n=0", At: strictconfig.Duration(4 * time.Second), ClockStep: strictconfig.Duration(-time.Hour)},
		{Kind: scenario.Kill, Targets: "agents n=0", At: strictconfig.Duration(5 * time.Second), Restart: "kept"},
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	l, err := lab.New(lab.Options{Scenario: &s, Seed: 1, Agent: []string{program, "agent"}, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r, err := l.Run(t.Context())
	if err != nil || r.Verdict != lab.Passed {
		t.Fatalf("error %v, report %+v, want a passed run", err, r)
	}
	published, used := firstTimes(t, filepath.Join(dir, "n0"), "tell"), firstTimes(t, filepath.Join(dir, "n1"), "use")
	lastIncarnation := uint64(0) // the incarnation whose first publication is the latest
	for incarnation, at := range published {
		if lastIncarnation == 0 || at > published[lastIncarnation] {
			lastIncarnation = incarnation
		}
	}
	if used[lastIncarnation] == 0 || len(published) < 2 {
		t.Fatalf("no entry of the restarted process was used; by incarnation, first published %v, first used %v", published, used)
	}
	if delay := time.Duration(used[lastIncarnation]-published[lastIncarnation]) * time.Microsecond; delay > propagationBound {
		t.Errorf("another agent first used an entry of the restarted process %v after its first publication, want at most propagationBound", delay)
	}
}

// firstTimes returns, for each incarnation of n0, the time of the first event of the given kind about its entries in the fleet
// trace in dir, in microseconds.
func firstTimes(t *testing.T, dir, what string) map[uint64]int64 {
	t.Helper()
	f, err := os.Open(filepath.Join(dir, "fleet.trace"))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	first := map[uint64]int64{}
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var line struct {
			At             int64
			What, Observer string
			Incarnation    uint64
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue // the kill truncated the line
		}
		if line.What == what && line.Observer == "n0" && first[line.Incarnation] == 0 {
			first[line.Incarnation] = line.At
		}
	}
	return first
}
