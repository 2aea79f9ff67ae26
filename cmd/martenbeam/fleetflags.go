package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"martenbeam/internal/lab"
	"martenbeam/internal/lab/scenario"
)

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
		spec.Stretch(f.Duration)
	}
	if f.Isolated && f.Hubs > 0 {
		return fmt.Errorf("--apart, --hubs: agents that share nothing have no hubs")
	}
	if f.Isolated {
		spec.Apart()
	}
	if f.Hubs >= 0 {
		spec.WithHubs(f.Hubs)
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
