package overhead

// Windows, which run several workloads at once, and agents without calls.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Window is a span in which several agents receive calls at the same time, each by its own workload.
type Window struct {
	Name           string        // name of the table that contains the window's rows
	WarmUp, Length time.Duration // calls within WarmUp are not counted; Length begins after WarmUp
	Workloads      []Workload
}

// Bench holds what all windows share. Its methods must not be called concurrently, except that Idle may run during Run.
type Bench struct {
	Dir      string   // directory of the agents' configuration files
	Command  []string // command that starts an agent, without its last argument, the path of the configuration file
	Env      []string // added to the environment of agents
	Backends *Backends
	Seed     uint64 // seed of the calls' times
}

// startAgent starts an agent and its list service.
func (b *Bench) startAgent(ctx context.Context, workload Workload) (*agentRun, error) {
	listService, err := NewListService(b.Backends.Addrs[:workload.ListSize])
	if err != nil {
		return nil, err
	}
	process, err := StartAgent(ctx, b.Dir, AgentConfig(listService.Addr, workload.Tick), b.Env, b.Command...)
	if err != nil {
		listService.Close()
		return nil, err
	}
	return &agentRun{workload: workload, process: process, listService: listService, client: newClient()}, nil
}

// stop stops the agent and its list service, and returns the agent's error.
func (a *agentRun) stop() error {
	a.client.CloseIdleConnections()
	err := a.process.Stop()
	a.listService.Close()
	return err
}

// startAgents starts an agent for each workload, all at the same time. If some agents fail to start, it returns the started
// agents with the error, and the caller stops them.
func (b *Bench) startAgents(ctx context.Context, workloads []Workload) (agents []*agentRun, err error) {
	agents, errs := make([]*agentRun, len(workloads)), make([]error, len(workloads))
	var starts sync.WaitGroup
	for i, workload := range workloads {
		starts.Go(func() { agents[i], errs[i] = b.startAgent(ctx, workload) })
	}
	starts.Wait()
	return slices.DeleteFunc(agents, func(a *agentRun) bool { return a == nil }), errors.Join(errs...)
}

// stopAgents stops all agents at the same time, and returns their joined errors.
func stopAgents(agents []*agentRun) error {
	errs := make([]error, len(agents))
	var stops sync.WaitGroup
	for i, agent := range agents {
		stops.Go(func() { errs[i] = agent.stop() })
	}
	stops.Wait()
	return errors.Join(errs...)
}

// Run runs a window and returns a row for each workload, in their order.
func (b *Bench) Run(ctx context.Context, window Window) (rows []Row, err error) {
	agents, err := b.startAgents(ctx, window.perAgent())
	defer func() { err = errors.Join(err, stopAgents(agents)) }()
	if err != nil {
		return nil, err
	}
	direct := newClient()
	defer direct.CloseIdleConnections()
	if err := connectAll(direct, b.Backends.Addrs[:window.maxListSize()]); err != nil {
		return nil, err
	}
	changeCtx, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	var changers sync.WaitGroup
	for _, agent := range agents {
		if agent.workload.ListChanges != "" {
			changers.Go(func() { agent.changeListEachSecond(changeCtx) })
		}
		if agent.usageBefore, err = agent.process.Usage(); err != nil {
			return nil, err
		}
	}
	startedAt := sinceBase()
	drive(agents, direct, b.Backends.Addrs, rand.New(rand.NewPCG(b.Seed, 0)), window.WarmUp, window.Length)
	took := sinceBase() - startedAt
	stopChanging()
	changers.Wait()
	for _, agent := range agents {
		if agent.usageAfter, err = agent.process.Usage(); err != nil {
			return nil, err
		}
	}
	for remaining := agents; len(remaining) > 0; { // one workload's agents in each iteration
		n := max(1, remaining[0].workload.Agents)
		rows = append(rows, newRow(window.Name, remaining[:n], took))
		remaining = remaining[n:]
	}
	return rows, nil
}

// perAgent returns the workload of each agent of the window.
func (w *Window) perAgent() (workloads []Workload) {
	for _, workload := range w.Workloads {
		for range max(1, workload.Agents) {
			workloads = append(workloads, workload)
		}
	}
	return workloads
}

// maxListSize returns the size of the window's longest endpoint list.
func (w *Window) maxListSize() (size int) {
	for _, workload := range w.Workloads {
		size = max(size, workload.ListSize)
	}
	return size
}

// connectAll makes one call from client to each backend, so that the client has an idle connection to it. It returns an
// error if a call fails or if backend i does not respond at addrs[i].
func connectAll(client *http.Client, addrs []string) error {
	for i, addr := range addrs {
		_, got, err := call(client, addr, sinceBase())
		if err != nil {
			return fmt.Errorf("calling backend %d at %s: %w", i, addr, err)
		}
		if got != i {
			return fmt.Errorf("backend %d responded at the address of backend %d, %s", got, i, addr)
		}
	}
	return nil
}

// Idle measures agents without calls, one for each list size, all at the same time. It waits for settle, then measures for
// length. The rows are in the order of sizes.
func (b *Bench) Idle(ctx context.Context, sizes []int, settle, length time.Duration) (rows []IdleRow, err error) {
	var workloads []Workload
	for _, n := range sizes {
		workloads = append(workloads, Workload{ListSize: n, Tick: defaultTick})
	}
	agents, err := b.startAgents(ctx, workloads)
	defer func() { err = errors.Join(err, stopAgents(agents)) }()
	if err != nil {
		return nil, err
	}
	usageAfter := func(after time.Duration) (list []Usage, err error) {
		select {
		case <-time.After(after):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		for _, agent := range agents {
			usage, err := agent.process.Usage()
			if err != nil {
				return nil, err
			}
			list = append(list, usage)
		}
		return list, nil
	}
	before, err := usageAfter(settle)
	if err != nil {
		return nil, err
	}
	after, err := usageAfter(length)
	if err != nil {
		return nil, err
	}
	for i, n := range sizes {
		rows = append(rows, IdleRow{ListSize: n, ResidentMB: after[i].ResidentMB,
			CPUMillisPerSecond: (after[i].CPU - before[i].CPU).Seconds() * 1e3 / length.Seconds()})
	}
	return rows, nil
}
