package main

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

type compareCmd struct {
	Scenario string  `name:"scenario" arg:"" help:"A built-in scenario's name, or a .toml file."`
	A        string  `name:"a" help:"The agent's program to compare with. Default: this program's agent, which makes sense with --apart." placeholder:"PATH"`
	Apart    bool    `name:"apart" help:"The agents of A share nothing, those of B what the scenario says."`
	Hubs     int     `name:"hubs" help:"The agents of B hold to so many hubs, those of A are a flat fleet. 0: both as the scenario says." placeholder:"N"`
	B        string  `name:"b" help:"The other one; the difference is B less A. Default: this program's agent." placeholder:"PATH"`
	Seeds    string  `name:"seeds" help:"Seeds, such as 1-5 or 1,4,9. Both versions play each." default:"1-5"`
	Parallel int     `name:"parallel" help:"Pairs played at a time. More than the processors bear shows as void runs." default:"1"`
	JSON     string  `name:"json" help:"Write pairs and differences to FILE." placeholder:"FILE"`
	Agents   int     `name:"agents" help:"Agents. 0: as the scenario says." placeholder:"N"`
	Backends int     `name:"backends" help:"Backends. 0: as the scenario says." placeholder:"N"`
	Rate     float64 `name:"rate" help:"Requests a second. 0: as the scenario says." placeholder:"R"`
}

// seeds reads "1-5" or "1,4,9".
func seeds(text string) (list []uint64, err error) {
	for _, part := range strings.Split(text, ",") {
		low, high, isRange := strings.Cut(part, "-")
		if !isRange {
			high = low
		}
		from, err1 := strconv.ParseUint(low, 10, 64)
		to, err2 := strconv.ParseUint(high, 10, 64)
		const most = 1000
		if err1 != nil || err2 != nil || to < from || to-from >= most {
			return nil, fmt.Errorf("--seeds: %q is neither a seed nor a range such as 1-5", part)
		}
		for s := from; s <= to; s++ {
			if !slices.Contains(list, s) {
				list = append(list, s)
			}
		}
	}
	return list, nil
}

func (c *compareCmd) Run(o *output) error {
	list, err := seeds(c.Seeds)
	if err != nil {
		return usageError{err}
	}
	if c.A == "" && !c.Apart && c.Hubs == 0 {
		return usageError{fmt.Errorf("--a: name a program to compare with, or --apart for this one whose agents share nothing, or --hubs for a flat fleet")}
	}
	if c.Parallel < 1 {
		return usageError{fmt.Errorf("--parallel: %d is not at least 1", c.Parallel)}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	pairs := make([]lab.Pair, len(list))
	errs := make([]error, len(list))
	free := make(chan struct{}, c.Parallel)
	var playing sync.WaitGroup
	var printing sync.Mutex
	for i, seed := range list {
		free <- struct{}{}
		playing.Go(func() {
			defer func() { <-free }()
			pairs[i], errs[i] = c.pair(ctx, o, seed)
			if errs[i] != nil {
				return
			}
			printing.Lock()
			defer printing.Unlock()
			a, b := pairs[i].A, pairs[i].B
			fmt.Fprintf(o.stdout, "seed %-3d  served in aim  a %.4f (%s)  b %.4f (%s)   worst 10 s  a %.4f  b %.4f\n", seed,
				a.ServedInAim, a.Verdict, b.ServedInAim, b.Verdict, a.Worst10s, b.Worst10s)
		})
	}
	playing.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	differences := lab.Compare(pairs)
	if c.JSON != "" {
		for i := range pairs {
			pairs[i].A.Windows, pairs[i].B.Windows = nil, nil
		}
		if err := writeJSON(c.JSON, comparison{lab.Schema, c.Scenario, pairs, finite(differences)}); err != nil {
			return err
		}
	}
	printDifferences(o.stdout, differences)
	if len(differences) == 0 {
		fmt.Fprintln(o.stderr, "void: the lab itself was late in every pair")
		return codeError(exitVoid)
	}
	return nil
}

type comparison struct {
	Schema      int               `json:"schema"`
	Scenario    string            `json:"scenario"`
	Pairs       []lab.Pair        `json:"pairs"`
	Differences []json.RawMessage `json:"differences"`
}

// finite writes differences with null for a bound that is open: JSON has no infinity.
func finite(list []lab.Difference) (texts []json.RawMessage) {
	for _, d := range list {
		low, high := &d.Low, &d.High
		if math.IsInf(*low, 0) {
			low, high = nil, nil
			d.Low, d.High = 0, 0
		}
		text, _ := json.Marshal(struct { // it holds nothing that can't be written
			lab.Difference
			Low  *float64 `json:"low"`
			High *float64 `json:"high"`
		}{d, low, high})
		texts = append(texts, text)
	}
	return texts
}

// pair plays one seed with both versions, in an order that changes with the seed.
func (c *compareCmd) pair(ctx context.Context, o *output, seed uint64) (p lab.Pair, err error) {
	p.Seed = seed
	order := []string{"a", "b"}
	if seed%2 == 0 {
		order = []string{"b", "a"}
	}
	for _, side := range order {
		f := fleetFlags{Agents: c.Agents, Backends: c.Backends, Rate: c.Rate, AgentBin: map[string]string{"a": c.A, "b": c.B}[side],
			Apart: c.Apart && side == "a", Hubs: -1}
		if c.Hubs > 0 {
			f.Hubs = map[string]int{"a": 0, "b": c.Hubs}[side]
		}
		s, err := scenario.Read(c.Scenario)
		if err == nil {
			err = f.apply(s)
		}
		if err != nil {
			return p, usageError{err}
		}
		r, err := f.play(ctx, o, s, seed, nil, false)
		if err != nil {
			return p, err
		}
		if ctx.Err() != nil {
			return p, ctx.Err()
		}
		if side == "a" {
			p.A = r
		} else {
			p.B = r
		}
	}
	return p, nil
}

func printDifferences(w io.Writer, list []lab.Difference) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%-22s %10s %10s %12s   %-24s over %d seeds\n", "measure", "a", "b", "b less a", "95% interval", len(list[0].Each))
	for _, d := range list {
		fmt.Fprintf(w, "%-22s %10.4f %10.4f %+12.4f   %+.4f to %+.4f   %s\n", d.Measure, d.A, d.B, d.Mean, d.Low, d.High, d.Verdict)
	}
}
