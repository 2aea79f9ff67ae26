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
	For      time.Duration `name:"for" help:"How long, such as 30s. 0: until Ctrl-C." placeholder:"D"`
	Seed     uint64        `name:"seed" help:"Decides arrivals and draws." default:"1"`
	Play     string        `name:"play" help:"Play a scenario's faults, over and over. Default: none." placeholder:"NAME"`
	AgentBin string        `name:"agent-bin" help:"Another agent's program." placeholder:"PATH"`
}

func (c *upCmd) Run(o *output) error {
	name := c.Play
	if name == "" {
		name = "calm"
	}
	s, err := scenario.Read(name)
	if err != nil {
		return usageError{err}
	}
	f := fleetFlags{Agents: c.Agents, Backends: c.Backends, Rate: c.Rate, Hubs: -1, AgentBin: c.AgentBin}
	if err := f.apply(s); err != nil {
		return usageError{err}
	}
	s.Endless(c.For)
	agent, err := f.agent()
	if err != nil {
		return usageError{err}
	}
	hub, err := f.hub()
	if err != nil {
		return err
	}
	dir, remove, err := f.folder()
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	table := newTable(o.stdout, terminal(o.stdout))
	l, err := lab.New(lab.Options{Scenario: s, Seed: c.Seed, Agent: agent, Hub: hub, Dir: dir, Visitors: true, Second: table.second,
		Ready: func(l *lab.Lab) {
			table.header(fmt.Sprintf(`%d agents, %d backends in %d zones, %.0f requests a second. Ctrl-C ends it. Send one by hand:

  curl -i -X POST http://%s/stop-update -H "X-Trace-Id: hand-$RANDOM$RANDOM" -H "Idempotency-Key: hand-$RANDOM" \
       -H 'X-Customer: state-post' -H 'X-Expires-In: 2.0' -H 'Cookie: sid=stop-1' -d 'done'
`, c.Agents, c.Backends, len(s.Fleet.Zones), c.Rate, l.Addr(0)))
		}})
	if err != nil {
		return usageError{err}
	}
	defer l.Close()
	r, err := l.Run(ctx)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil // ended before everyone was there
	}
	if errors.Is(err, lab.ErrCrash) {
		fmt.Fprintln(o.stderr, err)
		return codeError(exitCrashed)
	}
	if err != nil {
		return err
	}
	printReport(o.stdout, r)
	return verdict(o, r)
}

// terminal reports whether a writer is one.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// table shows a line a second, or, on a terminal, a picture that stays in place.
type table struct {
	mu    sync.Mutex
	w     io.Writer
	live  bool
	lines int // of the picture
	rows  int
}

func newTable(w io.Writer, live bool) *table { return &table{w: w, live: live} }

func (t *table) header(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintln(t.w, text)
}

const heading = "  time  agents backends  offered/s  in aim  refused  failed    p50    p99  attempts/r  used  broken  faults"

func row(v lab.View) string {
	w := v.Last
	per := func(part, whole float64) float64 {
		if whole == 0 {
			return 0
		}
		return part / whole
	}
	n := float64(w.Offered)
	return fmt.Sprintf("%5.0fs  %6d %8d  %9d  %5.1f%%  %6.1f%%  %5.1f%%  %3.0f ms %4.0f ms  %10.2f  %3.0f%%  %6d  %s", v.At.Seconds(), v.Agents, v.Backends,
		w.Offered, 100*per(w.InAim, w.Worth), 100*per(float64(w.Refused), n), 100*per(float64(w.Failed+w.Lost), n), w.P50, w.P99,
		per(float64(w.Attempts), n), 100*w.Used, v.Broken, strings.Join(v.Faults, ", "))
}

func (t *table) second(_ *lab.Lab, v lab.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.live {
		if t.rows%20 == 0 {
			fmt.Fprintln(t.w, heading+"  (requests of 3 s before)")
		}
		t.rows++
		fmt.Fprintln(t.w, row(v))
		return
	}
	text := heading + "\n" + row(v) + "\n\n  zone                 agents  backends  requests held\n"
	for _, z := range v.Zones {
		text += fmt.Sprintf("  %-20s %6d  %8d  %13d\n", z.Name, z.Agents, z.Backends, z.Held)
	}
	text += "  requests are those of 3 s before: most have ended by then\n"
	if t.lines > 0 {
		fmt.Fprintf(t.w, "\x1b[%dA\x1b[J", t.lines)
	}
	fmt.Fprint(t.w, text)
	t.lines = strings.Count(text, "\n")
}
