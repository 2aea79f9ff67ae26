// Command martenbeam is the product's command: a whole fleet on one machine to look at, experiments on it, and
// the agent itself.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed       = 1 // something went wrong that no other code tells
	exitUsage        = 2 // what was asked for can't be done
	exitViolated     = 3 // a rule was broken
	exitCrashed      = 4 // an agent crashed, did not start or went over a limit
	exitInconclusive = 5 // the lab itself was late: no verdict
)

// usageError is a fault of what was asked for.
type usageError struct{ error }

// exitCodeError ends the program with a code; what there is to say has been said.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

type cli struct {
	Up     upCmd     `name:"up" cmd:"" help:"Start a whole fleet on this machine and watch it: agents, backends, discovery and clients."`
	Lab    labCmd    `name:"lab" cmd:"" help:"Play scenarios with faults on a fleet of real processes, and compare versions."`
	Agent  agentCmd  `name:"agent" cmd:"" help:"Run one agent."`
	Hub    hubCmd    `name:"hub" cmd:"" help:"Run one hub, which agents attach to (docs/hub.md)."`
	Config configCmd `name:"config" cmd:"" help:"Check a configuration, or print the defaults."`
}

const about = `A client-side load balancer and the tools to see it at work.

Examples:
  martenbeam up                                   a fleet to look at, until Ctrl-C
  martenbeam lab list                             what can be played
  martenbeam lab run zone-loss --seed 3           one scenario, with a verdict
  martenbeam lab run calm --json calm.json --events calm.events
  martenbeam lab trace calm.events 9b1f03aa5c7e2d41

Exit codes: 0 all rules kept, 2 what was asked for can't be done, 3 a rule was broken, 4 an agent crashed,
5 the lab itself was late, so there is no verdict.`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("martenbeam"), kong.Description(about), kong.UsageOnError(), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }), kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true}))
	if err != nil {
		fmt.Fprintln(stderr, "martenbeam:", err)
		return exitFailed
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 { // help was asked for
		return exited
	}
	if err != nil {
		fmt.Fprintln(stderr, "martenbeam:", err)
		return exitUsage
	}
	err = ctx.Run(&output{stdout, stderr})
	var code exitCodeError
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	}
	fmt.Fprintln(stderr, "martenbeam:", err)
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// output is where a command writes.
type output struct{ stdout, stderr io.Writer }
