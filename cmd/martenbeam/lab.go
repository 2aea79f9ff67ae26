package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/scenario"
)

type labCmd struct {
	List    listCmd    `name:"list" cmd:"" help:"List the built-in scenarios."`
	Run     runCmd     `name:"run" cmd:"" help:"Play one scenario and judge it. Exit 0 kept, 3 broken, 4 crashed, 5 void."`
	Compare compareCmd `name:"compare" cmd:"" help:"Play seeds with two versions of the agent, and tell the difference."`
	Trace   traceCmd   `name:"trace" cmd:"" help:"Follow one request through everyone who handled it."`
}

type listCmd struct{}

func (listCmd) Run(o *output) error {
	for _, name := range scenario.Names() {
		s, err := scenario.Read(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.stdout, "%-12s %s\n", name, s.About)
	}
	return nil
}

// fleetFlags change a scenario's size.
type fleetFlags struct {
	Agents   int           `name:"agents" help:"Agents, each a process. 0: as the scenario says." placeholder:"N"`
	Backends int           `name:"backends" help:"Backends. 0: as the scenario says." placeholder:"N"`
	Rate     float64       `name:"rate" help:"Requests a second over all agents. 0: as the scenario says." placeholder:"R"`
	For      time.Duration `name:"for" help:"How long clients send, such as 20s. 0: as the scenario says." placeholder:"D"`
	Apart    bool          `name:"apart" help:"The agents share nothing: no fleet, no policy."`
	Hubs     int           `name:"hubs" help:"Hubs, each a process; 0: a flat fleet, -1: as the scenario says." default:"-1" placeholder:"N"`
	AgentBin string        `name:"agent-bin" help:"Another agent's program, started as the platform does. Default: this one." placeholder:"PATH"`
	Dir      string        `name:"dir" help:"Where agents have their files; kept. Default: a temporary folder, removed." placeholder:"DIR"`
}

// apply takes the flags into a scenario. Faults move with a changed length.
func (f *fleetFlags) apply(s *scenario.Scenario) error {
	if f.Agents != 0 {
		s.Fleet.Agents = f.Agents
	}
	if f.Backends != 0 {
		s.Fleet.Backends, s.Fleet.ZoneSize = f.Backends, nil
	}
	if f.Rate != 0 {
		s.Load.Rate = f.Rate
	}
	if f.For != 0 {
		s.Stretch(f.For)
	}
	if f.Apart && f.Hubs > 0 {
		return fmt.Errorf("--apart, --hubs: agents that share nothing have no hubs")
	}
	if f.Apart {
		s.Apart()
	}
	if f.Hubs >= 0 {
		s.WithHubs(f.Hubs)
	}
	return s.Check()
}

// agent is the command line of an agent's process.
func (f *fleetFlags) agent() ([]string, error) {
	if f.AgentBin != "" {
		if info, err := os.Stat(f.AgentBin); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, fmt.Errorf("%s is no program", f.AgentBin)
		}
		path, err := filepath.Abs(f.AgentBin)
		return []string{path}, err
	}
	self, err := os.Executable()
	return []string{self, "agent"}, err
}

// hub is the command line of a hub's process.
func (f *fleetFlags) hub() ([]string, error) {
	self, err := os.Executable()
	return []string{self, "hub"}, err
}

// folder is where processes have their files, and what removes it.
func (f *fleetFlags) folder() (dir string, remove func(), err error) {
	if f.Dir != "" {
		return f.Dir, func() {}, nil
	}
	dir, err = os.MkdirTemp("", "martenbeam-lab-")
	return dir, func() { _ = os.RemoveAll(dir) }, err // a temporary folder: what is left does no harm
}

type runCmd struct {
	Scenario string `name:"scenario" arg:"" help:"A built-in scenario's name, or a .toml file."`
	Seed     uint64 `name:"seed" help:"Decides arrivals, draws and fault times." default:"1"`
	JSON     string `name:"json" help:"Write the report to FILE." placeholder:"FILE"`
	Events   string `name:"events" help:"Write every request's history to FILE, for lab trace." placeholder:"FILE"`
	Quiet    bool   `name:"quiet" short:"q" help:"No line a second."`
	fleetFlags
}

func (c *runCmd) Run(o *output) error {
	s, err := scenario.Read(c.Scenario)
	if err == nil {
		err = c.apply(s)
	}
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var events io.Writer
	if c.Events != "" {
		f, err := os.Create(c.Events)
		if err != nil {
			return usageError{err}
		}
		defer f.Close()
		events = f
	}
	r, err := c.play(ctx, o, s, c.Seed, events, !c.Quiet)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, r); err != nil {
			return err
		}
	}
	printReport(o.stdout, r)
	return verdict(o, r)
}

