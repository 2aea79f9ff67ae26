package overhead

// The measurement itself, small by default and in full with -scale.full, and tests of its parts.

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	full       = flag.Bool("scale.full", false, "make full runs and write the tables; else a small run")
	runs       = flag.Int("scale.runs", 3, "number of full runs")
	appendRuns = flag.Bool("scale.append", false, "add the runs to those of the file; with no runs the tables are written anew")
	outFile    = flag.String("scale.out", "../../../docs/capacity/callway", "where full runs are written, without .json and .md")
	traceDir   = flag.String("scale.trace", "", "a folder for traces of agents; none are made without it")
)

// TestMain makes the test binary run as a traced agent if traceDirEnv is set.
func TestMain(m *testing.M) {
	if dir := os.Getenv(traceDirEnv); dir != "" {
		if err := ServeTraced(os.Args[len(os.Args)-1], dir); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// newBench builds the program and starts backends, for one test.
func newBench(t *testing.T, backends int) *Bench {
	t.Helper()
	backendSet, err := StartBackends(backends)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(backendSet.Close)
	dir := t.TempDir()
	command, err := BuildAgent(dir)
	if err != nil {
		t.Fatal(err)
	}
	return &Bench{Dir: dir, Command: command, Backends: backendSet, Seed: uint64(time.Now().UnixNano())}
}

// measurement is what a run measures.
type measurement struct {
	command      string // that makes it
	windows      []Window
	idleSizes    []int         // list sizes of agents without calls
	settle, idle time.Duration // how long these settle, and are measured for
}

// fullMeasurement is what -scale.full measures.
func fullMeasurement() measurement {
	return measurement{"go test ./internal/scale/overhead -run Table -scale.full -timeout 20m",
		FullWindows(), []int{8, 60, 100, 1800}, time.Second, 7 * time.Second}
}

// smallMeasurement is a small one, for a test.
func smallMeasurement() measurement {
	calls := Workload{ListSize: 8, Rate: 72, Tick: defaultTick}
	changes := calls
	changes.ListChanges = "entries"
	return measurement{"go test ./internal/scale/overhead", []Window{
		{Name: "calls", Length: time.Second, Workloads: []Workload{calls}},
		{Name: "changes", Length: 1200 * time.Millisecond, Workloads: []Workload{changes}},
	}, []int{8}, 0, 100 * time.Millisecond}
}

// All calls are answered, through agents and directly, also while the list changes, and the saved tables are those of the
// saved rows. With -scale.full it makes the full measurement.
func TestTableOfCallsThroughAgentsAndDirectly(t *testing.T) {
	measured := fullMeasurement()
	if !*full {
		*runs, measured = 1, smallMeasurement()
		*outFile = filepath.Join(t.TempDir(), "callway")
	}
	maxListSize := 0
	for _, w := range measured.windows {
		maxListSize = max(maxListSize, w.maxListSize())
	}
	bench := newBench(t, maxListSize)
	result := &Result{}
	if *appendRuns {
		var err error
		if result, err = Load(*outFile + ".json"); err != nil {
			t.Fatal(err)
		}
	}
	result.How = measured.command
	for range *runs {
		bench.Seed++
		result.Runs = append(result.Runs, measureRun(t, bench, measured, result))
	}
	if err := result.Save(*outFile); err != nil {
		t.Fatal(err)
	}
	saved, err := Load(*outFile + ".json")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(*outFile + ".md")
	if err != nil {
		t.Fatal(err)
	}
	got := saved.Markdown()
	if got != string(text) || strings.Count(got, "\n| 5ms | 72 |") < 3 || !strings.Contains(got, "\n| 8 | ") {
		t.Errorf("the tables are not those of the saved runs:\n%s", got)
	}
}

// measureRun makes one run of all windows; agents without calls run beside the first of them. After each window it saves
// the rows with the earlier runs, so that a run that is cut off is kept.
func measureRun(t *testing.T, bench *Bench, measured measurement, earlier *Result) Run {
	t.Helper()
	run := Run{At: time.Now().UTC().Truncate(time.Second)}
	stolen, total, err := StolenTime()
	if err != nil {
		t.Fatal(err)
	}
	var idle sync.WaitGroup
	var idleRows []IdleRow
	var idleErr error
	idle.Go(func() {
		idleRows, idleErr = bench.Idle(t.Context(), measured.idleSizes, measured.settle, measured.idle)
	})
	for _, w := range measured.windows {
		rows, err := bench.Run(t.Context(), w)
		if err != nil {
			idle.Wait()
			t.Fatal(err)
		}
		for _, r := range rows {
			checkRow(t, r)
		}
		run.Rows = append(run.Rows, rows...)
		if err := (&Result{How: earlier.How, Runs: append(slices.Clone(earlier.Runs), run)}).Save(*outFile); err != nil {
			idle.Wait()
			t.Fatal(err)
		}
	}
	if idle.Wait(); idleErr != nil {
		t.Fatal(idleErr)
	}
	run.Idle = idleRows
	if stolenAfter, totalAfter, err := StolenTime(); err != nil {
		t.Fatal(err)
	} else if totalAfter > total {
		run.Stolen = (stolenAfter - stolen) / (totalAfter - total)
	}
	return run
}

// checkRow fails the test on a row with failed or missing calls.
func checkRow(t *testing.T, r Row) {
	t.Helper()
	if r.Failed+r.FailedDirect > 0 {
		t.Errorf("%+v: %d failed through the agent, %d directly: %s", r.Workload, r.Failed, r.FailedDirect, r.FirstError)
	}
	if r.Through.N == 0 || r.Direct.N == 0 || r.Window == "changes" && (r.Changes == 0 || r.OtherTimes.N == 0) {
		t.Errorf("%+v: calls are missing: %d, %d, %d after %d changes",
			r.Workload, r.Through.N, r.Direct.N, r.AfterChange.N, r.Changes)
	}
}

// Every entry of a list of 1,800 can be called at an address of its own.
func TestEveryEntryOfALongListAnswers(t *testing.T) {
	b, err := StartBackends(1800)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	client, seen := newClient(), map[string]bool{}
	defer client.CloseIdleConnections()
	for i, addr := range b.Addrs {
		if _, got, err := call(client, addr, sinceBase()); err != nil || got != i || seen[addr] {
			t.Fatalf("entry %d at %s: backend %d, %v", i, addr, got, err)
		}
		seen[addr] = true
	}
}

// With -scale.trace: an agent with a long list under the runtime's instruments.
func TestTraceOfAnAgentWithALongList(t *testing.T) {
	if *traceDir == "" {
		t.Skip("no folder for traces was named")
	}
	b := newBench(t, 1800)
	for _, c := range []Workload{
		{ListSize: 1800, Rate: 72, Tick: defaultTick},
		{ListSize: 1800, Rate: 72, Tick: "0s"},
		{ListSize: 1800, Rate: 1000, Tick: "0s"},
	} {
		r, err := b.Trace(t.Context(), c, 2*time.Second, *traceDir)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v: direct %+v, through %+v, slowest %+v", c, r.Direct, r.Through, r.Slowest)
	}
}
