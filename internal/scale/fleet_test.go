// Package scale measures the cost of a fleet to its agents, the time that a fleet takes to start, and the time that a
// change takes to reach the last agent, on simulated agents in one process. Its tests run small fleets by default; with
// -scale.full they make the tables.
package scale

// The measured fleet: its start, its changes and its end.

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// zones holds the names of seven zones. The first letter of a zone's name is the name of its region.
var zones = []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}

// convergenceTimeout bounds each wait for a fleet's convergence and for a process's start.
const convergenceTimeout = 30 * time.Second

// policyText returns a residency policy of about 1 kB with the given version.
func policyText(version int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\nwhen_stale = \"serve\"\n"+
		"[regions]\na = [\"a1\", \"a2\", \"a3\", \"a4\"]\nb = [\"b1\", \"b2\", \"b3\"]\n[others]\npermitted = [\"*\"]\n", version)
	for i := range 16 {
		fmt.Fprintf(&b, "[tenant.carrier-%d]\npermitted = [\"%s\"]\nwhen_stale = \"refuse\"\n", i, string("ab"[i%2]))
	}
	return b.String()
}

// testFleet is a fleet of simulated agents, with its list service and its hubs.
type testFleet struct {
	t       testing.TB
	mode    simagent.Mode
	n       int  // simulated agents
	matrix  bool // agents measure round trips between zones
	net     *simagent.Network
	service *fakeListService
	applied *appliedVersions
	label   string
	policy  int64 // the latest version of the residency policy

	realAgents    int // agents in separate processes, in addition to the simulated ones
	expectedZones int // zones to which agents must have a round-trip time; 0: all

	mu     sync.Mutex        // guards agents and killed
	agents []*simagent.Agent // by number; nil: not started. In a full mesh the first is the policy's source
	killed []*simagent.Agent

	hubs         *hubProcesses // nil: a full mesh
	firstHubOnly bool          // agents are configured with the first hub only
	quotaSums    *quotaWatch
}

// newTestFleet returns a fleet without running agents. In mode Hubs it starts the hubs. The test's cleanup ends the fleet, and
// fails the test if the sum of all quotas has exceeded maxQuotaSum.
func newTestFleet(t testing.TB, mode simagent.Mode, n int, matrix bool) *testFleet {
	t.Helper()
	f := &testFleet{t: t, mode: mode, n: n, matrix: matrix, net: simagent.NewNetwork(), service: startListService(t),
		applied: &appliedVersions{byKey: map[appliedKey][]appliedVersion{}},
		label:   fmt.Sprintf("%s-%d", t.Name(), n), agents: make([]*simagent.Agent, n)}
	if len(f.label) > 64 {
		f.label = f.label[len(f.label)-64:]
	}
	if mode == simagent.Hubs {
		f.policy = 1
		f.hubs = startHubs(t, f)
	}
	f.quotaSums = f.watchQuotas()
	t.Cleanup(f.close)
	return f
}

func (f *testFleet) agentName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// start starts agent i at the address listen, or at any address if listen is "". The seeds are the started agents among
// the first numSeeds, without agent i.
func (f *testFleet) start(i int, listen string) {
	s := simagent.Spec{Mode: f.mode, Name: f.agentName(i), Zone: zones[i%len(zones)], Zones: zones, Listen: listen,
		Label: f.label, MaxMembers: f.n + f.realAgents, MeasureLatency: f.matrix, ListService: f.service.addr,
		PolicySource: i == 0, Network: f.net}
	if f.hubs != nil {
		s.PolicySource, s.Hubs, s.Region = false, f.hubs.configured(f.firstHubOnly), s.Zone[:1]
	}
	s.OnApplied = func(what simagent.Change, version int64, at time.Time) { f.applied.record(s.Name, what, version, at) }
	for j := range min(numSeeds, f.n) {
		if j != i && f.agents[j] != nil {
			s.Seeds = append(s.Seeds, f.agents[j].Addr())
		}
	}
	a, err := simagent.Start(s)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.agents[i] = a
	f.mu.Unlock()
	if i == 0 && f.hubs == nil {
		f.policy = max(f.policy, 1)
		if err := a.ApplyPolicy(f.policy, policyText(f.policy)); err != nil {
			f.t.Fatal(err)
		}
	}
}

