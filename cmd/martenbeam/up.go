package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
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
	spec.Endless(c.Duration)
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
