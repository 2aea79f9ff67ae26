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
	seeds       = flag.Uint64("soak.seeds", 4, "how many seeds are played; CI plays a few")
	parallelism = flag.Int("soak.beside", 2, "how many runs are played side by side")
	root        = flag.String("soak.root", "../../..", "the module whose program is played")
	repeatFor   = flag.Duration("soak.for", 0, "play each seed for so long, its faults again and again; 0: once")
	tablePath   = flag.String("soak.out", "", "a file for a table of the runs")
)

// Agents keep every rule through what seeds draw. A seed that fails is played again by its number.
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

// runSeed plays one seed, and returns its row of the table.
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
		t.Errorf("%s: %s: %+v %s\n%s", Faults(s), r.Verdict, r.Rules.First, r.Crash, history.String())
		logs, _ := filepath.Glob(filepath.Join(dir, "n*", "log"))
		for _, name := range logs {
			text, _ := os.ReadFile(name)
			t.Logf("%s:\n%s", name, text[max(0, len(text)-6000):])
		}
	}
	return fmt.Sprintf("| %d | %d ms | %s | %d | %s, %d lost |\n", seed, longest.Milliseconds(), Faults(s), r.Offered, r.Verdict, r.Lost)
}
