package main

// The up command.

import (
	"cmp"
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

// upCmd is `martenbeam up`.
type upCmd struct {
	Agents   int           `name:"agents" help:"Agents, each a process." default:"4" placeholder:"N"`
	Backends int           `name:"backends" help:"Backends, over three zones." default:"12" placeholder:"N"`
	Rate     float64       `name:"rate" help:"Requests a second over all agents." default:"200" placeholder:"R"`
	Duration time.Duration `name:"for" help:"How long, such as 30s. 0: until Ctrl-C." placeholder:"D"`
	Seed     uint64        `name:"seed" help:"Decides arrivals and draws." default:"1"`
	Scenario string        `name:"play" help:"Play a scenario's faults, over and over. Default: none." placeholder:"NAME"`
	AgentBin string        `name:"agent-bin" help:"Another agent's program." placeholder:"PATH"`
}

// Run starts a fleet, displays its progress until the duration has passed or an interrupt arrives, and prints the report. An
// interrupt before the fleet is ready ends the command without a report.
func (c *upCmd) Run(o *output) error {
	spec, flags, err := c.scenario()
	if err != nil {
		return usageError{err}
	}
	options, remove, err := flags.labOptions(spec, c.Seed)
	if err != nil {
		return err
	}
	defer remove()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	table := newProgressTable(o.stdout, isTerminal(o.stdout))
	options.AcceptUnknown, options.OnSecond = true, table.update
	options.OnReady = func(fleet *lab.Lab) { table.header(c.banner(len(spec.Fleet.Zones), fleet.Addr(0))) }
	fleet, err := lab.New(options)
	if err != nil {
		return usageError{err}
	}
	defer fleet.Close()
	report, err := fleet.Run(ctx)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		return nil // interrupted before the fleet was ready
	}
	if err != nil {
		return runError(o, err)
	}
	printReport(o.stdout, report)
	return verdictError(o, report)
}

// scenario returns the scenario with the fleet flags applied and its schedule of faults repeated for the duration, and the fleet
// flags.
func (c *upCmd) scenario() (*scenario.Scenario, *fleetFlags, error) {
	spec, err := scenario.Read(cmp.Or(c.Scenario, "calm"))
	if err != nil {
		return nil, nil, err
	}
	flags := &fleetFlags{Agents: c.Agents, Backends: c.Backends, Rate: c.Rate, Hubs: -1, AgentBin: c.AgentBin}
	if err := flags.apply(spec); err != nil {
		return nil, nil, err
	}
	spec.Repeat(c.Duration)
	return spec, flags, nil
}

// banner returns the text above the table: the size of the fleet, and a curl command that sends a request to the agent at addr.
func (c *upCmd) banner(zones int, addr string) string {
	return fmt.Sprintf(`%d agents, %d backends in %d zones, %.0f requests a second. Ctrl-C ends it. Send one by hand:

  curl -i -X POST http://%s/stop-update -H "X-Trace-Id: hand-$RANDOM$RANDOM" -H "Idempotency-Key: hand-$RANDOM" \
       -H 'X-Customer: state-post' -H 'X-Expires-In: 2.0' -H 'Cookie: sid=stop-1' -d 'done'
`, c.Agents, c.Backends, zones, c.Rate, addr)
}
