// Command adapter plays balancers on the bench's wire: batches of
// events on standard input, one reply per batch on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/wire"
)

func main() {
	debug.SetGCPercent(800) // short-lived garbage and a small heap: collect seldom
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// stepper is what an instance does; in service a *balancer.Balancer.
type stepper interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]stepper{}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := processBatch(batch, instances, writer); err != nil {
			return err
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// processBatch gives each instance its events of the batch in one step. A start or
// stop within the batch ends the step before it.
func processBatch(batch *wire.Batch, instances map[int]stepper, writer *wire.Writer) error {
	var order []int
	pending := map[int][]balancer.Event{}
	flush := func(agent int) error {
		events := pending[agent]
		if len(events) == 0 {
			return nil
		}
		pending[agent] = nil
		actions, panicText := stepRecovering(instances[agent], batch.Now, events)
		if panicText != "" {
			writer.Broken(agent, panicText)
			return nil
		}
		return writer.Actions(agent, actions)
	}
	for _, event := range batch.Events {
		if _, seen := pending[event.Agent]; !seen {
			order = append(order, event.Agent)
			pending[event.Agent] = nil
		}
		switch {
		case event.Open != nil:
			if err := flush(event.Agent); err != nil {
				return err
			}
			instance, err := balancer.New(event.Open.Settings, event.Open.Seed)
			if err != nil {
				return fmt.Errorf("line %d: OpenInstance: %w", event.Line, err)
			}
			instances[event.Agent] = instance
		case instances[event.Agent] == nil:
			return fmt.Errorf("line %d: instance %d is not open", event.Line, event.Agent)
		case event.Retire:
			pending[event.Agent] = nil // killed: what came just before has no one to act on it
			delete(instances, event.Agent)
		default:
			pending[event.Agent] = append(pending[event.Agent], event.Event)
		}
	}
	for _, agent := range order {
		if err := flush(agent); err != nil {
			return err
		}
	}
	return nil
}

// stepRecovering turns a panic of the decision code into its text.
func stepRecovering(instance stepper, now time.Duration, events []balancer.Event) (actions []balancer.Action, panicText string) {
	defer func() {
		if value := recover(); value != nil {
			panicText = fmt.Sprint("panic: ", value)
		}
	}()
	return instance.Step(now, events), ""
}
