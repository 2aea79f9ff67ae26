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
		spec, err := scenario.Read(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.stdout, "%-12s %s\n", name, spec.About)
	}
	return nil
}

// fleetFlags change a scenario's size.
type fleetFlags struct {
	Agents   int           `name:"agents" help:"Agents, each a process. 0: as the scenario says." placeholder:"N"`
	Backends int           `name:"backends" help:"Backends. 0: as the scenario says." placeholder:"N"`
	Rate     float64       `name:"rate" help:"Requests a second over all agents. 0: as the scenario says." placeholder:"R"`
	Duration time.Duration `name:"for" help:"How long clients send, such as 20s. 0: as the scenario says." placeholder:"D"`
	Isolated bool          `name:"apart" help:"The agents share nothing: no fleet, no policy."`
	Hubs     int           `name:"hubs" help:"Hubs, each a process; 0: a flat fleet, -1: as the scenario says." default:"-1" placeholder:"N"`
	AgentBin string        `name:"agent-bin" help:"Another agent's program, started as the platform does. Default: this one." placeholder:"PATH"`
	Dir      string        `name:"dir" help:"Where agents have their files; kept. Default: a temporary folder, removed." placeholder:"DIR"`
}

// apply takes the flags into a scenario. Faults move with a changed length.
func (f *fleetFlags) apply(spec *scenario.Scenario) error {
	if f.Agents != 0 {
		spec.Fleet.Agents = f.Agents
	}
	if f.Backends != 0 {
		spec.Fleet.Backends, spec.Fleet.ZoneSize = f.Backends, nil
	}
	if f.Rate != 0 {
		spec.Load.Rate = f.Rate
	}
	if f.Duration != 0 {
		spec.SetDuration(f.Duration)
	}
	if f.Isolated && f.Hubs > 0 {
		return fmt.Errorf("--apart, --hubs: agents that share nothing have no hubs")
	}
	if f.Isolated {
		spec.DisableSharing()
	}
	if f.Hubs >= 0 {
		spec.SetHubs(f.Hubs)
	}
	return spec.Check()
}

