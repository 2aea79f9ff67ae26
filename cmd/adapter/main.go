// Command adapter runs balancers for the simulation bench: it reads batches of events from standard input and writes one
// reply per batch to standard output, in the protocol of package wire.
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
	debug.SetGCPercent(800) // most objects are short-lived and the heap is small, so a rare collection is enough
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// stepper is one instance: a *balancer.Balancer, or a substitute in tests.
type stepper interface {
	Step(now time.Duration, events []balancer.Event) []balancer.Action
}

// run replies to batches until the input ends. It stops at the first error, and writes no reply to the batch that caused it.
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

// processBatch steps each instance once with its events of the batch, in the order in which the batch first names the
// instances. It also opens and retires instances.
func processBatch(batch *wire.Batch, instances map[int]stepper, writer *wire.Writer) error {
	steps := batchSteps{now: batch.Now, instances: instances, writer: writer, pending: map[int][]balancer.Event{}}
	for _, event := range batch.Events {
		if err := steps.add(event); err != nil {
			return err
		}
	}
	for _, agent := range steps.order {
		if err := steps.flush(agent); err != nil {
			return err
		}
	}
	return nil
}

// batchSteps collects the events of a batch by instance.
type batchSteps struct {
	now       time.Duration
	instances map[int]stepper
	writer    *wire.Writer

	order   []int                    // instances, in the order in which the batch first names them
	pending map[int][]balancer.Event // events of each instance since its last step
}

// add adds the next event of the batch. If the event reopens an instance, add first steps the old one with its pending
// events.
func (s *batchSteps) add(event wire.Event) error {
	agent := event.Agent
	if _, seen := s.pending[agent]; !seen {
		s.order = append(s.order, agent)
		s.pending[agent] = nil
	}
	switch {
	case event.Open != nil:
		if err := s.flush(agent); err != nil {
			return err
		}
		instance, err := balancer.New(event.Open.Settings, event.Open.Seed)
		if err != nil {
			return fmt.Errorf("line %d: OpenInstance: %w", event.Line, err)
		}
		s.instances[agent] = instance
	case s.instances[agent] == nil:
		return fmt.Errorf("line %d: instance %d is not open", event.Line, agent)
	case event.Retire:
		s.pending[agent] = nil // the instance is killed before it processes its pending events
		delete(s.instances, agent)
	default:
		s.pending[agent] = append(s.pending[agent], event.Event)
	}
	return nil
}

// flush steps an instance with its pending events, if there are any, and adds its actions to the reply.
func (s *batchSteps) flush(agent int) error {
	events := s.pending[agent]
	if len(events) == 0 {
		return nil
	}
	s.pending[agent] = nil
	actions, panicText := stepRecovering(s.instances[agent], s.now, events)
	if panicText != "" {
		s.writer.Broken(agent, panicText)
		return nil
	}
	return s.writer.Actions(agent, actions)
}

// stepRecovering steps an instance. If its code panics, the text of the panic is returned in place of actions.
func stepRecovering(instance stepper, now time.Duration, events []balancer.Event) (actions []balancer.Action, panicText string) {
	defer func() {
		if value := recover(); value != nil {
			panicText = fmt.Sprint("panic: ", value)
		}
	}()
	return instance.Step(now, events), ""
}
