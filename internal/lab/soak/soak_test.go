package soak

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/faultinject"
)

var (
	from        = flag.Uint64("soak.from", 1, "the first seed")
	seeds       = flag.Uint64("soak.seeds", 4, "number of seeds; CI runs a few")
	parallelism = flag.Int("soak.beside", 2, "number of runs in parallel")
	root        = flag.String("soak.root", "../../..", "root of the module whose agent is built and run")
	repeatFor   = flag.Duration("soak.for", 0, "duration of the run of each seed, with its faults repeated; 0: one pass")
	tablePath   = flag.String("soak.out", "", "file for a table of the runs")
)

// Agents keep every rule in the generated scenarios. -soak.from=N -soak.seeds=1 runs the scenario of seed N again.
func TestSoak(t *testing.T) {
	program, err := faultinject.Build(t.Context(), *root, "./cmd/agent", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	rows := map[uint64]string{}
	slots := make(chan struct{}, *parallelism)
	t.Run("seeds", func(t *testing.T) {
		for seed := *from; seed < *from+*seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				row := runSeed(t, program, seed)
				mu.Lock()
				defer mu.Unlock()
				rows[seed] = row
			})
		}
	})
	if *tablePath == "" {
		return
	}
	var table bytes.Buffer
	table.WriteString("| seed | longest deadline | drawn faults | requests | verdict |\n| --- | --- | --- | --- | --- |\n")
	for seed := *from; seed < *from+*seeds; seed++ {
		table.WriteString(rows[seed])
	}
	if err := os.WriteFile(*tablePath, table.Bytes(), 0o600); err != nil {
		t.Error(err)
	}
}

// runSeed runs the scenario of one seed, and returns its row of the table.
func runSeed(t *testing.T, program string, seed uint64) string {
	s, err := Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	if *repeatFor > 0 {
		s.Repeat(*repeatFor)
	}
	dir := t.TempDir()
	l, err := lab.New(lab.Options{Scenario: s, Seed: seed, Agent: []string{program}, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	longest := l.MaxDeadline()
	r, err := l.Run(t.Context())
	if err != nil {
		t.Fatalf("%s: %v", Faults(s), err)
	}
	if r.Verdict != lab.Passed {
		var history bytes.Buffer
		if r.Rules.History != nil {
			lab.WriteHistory(&history, r.Rules.History)
		}
		t.Errorf("%s: verdict %s, want a passed run: %+v %s (lab late by %.1f ms at p99, %.1f ms allowed)\n%s", Faults(s), r.Verdict,
			r.Rules.First, r.Crash, r.LabLateness.P99, s.Limits.MaxLabLatenessMs, history.String())
		logs, _ := filepath.Glob(filepath.Join(dir, "n*", "log"))
		for _, name := range logs {
			text, _ := os.ReadFile(name)
			t.Logf("%s:\n%s", name, text[max(0, len(text)-6000):])
		}
	}
	return fmt.Sprintf("| %d | %d ms | %s | %d | %s, %d lost |\n", seed, longest.Milliseconds(), Faults(s), r.Offered, r.Verdict, r.Lost)
}
