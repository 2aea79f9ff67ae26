package main

// The lab list and lab run commands.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"martenbeam/internal/lab/scenario"
)

// labCmd is `martenbeam lab`.
type labCmd struct {
	List    listCmd    `name:"list" cmd:"" help:"List the built-in scenarios."`
	Run     runCmd     `name:"run" cmd:"" help:"Play one scenario and judge it. Exit 0 kept, 3 broken, 4 crashed, 5 void."`
	Compare compareCmd `name:"compare" cmd:"" help:"Play seeds with two versions of the agent, and tell the difference."`
	Trace   traceCmd   `name:"trace" cmd:"" help:"Follow one request through everyone who handled it."`
}

// listCmd is `martenbeam lab list`.
type listCmd struct{}

// Run prints the name and purpose of each built-in scenario.
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

// runCmd is `martenbeam lab run`.
type runCmd struct {
	Scenario   string `name:"scenario" arg:"" help:"A built-in scenario's name, or a .toml file."`
	Seed       uint64 `name:"seed" help:"Decides arrivals, draws and fault times." default:"1"`
	ReportFile string `name:"json" help:"Write the report to FILE." placeholder:"FILE"`
	EventsFile string `name:"events" help:"Write every request's history to FILE, for lab trace." placeholder:"FILE"`
	Quiet      bool   `name:"quiet" short:"q" help:"No line a second."`
	fleetFlags
}

// Run runs a scenario once, prints the report, and writes the report and the events to the files that the flags name. The exit code
// depends on the verdict.
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
