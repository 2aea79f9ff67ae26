package overhead

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

// Workload is one agent in a window: its list, and the calls through it.
type Workload struct {
	ListSize     int     `json:"List"`             // backends
	Rate         float64 `json:"Rate"`             // calls a second through the agent, and as many directly
	Tick         string  `json:"Tick"`             // the agent's attempts.tick
	EvenlySpaced bool    `json:"Even,omitempty"`   // calls come evenly; else each at random, as from many callers
	Agents       int     `json:"Agents,omitempty"` // so many agents, each called at this rate, count as one; 0: one
	ListChanges  string  `json:"Turns,omitempty"`  // how a change of the list is told each second: "", "entries" or "whole"
}

// agentRun is a cell's agent at work.
type agentRun struct {
	workload                Workload
	process                 *AgentProcess
	listService             *ListService
	client                  *http.Client
	through, direct         callPath
	lastBackend             atomic.Int64 // backend of the latest call through the agent
	changedAt               []time.Duration
	usageBefore, usageAfter Usage
}

// plannedCall is a call that is to be made.
type plannedCall struct {
	sendAt time.Duration
	run    *agentRun
	direct bool
}

// plan is the calls of a lane: through the agent and directly in turn, each direct one halfway to the next.
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

// drive makes the calls of all lanes from one plan, each at its time whatever became of those before, and waits for the
// answers. Go's own timers are up to a millisecond late: a thread sleeps in the system instead.
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
		for left := planned.sendAt - sinceBase(); left > 0; left = planned.sendAt - sinceBase() {
			t := syscall.NsecToTimespec(int64(left))
			_ = syscall.Nanosleep(&t, nil) // a signal ends it early
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

// changeListEachSecond changes the lane's list each second, until ctx ends.
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
