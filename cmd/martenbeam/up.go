package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/scenario"
)

type upCmd struct {
	Agents   int           `name:"agents" help:"Agents, each a process." default:"4" placeholder:"N"`
	Backends int           `name:"backends" help:"Backends, over three zones." default:"12" placeholder:"N"`
	Rate     float64       `name:"rate" help:"Requests a second over all agents." default:"200" placeholder:"R"`
	Duration time.Duration `name:"for" help:"How long, such as 30s. 0: until Ctrl-C." placeholder:"D"`
	Seed     uint64        `name:"seed" help:"Decides arrivals and draws." default:"1"`
	Scenario string        `name:"play" help:"Play a scenario's faults, over and over. Default: none." placeholder:"NAME"`
	AgentBin string        `name:"agent-bin" help:"Another agent's program." placeholder:"PATH"`
}

func (c *upCmd) Run(o *output) error {
	name := c.Scenario
	if name == "" {
		name = "calm"
	}
	spec, err := scenario.Read(name)
	if err != nil {
		return usageError{err}
	}
	flags := fleetFlags{Agents: c.Agents, Backends: c.Backends, Rate: c.Rate, Hubs: -1, AgentBin: c.AgentBin}
	if err := flags.apply(spec); err != nil {
		return usageError{err}
	}
	spec.Repeat(c.Duration)
	agent, err := flags.agentCommand()
	if err != nil {
		return usageError{err}
	}
	hub, err := flags.hubCommand()
	if err != nil {
		return err
	}
	dir, remove, err := flags.workDir()
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	table := newProgressTable(o.stdout, isTerminal(o.stdout))
	fleet, err := lab.New(lab.Options{Scenario: spec, Seed: c.Seed, Agent: agent, Hub: hub, Dir: dir, Visitors: true, Second: table.update,
		Ready: func(fleet *lab.Lab) {
			table.header(fmt.Sprintf(`%d agents, %d backends in %d zones, %.0f requests a second. Ctrl-C ends it. Send one by hand:

  curl -i -X POST http://%s/stop-update -H "X-Trace-Id: hand-$RANDOM$RANDOM" -H "Idempotency-Key: hand-$RANDOM" \
       -H 'X-Customer: state-post' -H 'X-Expires-In: 2.0' -H 'Cookie: sid=stop-1' -d 'done'
`, c.Agents, c.Backends, len(spec.Fleet.Zones), c.Rate, fleet.Addr(0)))
		}})
	if err != nil {
		return usageError{err}
	}
	defer fleet.Close()
	report, err := fleet.Run(ctx)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil // ended before everyone was there
	}
	if errors.Is(err, lab.ErrCrash) {
		fmt.Fprintln(o.stderr, err)
		return exitCodeError(exitCrashed)
	}
	if err != nil {
		return err
	}
	printReport(o.stdout, report)
	return verdictError(o, report)
}

// isTerminal reports whether a writer is one.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressTable shows a line a second, or, on a terminal, a picture that stays in place.
type progressTable struct {
	mu          sync.Mutex
	w           io.Writer
	inPlace     bool
	drawnLines  int // of the picture
	printedRows int
}

func newProgressTable(w io.Writer, inPlace bool) *progressTable {
	return &progressTable{w: w, inPlace: inPlace}
}

func (t *progressTable) header(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintln(t.w, text)
}

const progressHeading = "  time  agents backends  offered/s  in aim  refused  failed    p50    p99  attempts/r  used  broken  faults"

func progressRow(view lab.View) string {
	window := view.Last
	ratio := func(dividend, divisor float64) float64 {
		if divisor == 0 {
			return 0
		}
		return dividend / divisor
	}
	n := float64(window.Offered)
	return fmt.Sprintf("%5.0fs  %6d %8d  %9d  %5.1f%%  %6.1f%%  %5.1f%%  %3.0f ms %4.0f ms  %10.2f  %3.0f%%  %6d  %s", view.At.Seconds(), view.Agents, view.Backends,
		window.Offered, 100*ratio(window.WeightInObjective, window.Weight), 100*ratio(float64(window.Refused), n), 100*ratio(float64(window.Failed+window.Lost), n), window.P50, window.P99,
		ratio(float64(window.Attempts), n), 100*window.Used, view.Broken, strings.Join(view.Faults, ", "))
}

func (t *progressTable) update(_ *lab.Lab, view lab.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inPlace {
		if t.printedRows%20 == 0 {
			fmt.Fprintln(t.w, progressHeading+"  (requests of 3 s before)")
		}
		t.printedRows++
		fmt.Fprintln(t.w, progressRow(view))
		return
	}
	text := progressHeading + "\n" + progressRow(view) + "\n\n  zone                 agents  backends  requests held\n"
	for _, zone := range view.Zones {
		text += fmt.Sprintf("  %-20s %6d  %8d  %13d\n", zone.Name, zone.Agents, zone.Backends, zone.Held)
	}
	text += "  requests are those of 3 s before: most have ended by then\n"
	if t.drawnLines > 0 {
		fmt.Fprintf(t.w, "\x1b[%dA\x1b[J", t.drawnLines)
	}
	fmt.Fprint(t.w, text)
	t.drawnLines = strings.Count(text, "\n")
}
