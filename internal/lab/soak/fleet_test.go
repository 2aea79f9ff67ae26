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

// A process that starts after its machine's clock was set back is the later one of its name all the same: the others take what
// it tells within the time that a fact takes to get round, not only once those of the process before are too old.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	const propagationBound = 1500 * time.Millisecond // a fact is told each second
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
		t.Fatalf("%v, %+v", err, r)
	}
	published, used := firstTimes(t, filepath.Join(dir, "n0"), "tell"), firstTimes(t, filepath.Join(dir, "n1"), "use")
	lastIncarnation := uint64(0) // the process that told last
	for incarnation, at := range published {
		if lastIncarnation == 0 || at > published[lastIncarnation] {
			lastIncarnation = incarnation
		}
	}
	if used[lastIncarnation] == 0 || len(published) < 2 {
		t.Fatalf("nothing that the process after the restart told was used: told %v, used %v", published, used)
	}
	if delay := time.Duration(used[lastIncarnation]-published[lastIncarnation]) * time.Microsecond; delay > propagationBound {
		t.Errorf("what the later process told was first used after %v", delay)
	}
}

// firstTimes are when an agent first wrote that it told, or used, what a process named n0 told, by its incarnation.
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
			continue // cut off by the kill
		}
		if line.What == what && line.Observer == "n0" && first[line.Incarnation] == 0 {
			first[line.Incarnation] = line.At
		}
	}
	return first
}
