package main

// The flags for the size and the programs of a fleet, and the run of a scenario with these flags.

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

// fleetFlags are the flags that override the size and load of a scenario's fleet and set its agent program and folder.
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

// apply applies the flags to a scenario and checks the result. If the duration changes, the fault times scale with the duration.
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
		return fmt.Errorf("--apart and --hubs can't be combined: hubs share state between agents, and with --apart agents share nothing")
	}
	if f.Isolated {
		spec.DisableSharing()
	}
	if f.Hubs >= 0 {
		spec.SetHubs(f.Hubs)
	}
	return spec.Check()
}

// agentCommand returns the command line of an agent process: the program of --agent-bin, or this program's agent command. It
// returns an error if the program is not an executable file.
func (f *fleetFlags) agentCommand() ([]string, error) {
	if f.AgentBin != "" {
		if info, err := os.Stat(f.AgentBin); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, fmt.Errorf("%s is not an executable file", f.AgentBin)
		}
		path, err := filepath.Abs(f.AgentBin)
		return []string{path}, err
	}
	self, err := os.Executable()
	return []string{self, "agent"}, err
}

// hubCommand returns the command line of a hub process.
func (f *fleetFlags) hubCommand() ([]string, error) {
	self, err := os.Executable()
	return []string{self, "hub"}, err
}

// workDir returns the folder for the files of all processes: the folder of --dir, or a temporary folder. remove removes a temporary
// folder and keeps the folder of --dir.
func (f *fleetFlags) workDir() (dir string, remove func(), err error) {
	if f.Dir != "" {
		return f.Dir, func() {}, nil
	}
	dir, err = os.MkdirTemp("", "martenbeam-lab-")
	return dir, func() { _ = os.RemoveAll(dir) }, err // ignored: a leftover temporary folder is harmless
}

// labOptions returns the lab's options for a scenario and a seed, with the programs and the folder of the flags. remove removes
// the folder if it is temporary.
func (f *fleetFlags) labOptions(spec *scenario.Scenario, seed uint64) (options lab.Options, remove func(), err error) {
	agent, err := f.agentCommand()
	if err != nil {
		return options, nil, usageError{err}
	}
	hub, err := f.hubCommand()
	if err != nil {
		return options, nil, err
	}
	dir, remove, err := f.workDir()
	if err != nil {
		return options, nil, err
	}
	return lab.Options{Scenario: spec, Seed: seed, Agent: agent, Hub: hub, Dir: dir}, remove, nil
}

// runScenario runs a scenario once and returns its report. It writes the history of each request to events unless events is
// nil, and prints a progress line each second if progress is true.
func (f *fleetFlags) runScenario(ctx context.Context, o *output, spec *scenario.Scenario, seed uint64, events io.Writer,
	progress bool) (*lab.Report, error) {
	options, remove, err := f.labOptions(spec, seed)
	if err != nil {
		return nil, err
	}
	defer remove()
	options.Events = events
	if progress {
		options.OnSecond = newProgressTable(o.stdout, false).update
	}
	fleet, err := lab.New(options)
	if err != nil {
		return nil, usageError{err}
	}
	defer fleet.Close()
	report, err := fleet.Run(ctx)
	if err != nil {
		return nil, runError(o, err)
	}
	return report, fleet.Flush()
}

// runError converts the error of a run into the error of the command: it prints a crash and returns its exit code, and returns any
// other error unchanged.
func runError(o *output, err error) error {
	if errors.Is(err, lab.ErrCrash) {
		fmt.Fprintln(o.stderr, err)
		return exitCodeError(exitCrashed)
	}
	return err
}
