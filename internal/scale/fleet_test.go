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
	c := &testFleet{t: t, mode: mode, n: n, matrix: matrix, net: simagent.NewNetwork(), service: startListService(t), applied: &appliedVersions{byKey: map[appliedKey][]appliedVersion{}},
		label: fmt.Sprintf("%s-%d", t.Name(), n), agents: make([]*simagent.Agent, n)}
	if len(c.label) > 64 {
		c.label = c.label[len(c.label)-64:]
	}
	if mode == simagent.Hubs {
		c.policy = 1
		c.hubs = startHubs(t, c)
	}
	c.quotaSums = c.watchQuotas()
	t.Cleanup(c.close)
	return c
}

func (c *testFleet) agentName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// start starts agent i, at an address if it had one. The seeds start first.
func (c *testFleet) start(i int, listen string) {
	s := simagent.Spec{Mode: c.mode, Name: c.agentName(i), Zone: zones[i%len(zones)], Zones: zones, Listen: listen, Label: c.label, MaxMembers: c.n + c.realAgents, MeasureLatency: c.matrix,
		ListService: c.service.addr, PolicySource: i == 0, Network: c.net}
	if c.hubs != nil {
		s.PolicySource, s.Hubs, s.Region = false, c.hubs.configured(c.firstHubOnly), s.Zone[:1]
	}
	s.OnApplied = func(what simagent.Change, version int64, at time.Time) { c.applied.record(s.Name, what, version, at) }
	for j := range min(numSeeds, c.n) {
		if j != i && c.agents[j] != nil {
			s.Seeds = append(s.Seeds, c.agents[j].Addr())
		}
	}
	a, err := simagent.Start(s)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.agents[i] = a
	c.mu.Unlock()
	if i == 0 && c.hubs == nil {
		c.policy = max(c.policy, 1)
		if err := a.ApplyPolicy(c.policy, policyText(c.policy)); err != nil {
			c.t.Fatal(err)
		}
	}
}

// measureStart starts all within a time.
func (c *testFleet) startAll(within time.Duration) {
	startedAt := time.Now()
	for i := range c.n {
		c.start(i, "")
		if d := time.Until(startedAt.Add(within * time.Duration(i) / time.Duration(c.n))); d > 0 {
			time.Sleep(d) // the pace is what is asked for, and waits for nothing
		}
	}
}

// publishPolicy gives a next policy at the source, and says when.
func (c *testFleet) publishPolicy() (version int64, at time.Time) {
	c.policy++
	at = time.Now()
	if c.hubs != nil {
		c.hubs.writePolicy(c.t, c.policy)
		return c.policy, at
	}
	if err := c.agents[0].ApplyPolicy(c.policy, policyText(c.policy)); err != nil {
		c.t.Fatal(err)
	}
	return c.policy, at
}

func (c *testFleet) running() (n int) {
	for _, a := range c.agents {
		if a != nil {
			n++
		}
	}
	return n
}

const pollInterval = 10 * time.Millisecond

// awaitConvergence waits until all know all, and reports how long it took.
func (c *testFleet) awaitConvergence(limit time.Duration) (took time.Duration, ok bool, reason string) {
	startedAt := time.Now()
	for at := 0; ; { // who knew all is not asked again until the rest do
		want := c.expectedState()
		for at < c.n && (c.agents[at] == nil || missing(c.agents[at], want) == "") {
			at++
		}
		running := slices.DeleteFunc(slices.Clone(c.agents), func(a *simagent.Agent) bool { return a == nil })
		if at == c.n {
			if n, _ := laggards(running, want); n == 0 {
				return time.Since(startedAt), true, ""
			}
			at = 0
		}
		if time.Since(startedAt) > limit {
			n, first := laggards(running, want)
			return limit, false, fmt.Sprintf("%d of %d lag: %s", n, len(running), first)
		}
		time.Sleep(pollInterval)
	}
}

// awaitStart waits until a fleet that starts knows all, and says why it does not, with whether the machine bore it.
func (c *testFleet) awaitStart() string {
	m := c.startMeter(false)
	_, ok, reason := c.awaitConvergence(convergenceTimeout)
	s := m.end()
	if ok {
		return ""
	}
	return strings.TrimSuffix("not whole: "+reason+", "+s.void, ", ")
}

// traffic is what has passed all agents' sockets, those that were killed included.
func (c *testFleet) traffic() (sum simagent.Traffic) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range slices.Concat(c.agents, c.killed) {
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
func (c *testFleet) restart(i int) {
	c.start(i, c.kill(i))
}

// kill kills agent i, and returns its address.
func (c *testFleet) kill(i int) string {
	a := c.agents[i]
	a.Kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = append(c.killed, a)
	return a.Addr()
}

func (c *testFleet) close() {
	c.quotaSums.stop(c.t)
	var all sync.WaitGroup
	for _, a := range c.agents {
		if a != nil {
			a.Kill() // goodbyes of all at once help nobody
			all.Go(a.Wait)
		}
	}
	for _, a := range c.killed {
		all.Go(a.Wait)
	}
	all.Wait()
}
