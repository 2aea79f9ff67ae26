// Command martenbeam runs one agent or one hub, checks configurations, and runs complete fleets on one machine, either for
// demonstration or as experiments with faults.
package main

// The command line and exit codes.

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed       = 1 // any other error
	exitUsage        = 2 // invalid arguments or an invalid file
	exitViolated     = 3 // an agent violated a rule
	exitCrashed      = 4 // an agent crashed, did not start or exceeded a limit
	exitInconclusive = 5 // the lab itself was late, so there is no verdict
)

// usageError is an error in the arguments or in a file that the arguments name. The program exits with exitUsage.
type usageError struct{ error }

// exitCodeError ends the program with an exit code. The command has already printed the reason.
type exitCodeError int

func (e exitCodeError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// cli contains the commands. kong reads their names from the tags.
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

// run runs the command that the arguments name and returns the exit code.
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
	if exited >= 0 { // kong has printed the requested help
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

// output contains the streams that a command writes to.
type output struct{ stdout, stderr io.Writer }
