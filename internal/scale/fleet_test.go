// Package scale measures what a fleet costs its agents, how long it takes to start, and how long a change takes to its last
// agent, on hollow agents in one process. Its tests run small by default; with -scale.full they make the tables.
package scale

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/scale/hollow"
)

// zones are seven in two regions, the first four in the first.
var zones = []string{"a1", "a2", "a3", "a4", "b1", "b2", "b3"}

// patience is how long anything that must come is waited for.
const patience = 30 * time.Second

const (
	backends  = 100
	firstList = 41
	emptyBeat = 2 * time.Second // of the list service
	seeds     = 3
)

// policyText is a policy of a version, of about a kilobyte.
func policyText(version int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\nwhen_stale = \"serve\"\n[regions]\na = [\"a1\", \"a2\", \"a3\", \"a4\"]\nb = [\"b1\", \"b2\", \"b3\"]\n[others]\npermitted = [\"*\"]\n", version)
	for i := range 16 {
		fmt.Fprintf(&b, "[tenant.carrier-%d]\npermitted = [\"%s\"]\nwhen_stale = \"refuse\"\n", i, string("ab"[i%2]))
	}
	return b.String()
}

// service is a stand-in for the list service: it streams lists, and a line each two seconds.
type service struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	version int64
	changed chan struct{}
	calls   int
}

func startService(t testing.TB) *service {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &service{addr: ln.Addr().String(), version: firstList, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = s.server.Serve(ln) }() // ends with Close
	t.Cleanup(func() { s.server.Close() })
	return s
}

func backend(i int) discovery.Endpoint {
	return discovery.Endpoint{ID: fmt.Sprintf("s-%08x", i*2654435761), Addr: fmt.Sprintf("127.0.0.1:%d", 20000+i), Zone: zones[i%len(zones)], State: "ready", Weight: 4}
}

// change changes one backend, and says when and to which version.
func (s *service) change() (version int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, time.Now()
}

func (s *service) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	at, _ := strconv.ParseInt(q.URL.Query().Get("since"), 10, 64) // absent: the whole list
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		s.mu.Unlock()
		line := []byte{}
		if at != version {
			m := discovery.EndpointList{Version: version, Full: at < firstList}
			if m.Full {
				for i := range backends {
					m.Endpoints = append(m.Endpoints, backend(i))
				}
			} else {
				for v := at; v < version; v++ {
					b := backend(int(v % backends))
					b.Weight = float64(1 + v%8)
					m.Endpoints = append(m.Endpoints, b)
				}
			}
			line, _ = json.Marshal(m) // names and numbers alone
			at = version
		}
		if _, err := w.Write(append(line, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		beat := time.NewTimer(emptyBeat)
		select {
		case <-changed:
		case <-beat.C:
		case <-q.Context().Done():
			beat.Stop()
			return
		}
		beat.Stop()
	}
}

// arrivals are when agents acted on changes.
type arrivals struct {
	mu sync.Mutex
	at map[whose][]arrival // in order
}

type whose struct {
	name string
	what hollow.Change
}

type arrival struct {
	version int64
	at      time.Time
}

func (a *arrivals) acted(name string, what hollow.Change, version int64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := whose{name, what}
	a.at[k] = append(a.at[k], arrival{version, at})
}

// when is when an agent first had a version, or one after it.
func (a *arrivals) when(name string, what hollow.Change, version int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.at[whose{name, what}] {
		if x.version >= version {
			return x.at, true
		}
	}
	return time.Time{}, false
}

// crew is a fleet of hollow agents.
type crew struct {
	t       testing.TB
	mode    hollow.Mode
	n       int
	matrix  bool
	net     *hollow.Network
	service *service
	came    *arrivals
	label   string
	policy  int64 // the version that the source gave last

	others int // members that are not hollow
	expect int // zones to which round trips have to be known; 0: all

	mu     sync.Mutex      // of both lists
	agents []*hollow.Agent // by number; the first is the policy's source in a flat fleet
	killed []*hollow.Agent

	hubs  *hubs // nil: the fleet is flat
	one   bool  // all agents know the first hub alone
	parts *sums
}

func newCrew(t testing.TB, mode hollow.Mode, n int, matrix bool) *crew {
	c := &crew{t: t, mode: mode, n: n, matrix: matrix, net: hollow.NewNetwork(), service: startService(t), came: &arrivals{at: map[whose][]arrival{}},
		label: fmt.Sprintf("%s-%d", t.Name(), n), agents: make([]*hollow.Agent, n)}
	if len(c.label) > 64 {
		c.label = c.label[len(c.label)-64:]
	}
	if mode == hollow.Hubs {
		c.policy = 1
		c.hubs = startHubs(t, c)
	}
	c.parts = c.watchParts()
	t.Cleanup(c.close)
	return c
}

func (c *crew) name(i int) string { return fmt.Sprintf("agent-%04d", i) }