// agentCommand is the command line of an agent's process.
func (f *fleetFlags) agentCommand() ([]string, error) {
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

// hubCommand is the command line of a hub's process.
func (f *fleetFlags) hubCommand() ([]string, error) {
	self, err := os.Executable()
	return []string{self, "hub"}, err
}

// workDir is where processes have their files, and what removes it.
func (f *fleetFlags) workDir() (dir string, remove func(), err error) {
	if f.Dir != "" {
		return f.Dir, func() {}, nil
	}
	dir, err = os.MkdirTemp("", "martenbeam-lab-")
	return dir, func() { _ = os.RemoveAll(dir) }, err // a temporary folder: what is left does no harm
}

type runCmd struct {
	Scenario   string `name:"scenario" arg:"" help:"A built-in scenario's name, or a .toml file."`
	Seed       uint64 `name:"seed" help:"Decides arrivals, draws and fault times." default:"1"`
	ReportFile string `name:"json" help:"Write the report to FILE." placeholder:"FILE"`
	EventsFile string `name:"events" help:"Write every request's history to FILE, for lab trace." placeholder:"FILE"`
	Quiet      bool   `name:"quiet" short:"q" help:"No line a second."`
	fleetFlags
}

func (c *runCmd) Run(o *output) error {
	spec, err := scenario.Read(c.Scenario)
	if err == nil {
		err = c.apply(spec)
	}
	if err != nil {
		return usageError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var events io.Writer
	if c.EventsFile != "" {
		file, err := os.Create(c.EventsFile)
		if err != nil {
			return usageError{err}
		}
		defer file.Close()
		events = file
	}
	report, err := c.runScenario(ctx, o, spec, c.Seed, events, !c.Quiet)
	if err != nil {
		return err
	}
	if c.ReportFile != "" {
		if err := writeJSON(c.ReportFile, report); err != nil {
			return err
		}
	}
	printReport(o.stdout, report)
	return verdictError(o, report)
}

// runScenario plays a scenario once.
func (f *fleetFlags) runScenario(ctx context.Context, o *output, spec *scenario.Scenario, seed uint64, events io.Writer, progress bool) (*lab.Report, error) {
	agent, err := f.agentCommand()
	if err != nil {
		return nil, usageError{err}
	}
	hub, err := f.hubCommand()
	if err != nil {
		return nil, err
	}
	dir, remove, err := f.workDir()
	if err != nil {
		return nil, err
	}
	defer remove()
	options := lab.Options{Scenario: spec, Seed: seed, Agent: agent, Hub: hub, Dir: dir, Events: events}
	if progress {
		progressLines := newProgressTable(o.stdout, false)
		options.Second = progressLines.update
	}
	fleet, err := lab.New(options)
	if err != nil {
		return nil, usageError{err}
	}
	defer fleet.Close()
	report, err := fleet.Run(ctx)
	if errors.Is(err, lab.ErrCrash) {
		fmt.Fprintln(o.stderr, err)
		return nil, exitCodeError(exitCrashed)
	}
	if err != nil {
		return nil, err
	}
	return report, fleet.Flush()
}

// verdictError says what was wrong, if anything, with its exit code.
func verdictError(o *output, report *lab.Report) error {
	switch report.Verdict {
	case lab.Void:
		fmt.Fprintf(o.stderr, "void: the lab itself was late, 99th percentile %.1f ms: too little processor time here; no verdict\n", report.Late.P99)
		return exitCodeError(exitInconclusive)
	case lab.Crashed:
		fmt.Fprintln(o.stderr, "crashed:", report.Crash)
		return exitCodeError(exitCrashed)
	case lab.Broken:
		if violation := report.Rules.First; violation != nil {
			fmt.Fprintf(o.stderr, "broken %d times, first at %.3f s: %s: %s\n", report.Rules.Broken, violation.At.Seconds(), violation.Rule, violation.Text)
		}
		if report.Rules.Shared != "" {
			fmt.Fprintln(o.stderr, "broken:", report.Rules.Shared)
		}
		if report.Rules.History != nil {
			lab.WriteHistory(o.stderr, report.Rules.History)
		}
		return exitCodeError(exitViolated)
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

func printReport(w io.Writer, report *lab.Report) {
	fmt.Fprintf(w, "\n%s, seed %d: %d agents, %d backends, %d requests in %.0f s (the first %.0f s don't count)\n", report.Scenario, report.Seed, report.Agents, report.Backends,
		report.Offered, report.For, report.Settle)
	fmt.Fprintf(w, "  served in aim   %6.2f%% of the worth; worst 10 s %.2f%% from %d s\n", 100*report.ServedInAim, 100*report.Worst10s, report.Worst10sAt)
	fmt.Fprintf(w, "  refused %.2f%%, failed %.2f%%, lost %d; %.3f attempts a request, %.1f%% of them to another zone\n",
		100*report.Refused, 100*report.Failed, report.Lost, report.Attempts, 100*report.CrossZone)
	switch failOver := report.LeftAfter; {
	case failOver == nil:
	case *failOver < 0:
		fmt.Fprintln(w, "  zones out of reach were sent 1% or more of first attempts until the end")
	default:
		fmt.Fprintf(w, "  zones out of reach were sent under 1%% of first attempts after %.1f s\n", *failOver)
	}
	fmt.Fprintf(w, "  latency of what was served: p50 %.0f ms, p99 %.0f ms, p99.9 %.0f ms\n", report.Latency.P50, report.Latency.P99, report.Latency.P999)
	fmt.Fprintf(w, "  agents: at most %.0f MB and %d descriptors, %.1f processor seconds together\n", report.Agent.RSS, report.Agent.FDs, report.Agent.CPU)
	if hubs := report.Hubs; hubs != nil {
		fmt.Fprintf(w, "  %d hubs: at most %.0f MB and %d descriptors, %.1f processor seconds together, %.0f bytes a second each\n", hubs.Hubs, hubs.RSS, hubs.FDs, hubs.CPU, hubs.Bytes)
	}
	if shared := report.Shared; shared != nil && shared.Settings != nil {
		fmt.Fprintf(w, "  settings: %d given, at the last agent after %.1f s (%.1f s in reach of a hub); behind at the end: %d\n", shared.Settings.Given, shared.Settings.After,
			shared.Settings.Reach, shared.Settings.Behind)
	}
	fmt.Fprintf(w, "  lab late by p50 %.2f ms, p99 %.2f ms; cold backends pushed over: %d\n", report.Late.P50, report.Late.P99, report.FallOvers)
	fmt.Fprintf(w, "  rules: %s\n", report.Verdict)
}

type traceCmd struct {
	File string `name:"file" arg:"" help:"What lab run --events wrote." type:"existingfile"`
	ID   string `arg:"" name:"request-id" help:"The id of a try, or of a client's first try."`
}

func (c *traceCmd) Run(o *output) error {
	file, err := os.Open(c.File)
	if err != nil {
		return usageError{err}
	}
	defer file.Close()
	lines := bufio.NewReader(file)
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
		var request check.Request
		if err := json.Unmarshal([]byte(line), &request); err != nil {
			return usageError{fmt.Errorf("%s:%d: %w", c.File, n, err)}
		}
		if request.ID == c.ID || request.FirstID == c.ID {
			lab.WriteHistory(o.stdout, &request)
			found = true
		}
	}
	if !found {
		return usageError{fmt.Errorf("%s holds no request %s", c.File, c.ID)}
	}
	return nil
}
