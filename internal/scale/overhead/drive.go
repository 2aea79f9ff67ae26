package overhead

// The workload of an agent, and the plan and sending of its calls.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Workload is an agent's endpoint list and the calls through the agent, in one window.
type Workload struct {
	ListSize     int     `json:"List"`             // backends in the endpoint list
	Rate         float64 `json:"Rate"`             // calls a second through each agent, and the same number directly
	Tick         string  `json:"Tick"`             // the agent's setting attempts.tick
	EvenlySpaced bool    `json:"Even,omitempty"`   // evenly spaced calls; otherwise a Poisson process, as from many callers
	Agents       int     `json:"Agents,omitempty"` // number of agents with this workload, whose calls form one row; 0: one agent
	// ListChanges is the form in which the list service publishes a change each second: "" (no changes), "entries" (the
	// changed endpoints) or "whole" (the complete list).
	ListChanges string `json:"Turns,omitempty"`
}

// agentRun is a running agent with its workload.
type agentRun struct {
	workload                Workload
	process                 *AgentProcess
	listService             *ListService
	client                  *http.Client
	through, direct         callPath
	lastBackend             atomic.Int64    // number of the backend that served the latest call through the agent
	changedAt               []time.Duration // times of the list's changes, since base
	usageBefore, usageAfter Usage
}

// plannedCall is a scheduled call.
type plannedCall struct {
	sendAt time.Duration // since base
	run    *agentRun
	direct bool // sent directly to the backend that served the run's latest call through the agent
}

// plan returns an agent's calls between two points in time. Calls through the agent and direct calls alternate; each direct
// call is halfway between two calls through the agent.
func (a *agentRun) plan(rng *rand.Rand, from, until time.Duration) (calls []plannedCall) {
	gap := func() time.Duration {
		x := 1.0
		if !a.workload.EvenlySpaced {
			x = rng.ExpFloat64()
		}
		return time.Duration(x / a.workload.Rate * float64(time.Second))
	}
	for at := from + time.Duration(rng.Float64()/a.workload.Rate*float64(time.Second)); at < until; {
		next := at + gap()
		calls = append(calls, plannedCall{at, a, false}, plannedCall{at + (next-at)/2, a, true})
		at = next
	}
	return calls
}

// drive makes the calls of all agents in the order of one plan, and waits for all responses. Each call starts at its planned
// time even if earlier calls are still in flight. drive sleeps by a system call on a locked thread, since Go's timers are
// up to a millisecond late.
func drive(agents []*agentRun, direct *http.Client, addrs []string, rng *rand.Rand, warmUp, length time.Duration) {
	start := sinceBase() + 10*time.Millisecond
	var plan []plannedCall
	for _, agent := range agents {
		agent.through.countedFrom, agent.direct.countedFrom = start+warmUp, start+warmUp
		plan = append(plan, agent.plan(rng, start, start+warmUp+length)...)
	}
	slices.SortFunc(plan, func(a, b plannedCall) int { return cmp.Compare(a.sendAt, b.sendAt) })
	var calls sync.WaitGroup
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, planned := range plan {
		for remaining := planned.sendAt - sinceBase(); remaining > 0; remaining = planned.sendAt - sinceBase() {
			t := syscall.NsecToTimespec(int64(remaining))
			_ = syscall.Nanosleep(&t, nil) // a signal may end the sleep early; the loop then sleeps again
		}
		calls.Go(func() {
			if planned.direct {
				result, _, err := call(direct, addrs[planned.run.lastBackend.Load()], planned.sendAt)
				planned.run.direct.add(result, err)
				return
			}
			result, backend, err := call(planned.run.client, planned.run.process.Addr, planned.sendAt)
			if err == nil {
				planned.run.lastBackend.Store(int64(backend))
			}
			planned.run.through.add(result, err)
		})
	}
	calls.Wait()
}

// changeListEachSecond changes the agent's endpoint list each second until ctx ends, and records the times of the changes in
// changedAt.
func (a *agentRun) changeListEachSecond(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.changedAt = append(a.changedAt, a.listService.ChangeList(a.workload.ListChanges == "whole"))
		}
	}
}