// start starts agent i, at an address if it had one. The seeds start first.
func (c *crew) start(i int, listen string) {
	s := hollow.Spec{Mode: c.mode, Name: c.name(i), Zone: zones[i%len(zones)], Zones: zones, Listen: listen, Label: c.label, Most: c.n + c.others, Matrix: c.matrix,
		Service: c.service.addr, Source: i == 0, Network: c.net}
	if c.hubs != nil {
		s.Source, s.Hubs, s.Region = false, c.hubs.known(c.one), s.Zone[:1]
	}
	s.Acted = func(what hollow.Change, version int64, at time.Time) { c.came.acted(s.Name, what, version, at) }
	for j := range min(seeds, c.n) {
		if j != i && c.agents[j] != nil {
			s.Seeds = append(s.Seeds, c.agents[j].Addr())
		}
	}
	a, err := hollow.Start(s)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	c.agents[i] = a
	c.mu.Unlock()
	if i == 0 && c.hubs == nil {
		c.policy = max(c.policy, 1)
		if err := a.Give(c.policy, policyText(c.policy)); err != nil {
			c.t.Fatal(err)
		}
	}
}

// startAll starts all within a time.
func (c *crew) startAll(within time.Duration) {
	began := time.Now()
	for i := range c.n {
		c.start(i, "")
		if d := time.Until(began.Add(within * time.Duration(i) / time.Duration(c.n))); d > 0 {
			time.Sleep(d) // the pace is what is asked for, and waits for nothing
		}
	}
}

// give gives a next policy at the source, and says when.
func (c *crew) give() (version int64, at time.Time) {
	c.policy++
	at = time.Now()
	if c.hubs != nil {
		c.hubs.givePolicy(c.t, c.policy)
		return c.policy, at
	}
	if err := c.agents[0].Give(c.policy, policyText(c.policy)); err != nil {
		c.t.Fatal(err)
	}
	return c.policy, at
}

func (c *crew) running() (n int) {
	for _, a := range c.agents {
		if a != nil {
			n++
		}
	}
	return n
}

// wanted is what each agent has to know.
func (c *crew) wanted() hollow.State {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	s := hollow.State{Members: c.running() + c.others, Part: 1 / float64(c.n+c.others), Policy: c.policy, List: c.service.version}
	if c.hubs != nil {
		s.Settings = c.hubs.settings
	}
	if c.matrix {
		s.Distances = cmp.Or(c.expect, len(zones))
		if c.hubs != nil {
			s.Distances = len(zones) - 1 // one hub alone measures nothing within its own zone
		}
	}
	return s
}

// knower is what a check of what agents know needs of one.
type knower interface{ State() hollow.State }

// lagging says what an agent does not know yet of what is wanted; "": it knows all.
func lagging(k knower, want hollow.State) string {
	s := k.State()
	switch {
	case s.Members != want.Members:
		return fmt.Sprintf("%d members of %d", s.Members, want.Members)
	case s.Part < want.Part*0.999 || s.Part > want.Part*1.001:
		return fmt.Sprintf("a part of %v, not %v", s.Part, want.Part)
	case s.Distances < want.Distances:
		return fmt.Sprintf("round trips to %d zones of %d", s.Distances, want.Distances)
	case s.Policy != want.Policy:
		return fmt.Sprintf("policy %d, not %d", s.Policy, want.Policy)
	case s.List != want.List:
		return fmt.Sprintf("list %d, not %d", s.List, want.List)
	case s.Settings != want.Settings:
		return fmt.Sprintf("settings %d, not %d", s.Settings, want.Settings)
	}
	return ""
}

// laggards counts those that do not know all, and says what the first lacks.
func laggards[K knower](list []K, want hollow.State) (n int, first string) {
	for i, k := range list {
		if why := lagging(k, want); why != "" {
			if n++; n == 1 {
				first = fmt.Sprintf("agent %d: %s", i, why)
			}
		}
	}
	return n, first
}

const pollEvery = 10 * time.Millisecond

// whole waits until all know all, and reports how long it took.
func (c *crew) whole(limit time.Duration) (took time.Duration, ok bool, why string) {
	began := time.Now()
	for at := 0; ; { // who knew all is not asked again until the rest do
		want := c.wanted()
		for at < c.n && (c.agents[at] == nil || lagging(c.agents[at], want) == "") {
			at++
		}
		there := slices.DeleteFunc(slices.Clone(c.agents), func(a *hollow.Agent) bool { return a == nil })
		if at == c.n {
			if n, _ := laggards(there, want); n == 0 {
				return time.Since(began), true, ""
			}
			at = 0
		}
		if time.Since(began) > limit {
			n, first := laggards(there, want)
			return limit, false, fmt.Sprintf("%d of %d lag: %s", n, len(there), first)
		}
		time.Sleep(pollEvery)
	}
}

// begun waits until a fleet that starts knows all, and says why it does not, with whether the machine bore it.
func (c *crew) begun() string {
	m := c.measure(false)
	_, ok, why := c.whole(patience)
	s := m.end()
	if ok {
		return ""
	}
	return strings.TrimSuffix("not whole: "+why+", "+s.void, ", ")
}

// traffic is what has passed all agents' sockets, those that were killed included.
func (c *crew) traffic() (sum hollow.Traffic) {
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
		sum.Strangers.Bytes += t.Strangers.Bytes
		sum.Strangers.Messages += t.Strangers.Messages
	}
	return sum
}

// restart kills agent i, and starts it anew at its address.
func (c *crew) restart(i int) {
	c.start(i, c.kill(i))
}

// kill kills agent i, and returns its address.
func (c *crew) kill(i int) string {
	a := c.agents[i]
	a.Kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = append(c.killed, a)
	return a.Addr()
}

func (c *crew) close() {
	c.parts.stop(c.t)
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
