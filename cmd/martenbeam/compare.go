package main

// The lab compare command, which runs two versions of the agent with the same seeds.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/scenario"
)

// compareCmd is `martenbeam lab compare`.
type compareCmd struct {
	Scenario   string  `name:"scenario" arg:"" help:"A built-in scenario's name, or a .toml file."`
	AgentA     string  `name:"a" help:"The agent's program to compare with. Default: this program's agent, which makes sense with --apart." placeholder:"PATH"`
	Isolated   bool    `name:"apart" help:"The agents of A share nothing, those of B what the scenario says."`
	Hubs       int     `name:"hubs" help:"The agents of B hold to so many hubs, those of A are a flat fleet. 0: both as the scenario says." placeholder:"N"`
	AgentB     string  `name:"b" help:"The other one; the difference is B less A. Default: this program's agent." placeholder:"PATH"`
	Seeds      string  `name:"seeds" help:"Seeds, such as 1-5 or 1,4,9. Both versions play each." default:"1-5"`
	Parallel   int     `name:"parallel" help:"Pairs played at a time. More than the processors bear shows as void runs." default:"1"`
	ResultFile string  `name:"json" help:"Write pairs and differences to FILE." placeholder:"FILE"`
	Agents     int     `name:"agents" help:"Agents. 0: as the scenario says." placeholder:"N"`
	Backends   int     `name:"backends" help:"Backends. 0: as the scenario says." placeholder:"N"`
	Rate       float64 `name:"rate" help:"Requests a second. 0: as the scenario says." placeholder:"R"`
}

// parseSeeds parses a list of seeds and ranges of seeds, such as "1-5" or "1,4,9", and returns each seed once.
func parseSeeds(text string) (list []uint64, err error) {
	for _, item := range strings.Split(text, ",") {
		low, high, isRange := strings.Cut(item, "-")
		if !isRange {
			high = low
		}
		from, lowErr := strconv.ParseUint(low, 10, 64)
		to, highErr := strconv.ParseUint(high, 10, 64)
		const maxRange = 1000
		if lowErr != nil || highErr != nil || to < from || to-from >= maxRange {
			return nil, fmt.Errorf("--seeds: %q is neither a seed nor a range of at most 1000 seeds such as 1-5", item)
		}
		for s := from; s <= to; s++ {
			if !slices.Contains(list, s) {
				list = append(list, s)
			}
		}
	}
	return list, nil
}

// Run runs the scenario with each seed and both versions, prints the differences, and writes the pairs and differences to the --json
// file. If no pair has a valid result, it returns exitInconclusive.
func (c *compareCmd) Run(o *output) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return usageError{err}
	}
	if c.AgentA == "" && !c.Isolated && c.Hubs == 0 {
		return usageError{fmt.Errorf("--a: nothing to compare with: specify another agent program, or add --apart (the agents of A share nothing) or --hubs (A is a flat fleet)")}
	}
	if c.Parallel < 1 {
		return usageError{fmt.Errorf("--parallel: %d is less than 1", c.Parallel)}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pairs, err := c.runPairs(ctx, o, seeds)
	if err != nil {
		return err
	}
	differences := lab.Compare(pairs)
	if c.ResultFile != "" {
		for i := range pairs {
			pairs[i].A.Windows, pairs[i].B.Windows = nil, nil
		}
		if err := writeJSON(c.ResultFile, comparison{lab.Schema, c.Scenario, pairs, differencesJSON(differences)}); err != nil {
			return err
		}
	}
	printDifferences(o.stdout, differences)
	if len(differences) == 0 {
		fmt.Fprintln(o.stderr, "void: the lab itself was late in every pair, so there is no comparison")
		return exitCodeError(exitInconclusive)
	}
	return nil
}

// runPairs runs the pairs of all seeds, Parallel pairs at a time, and prints a line for each pair without an error. If several pairs
// fail, runPairs returns the error of the first failed pair in the order of seeds.
func (c *compareCmd) runPairs(ctx context.Context, o *output, seeds []uint64) ([]lab.Pair, error) {
	pairs := make([]lab.Pair, len(seeds))
	errs := make([]error, len(seeds))
	slots := make(chan struct{}, c.Parallel)
	var running sync.WaitGroup
	var printing sync.Mutex
	for i, seed := range seeds {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			pairs[i], errs[i] = c.runPair(ctx, o, seed)
			if errs[i] != nil {
				return
			}
			printing.Lock()
			defer printing.Unlock()
			a, b := pairs[i].A, pairs[i].B
			fmt.Fprintf(o.stdout, "seed %-3d  served in aim  a %.4f (%s)  b %.4f (%s)   worst 10 s  a %.4f  b %.4f\n", seed,
				a.ServedInObjective, a.Verdict, b.ServedInObjective, b.Verdict, a.Worst10s, b.Worst10s)
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return pairs, nil
}

// comparison is the content of the --json file.
type comparison struct {
	Schema      int               `json:"schema"`
	Scenario    string            `json:"scenario"`
	Pairs       []lab.Pair        `json:"pairs"`
	Differences []json.RawMessage `json:"differences"`
}

// differencesJSON returns the differences as JSON. The bounds of an infinite interval are null, since JSON has no infinity.
func differencesJSON(list []lab.Difference) (texts []json.RawMessage) {
	for _, diff := range list {
		low, high := &diff.Low, &diff.High
		if math.IsInf(*low, 0) {
			low, high = nil, nil
			diff.Low, diff.High = 0, 0
		}
		text, _ := json.Marshal(struct { // can't fail: the struct has only numbers and strings
			lab.Difference
			Low  *float64 `json:"low"`
			High *float64 `json:"high"`
		}{diff, low, high})
		texts = append(texts, text)
	}
	return texts
}

// runPair runs one seed with both versions. A runs first for odd seeds, B for even seeds.
func (c *compareCmd) runPair(ctx context.Context, o *output, seed uint64) (pair lab.Pair, err error) {
	pair.Seed = seed
	order := []string{"a", "b"}
	if seed%2 == 0 {
		order = []string{"b", "a"}
	}
	for _, side := range order {
		flags := fleetFlags{Agents: c.Agents, Backends: c.Backends, Rate: c.Rate, Hubs: -1,
			AgentBin: map[string]string{"a": c.AgentA, "b": c.AgentB}[side], Isolated: c.Isolated && side == "a"}
		if c.Hubs > 0 {
			flags.Hubs = map[string]int{"a": 0, "b": c.Hubs}[side]
		}
		spec, err := scenario.Read(c.Scenario)
		if err == nil {
			err = flags.apply(spec)
		}
		if err != nil {
			return pair, usageError{err}
		}
		report, err := flags.runScenario(ctx, o, spec, seed, nil, false)
		if err != nil {
			return pair, err
		}
		if ctx.Err() != nil {
			return pair, ctx.Err()
		}
		if side == "a" {
			pair.A = report
		} else {
			pair.B = report
		}
	}
	return pair, nil
}

// printDifferences prints a table of the differences with their confidence intervals and verdicts.
func printDifferences(w io.Writer, list []lab.Difference) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%-22s %10s %10s %12s   %-24s over %d seeds\n",
		"measure", "a", "b", "b less a", "95% interval", len(list[0].Each))
	for _, diff := range list {
		fmt.Fprintf(w, "%-22s %10.4f %10.4f %+12.4f   %+.4f to %+.4f   %s\n",
			diff.Measure, diff.A, diff.B, diff.Mean, diff.Low, diff.High, diff.Verdict)
	}
}