// play plays a scenario once.
func (f *fleetFlags) play(ctx context.Context, o *output, s *scenario.Scenario, seed uint64, events io.Writer, progress bool) (*lab.Report, error) {
	agent, err := f.agent()
	if err != nil {
		return nil, usageError{err}
	}
	hub, err := f.hub()
	if err != nil {
		return nil, err
	}
	dir, remove, err := f.folder()
	if err != nil {
		return nil, err
	}
	defer remove()
	opts := lab.Options{Scenario: s, Seed: seed, Agent: agent, Hub: hub, Dir: dir, Events: events}
	if progress {
		table := newTable(o.stdout, false)
		opts.Second = table.second
	}
	l, err := lab.New(opts)
	if err != nil {
		return nil, usageError{err}
	}
	defer l.Close()
	r, err := l.Run(ctx)
	if errors.Is(err, lab.ErrCrash) {
		fmt.Fprintln(o.stderr, err)
		return nil, codeError(exitCrashed)
	}
	if err != nil {
		return nil, err
	}
	return r, l.Flush()
}

// verdict says what was wrong, if anything, with its exit code.
func verdict(o *output, r *lab.Report) error {
	switch r.Verdict {
	case lab.Void:
		fmt.Fprintf(o.stderr, "void: the lab itself was late, 99th percentile %.1f ms: too little processor time here; no verdict\n", r.Late.P99)
		return codeError(exitVoid)
	case lab.Crashed:
		fmt.Fprintln(o.stderr, "crashed:", r.Crash)
		return codeError(exitCrashed)
	case lab.Broken:
		if v := r.Rules.First; v != nil {
			fmt.Fprintf(o.stderr, "broken %d times, first at %.3f s: %s: %s\n", r.Rules.Broken, v.At.Seconds(), v.Rule, v.Text)
		}
		if r.Rules.Shared != "" {
			fmt.Fprintln(o.stderr, "broken:", r.Rules.Shared)
		}
		if r.Rules.History != nil {
			lab.WriteHistory(o.stderr, r.Rules.History)
		}
		return codeError(exitBroken)
	}
	return nil
}

// writeJSON writes a file whole or not at all.
func writeJSON(file string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".part", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(file+".part", file)
}

func printReport(w io.Writer, r *lab.Report) {
	fmt.Fprintf(w, "\n%s, seed %d: %d agents, %d backends, %d requests in %.0f s (the first %.0f s don't count)\n", r.Scenario, r.Seed, r.Agents, r.Backends,
		r.Offered, r.For, r.Settle)
	fmt.Fprintf(w, "  served in aim   %6.2f%% of the worth; worst 10 s %.2f%% from %d s\n", 100*r.ServedInAim, 100*r.Worst10s, r.Worst10sAt)
	fmt.Fprintf(w, "  refused %.2f%%, failed %.2f%%, lost %d; %.3f attempts a request, %.1f%% of them to another zone\n",
		100*r.Refused, 100*r.Failed, r.Lost, r.Attempts, 100*r.CrossZone)
	switch left := r.LeftAfter; {
	case left == nil:
	case *left < 0:
		fmt.Fprintln(w, "  zones out of reach were sent 1% or more of first attempts until the end")
	default:
		fmt.Fprintf(w, "  zones out of reach were sent under 1%% of first attempts after %.1f s\n", *left)
	}
	fmt.Fprintf(w, "  latency of what was served: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms\n", r.Latency.P50, r.Latency.P99, r.Latency.P999)
	fmt.Fprintf(w, "  agents: at most %.0f MB and %d descriptors, %.1f processor seconds together\n", r.Agent.RSS, r.Agent.FDs, r.Agent.CPU)
	if h := r.Hubs; h != nil {
		fmt.Fprintf(w, "  %d hubs: at most %.0f MB and %d descriptors, %.1f processor seconds together, %.0f bytes a second each\n", h.Hubs, h.RSS, h.FDs, h.CPU, h.Bytes)
	}
	if s := r.Shared; s != nil && s.Settings != nil {
		fmt.Fprintf(w, "  settings: %d given, at the last agent after %.1f s (%.1f s in reach of a hub); behind at the end: %d\n", s.Settings.Given, s.Settings.After,
			s.Settings.Reach, s.Settings.Behind)
	}
	fmt.Fprintf(w, "  lab late by p50 %.2f ms, p99 %.2f ms; cold backends pushed over: %d\n", r.Late.P50, r.Late.P99, r.FallOvers)
	fmt.Fprintf(w, "  rules: %s\n", r.Verdict)
}

type traceCmd struct {
	File string `name:"file" arg:"" help:"What lab run --events wrote." type:"existingfile"`
	ID   string `arg:"" name:"request-id" help:"The id of a try, or of a client's first try."`
}

func (c *traceCmd) Run(o *output) error {
	f, err := os.Open(c.File)
	if err != nil {
		return usageError{err}
	}
	defer f.Close()
	lines := bufio.NewReader(f)
	found := false
	for n := 1; ; n++ {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			break
		}
		if err != nil && err != io.EOF {
			return err
		}
		if !strings.Contains(line, c.ID) {
			continue
		}
		var q check.Request
		if err := json.Unmarshal([]byte(line), &q); err != nil {
			return usageError{fmt.Errorf("%s:%d: %w", c.File, n, err)}
		}
		if q.ID == c.ID || q.First == c.ID {
			lab.WriteHistory(o.stdout, &q)
			found = true
		}
	}
	if !found {
		return usageError{fmt.Errorf("%s holds no request %s", c.File, c.ID)}
	}
	return nil
}
