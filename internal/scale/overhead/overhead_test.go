package overhead

// The measurement, small by default and full with -scale.full, and tests of its parts.

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
	full       = flag.Bool("scale.full", false, "make full runs and write the tables; otherwise make one small run")
	runs       = flag.Int("scale.runs", 3, "number of full runs")
	appendRuns = flag.Bool("scale.append", false, "add the runs to those in the file; with -scale.runs=0, only rewrite the tables")
	outFile    = flag.String("scale.out", "../../../docs/capacity/callway", "path of the results of full runs, without .json and .md")
	traceDir   = flag.String("scale.trace", "", "directory for traces of agents; empty: no traces")
)

// TestMain runs a traced agent instead of the tests if traceDirEnv is set.
func TestMain(m *testing.M) {
	if dir := os.Getenv(traceDirEnv); dir != "" {
		if err := ServeTraced(os.Args[len(os.Args)-1], dir); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// newBench builds the program and starts backends for one test.
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

// measurement describes what a run measures.
type measurement struct {
	command      string // the command that makes the measurement
	windows      []Window
	idleSizes    []int         // list sizes of agents without calls
	settle, idle time.Duration // times for which agents without calls settle, and are then measured
}

// fullMeasurement returns the measurement for -scale.full.
func fullMeasurement() measurement {
	return measurement{"go test ./internal/scale/overhead -run Table -scale.full -timeout 20m",
		FullWindows(), []int{8, 60, 100, 1800}, time.Second, 7 * time.Second}
}

// smallMeasurement returns the measurement for a run without -scale.full.
func smallMeasurement() measurement {
	calls := Workload{ListSize: 8, Rate: 72, Tick: defaultTick}
	changes := calls
	changes.ListChanges = "entries"
	return measurement{"go test ./internal/scale/overhead", []Window{
		{Name: "calls", Length: time.Second, Workloads: []Workload{calls}},
		{Name: "changes", Length: 1200 * time.Millisecond, Workloads: []Workload{changes}},
	}, []int{8}, 0, 100 * time.Millisecond}
}

// All calls succeed, through agents and directly, also while the list changes, and the saved tables match the saved rows.
// With -scale.full the test makes the full measurement.
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
		t.Errorf("the saved tables differ from the tables of the saved runs, or lack rows:\n%s", got)
	}
}

// measureRun makes one run of all windows, and measures agents without calls at the same time. After each window it saves
// the rows with the earlier runs, so that the rows of an interrupted run are kept.
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

// checkRow fails the test if a row has failed or missing calls.
func checkRow(t *testing.T, r Row) {
	t.Helper()
	if r.Failed+r.FailedDirect > 0 {
		t.Errorf("%+v: %d calls through the agent and %d direct calls failed: %s", r.Workload, r.Failed, r.FailedDirect, r.FirstError)
	}
	if r.Through.N == 0 || r.Direct.N == 0 || r.Window == "changes" && (r.Changes == 0 || r.OtherTimes.N == 0) {
		t.Errorf("%+v: calls are missing: got %d through the agent, %d direct, %d after one of %d changes",
			r.Workload, r.Through.N, r.Direct.N, r.AfterChange.N, r.Changes)
	}
}

// Each of 1,800 backends responds at its own address.
func TestEachBackendRespondsAtItsOwnAddress(t *testing.T) {
	b, err := StartBackends(1800)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	client, seen := newClient(), map[string]bool{}
	defer client.CloseIdleConnections()
	for i, addr := range b.Addrs {
		if _, got, err := call(client, addr, sinceBase()); err != nil || got != i || seen[addr] {
			t.Fatalf("backend %d at %s: got a response from backend %d, error %v; want the same backend and an unused address",
				i, addr, got, err)
		}
		seen[addr] = true
	}
}

// With -scale.trace, an agent with a long list runs under the Go runtime's tracer and profiler.
func TestTraceOfAnAgentWithALongList(t *testing.T) {
	if *traceDir == "" {
		t.Skip("-scale.trace is not set")
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