// startAll starts all agents, evenly spaced over the time within.
func (f *testFleet) startAll(within time.Duration) {
	startedAt := time.Now()
	for i := range f.n {
		f.start(i, "")
		if d := time.Until(startedAt.Add(within * time.Duration(i) / time.Duration(f.n))); d > 0 {
			time.Sleep(d) // keeps the starts evenly spaced, however long each start takes
		}
	}
}

// publishPolicy publishes the next version of the policy at its source, and returns the version and the time.
func (f *testFleet) publishPolicy() (version int64, at time.Time) {
	f.policy++
	at = time.Now()
	if f.hubs != nil {
		f.hubs.writePolicy(f.t, f.policy)
		return f.policy, at
	}
	if err := f.agents[0].ApplyPolicy(f.policy, policyText(f.policy)); err != nil {
		f.t.Fatal(err)
	}
	return f.policy, at
}

// running returns the number of agents that were started.
func (f *testFleet) running() (n int) {
	for _, a := range f.agents {
		if a != nil {
			n++
		}
	}
	return n
}

// pollInterval is the interval at which a wait checks its condition.
const pollInterval = 10 * time.Millisecond

// awaitConvergence waits until every agent has the expected state, and returns the time that this took. If the limit passes
// first, ok is false and reason names the first lagging agent and how its state differs.
func (f *testFleet) awaitConvergence(limit time.Duration) (took time.Duration, ok bool, reason string) {
	startedAt := time.Now()
	for next := 0; ; { // an agent in the expected state is checked again only after all other agents have reached it
		want := f.expectedState()
		for next < f.n && (f.agents[next] == nil || missing(f.agents[next], want) == "") {
			next++
		}
		running := slices.DeleteFunc(slices.Clone(f.agents), func(a *simagent.Agent) bool { return a == nil })
		if next == f.n {
			if n, _ := countLagging(running, want); n == 0 {
				return time.Since(startedAt), true, ""
			}
			next = 0
		}
		if time.Since(startedAt) > limit {
			n, first := countLagging(running, want)
			return limit, false, fmt.Sprintf("%d of %d lag: %s", n, len(running), first)
		}
		time.Sleep(pollInterval)
	}
}

// awaitStart waits until a starting fleet has converged, and returns "". If the fleet does not converge in time, it returns
// the reason, with a note if the machine was too busy.
func (f *testFleet) awaitStart() string {
	m := f.startMeter(false)
	_, ok, reason := f.awaitConvergence(convergenceTimeout)
	s := m.end()
	if ok {
		return ""
	}
	return strings.TrimSuffix("not whole: "+reason+", "+s.void, ", ")
}

// traffic returns the total traffic of all agents, including killed agents.
func (f *testFleet) traffic() (sum simagent.Traffic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range slices.Concat(f.agents, f.killed) {
		if a == nil {
			continue
		}
		t := a.Traffic()
		for p := range t.In {
			sum.In[p].Bytes += t.In[p].Bytes
			sum.In[p].Messages += t.In[p].Messages
			sum.Out[p].Bytes += t.Out[p].Bytes
			sum.Out[p].Messages += t.Out[p].Messages
		}
		sum.FromRealAgents.Bytes += t.FromRealAgents.Bytes
		sum.FromRealAgents.Messages += t.FromRealAgents.Messages
	}
	return sum
}

// restart kills agent i, and starts a new agent at its address.
func (f *testFleet) restart(i int) {
	f.start(i, f.kill(i))
}

// kill ends agent i without a leave message, and returns its address.
func (f *testFleet) kill(i int) string {
	a := f.agents[i]
	a.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed = append(f.killed, a)
	return a.Addr()
}

// close ends the fleet's agents, and checks the sum of quotas.
func (f *testFleet) close() {
	f.quotaSums.stop(f.t)
	var all sync.WaitGroup
	for _, a := range f.agents {
		if a != nil {
			a.Kill() // the whole fleet ends, so no agent needs to leave gracefully
			all.Go(a.Wait)
		}
	}
	for _, a := range f.killed {
		all.Go(a.Wait)
	}
	all.Wait()
}
