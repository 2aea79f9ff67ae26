// Package scale measures what a fleet costs its agents, how long it takes to start, and how long a change takes to its last
// agent, on hollow agents in one process. Its tests run small by default; with -scale.full they make the tables.
package scale

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// zones are seven in two regions, the first four in the first.
var zones = []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}

// patience is how long anything that must come is waited for.
const convergenceTimeout = 30 * time.Second

// policyText is a policy of a version, of about a kilobyte.
func policyText(version int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\nwhen_stale = \"serve\"\n[regions]\na = [\"a1\", \"a2\", \"a3\", \"a4\"]\nb = [\"b1\", \"b2\", \"b3\"]\n[others]\npermitted = [\"*\"]\n", version)
	for i := range 16 {
		fmt.Fprintf(&b, "[tenant.carrier-%d]\npermitted = [\"%s\"]\nwhen_stale = \"refuse\"\n", i, string("ab"[i%2]))
	}
	return b.String()
}

// testFleet is a fleet of hollow agents.
type testFleet struct {
	t       testing.TB
	mode    simagent.Mode
	n       int
	matrix  bool
	net     *simagent.Network
	service *fakeListService
	applied *appliedVersions
	label   string
	policy  int64 // the version that the source gave last

	realAgents    int // members that are not hollow
	expectedZones int // zones to which round trips have to be known; 0: all

	mu     sync.Mutex        // of both lists
	agents []*simagent.Agent // by number; the first is the policy's source in a flat fleet
	killed []*simagent.Agent

	hubs         *hubProcesses // nil: the fleet is flat
	firstHubOnly bool          // all agents know the first hub alone
	quotaSums    *quotaWatch
}

func newTestFleet(t testing.TB, mode simagent.Mode, n int, matrix bool) *testFleet {
	f := &testFleet{t: t, mode: mode, n: n, matrix: matrix, net: simagent.NewNetwork(), service: startListService(t), applied: &appliedVersions{byKey: map[appliedKey][]appliedVersion{}},
		label: fmt.Sprintf("%s-%d", t.Name(), n), agents: make([]*simagent.Agent, n)}
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

// start starts agent i, at an address if it had one. The seeds start first.
func (f *testFleet) start(i int, listen string) {
	s := simagent.Spec{Mode: f.mode, Name: f.agentName(i), Zone: zones[i%len(zones)], Zones: zones, Listen: listen, Label: f.label, MaxMembers: f.n + f.realAgents, MeasureLatency: f.matrix,
		ListService: f.service.addr, PolicySource: i == 0, Network: f.net}
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

// measureStart starts all within a time.
func (f *testFleet) startAll(within time.Duration) {
	startedAt := time.Now()
	for i := range f.n {
		f.start(i, "")
		if d := time.Until(startedAt.Add(within * time.Duration(i) / time.Duration(f.n))); d > 0 {
			time.Sleep(d) // the pace is what is asked for, and waits for nothing
		}
	}
}

// publishPolicy gives a next policy at the source, and says when.
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

func (f *testFleet) running() (n int) {
	for _, a := range f.agents {
		if a != nil {
			n++
		}
	}
	return n
}

const pollInterval = 10 * time.Millisecond

// awaitConvergence waits until all know all, and reports how long it took.
func (f *testFleet) awaitConvergence(limit time.Duration) (took time.Duration, ok bool, reason string) {
	startedAt := time.Now()
	for next := 0; ; { // who knew all is not asked again until the rest do
		want := f.expectedState()
		for next < f.n && (f.agents[next] == nil || missing(f.agents[next], want) == "") {
			next++
		}
		running := slices.DeleteFunc(slices.Clone(f.agents), func(a *simagent.Agent) bool { return a == nil })
		if next == f.n {
			if n, _ := laggards(running, want); n == 0 {
				return time.Since(startedAt), true, ""
			}
			next = 0
		}
		if time.Since(startedAt) > limit {
			n, first := laggards(running, want)
			return limit, false, fmt.Sprintf("%d of %d lag: %s", n, len(running), first)
		}
		time.Sleep(pollInterval)
	}
}

// awaitStart waits until a fleet that starts knows all, and says why it does not, with whether the machine bore it.
func (f *testFleet) awaitStart() string {
	m := f.startMeter(false)
	_, ok, reason := f.awaitConvergence(convergenceTimeout)
	s := m.end()
	if ok {
		return ""
	}
	return strings.TrimSuffix("not whole: "+reason+", "+s.void, ", ")
}

// traffic is what has passed all agents' sockets, those that were killed included.
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

// restart kills agent i, and starts it anew at its address.
func (f *testFleet) restart(i int) {
	f.start(i, f.kill(i))
}

// kill kills agent i, and returns its address.
func (f *testFleet) kill(i int) string {
	a := f.agents[i]
	a.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed = append(f.killed, a)
	return a.Addr()
}

func (f *testFleet) close() {
	f.quotaSums.stop(f.t)
	var all sync.WaitGroup
	for _, a := range f.agents {
		if a != nil {
			a.Kill() // goodbyes of all at once help nobody
			all.Go(a.Wait)
		}
	}
	for _, a := range f.killed {
		all.Go(a.Wait)
	}
	all.Wait()
}
