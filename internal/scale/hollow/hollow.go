// Package hollow runs many agents of a fleet in one process: the product's own code of what agents share (members, facts,
// turns, distances, lists, the residency policy) over real sockets of loopback, without clients and without backends. What
// a fleet costs its agents, and how long news takes to all of them, is measured on these.
package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/hubclient"
	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/source"
	"martenbeam/internal/residency"
)

// Mode is how the agents of a fleet are joined.
type Mode string

const (
	Flat Mode = "flat" // everyone is a member, and tells everyone
	Hubs Mode = "hubs" // each has one stream to one hub
)

// Change is what can change for an agent by its fleet.
type Change int

const (
	Policy   Change = iota // the residency policy
	List                   // of backends
	Settings               // carried by hubs alone
)

func (c Change) String() string { return [...]string{"policy", "list", "settings"}[c] }

// Spec is one agent.
type Spec struct {
	Mode       Mode
	Name, Zone string
	Zones      []string
	Listen     string          // "": any port of loopback
	Seeds      []string        // of a flat fleet
	Hubs       []hubclient.Hub // of a fleet with hubs
	Region     string          // with hubs: an agent whose own hub is away prefers those of its region
	Label      string
	Most       int
	Matrix     bool
	Service    string                                         // the list service's address; "": lists are not followed
	Source     bool                                           // of the residency policy
	Network    *Network                                       // nil: one without faults
	Acted      func(what Change, version int64, at time.Time) // must not wait; may be nil
}

// State is what an agent knows.
type State struct {
	Members                int     // this one included; as hubs tell it, where there are hubs
	Part                   float64 // of the in-flight limit; 0: none told yet
	Distances              int     // zones to which a round trip is known
	Policy, List, Settings int64   // versions; 0: none, as settings are always
}

// Agent is a hollow agent that runs.
type Agent struct {
	spec     Spec
	wire     *wire
	place    place
	fleet    *fleet.Fleet      // nil: it has a hub
	spoke    *hubclient.Client // nil: the fleet is flat
	holder   *residency.Holder
	follower *discovery.Watcher
	end      context.CancelFunc
	tasks    sync.WaitGroup
	part     atomic.Uint64 // bits of a float64
	trips    atomic.Int32
	list     atomic.Int64
	policy   atomic.Int64
	settings atomic.Int64
}

// place is an agent's place in its fleet.
type place interface {
	source.Selector
	Run(ctx context.Context) error
	Addr() string
}

// What the agent's own settings say of a call for lists.
const (
	connectTimeout = time.Second
	bound          = 10 * time.Second // of the policy's age
	listRate       = 50
)

// Start starts an agent.
func Start(s Spec) (*Agent, error) {
	if s.Mode != Flat && s.Mode != Hubs {
		return nil, fmt.Errorf("there is no mode %q", s.Mode)
	}
	if s.Network == nil {
		s.Network = NewNetwork()
	}
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	log := slog.New(slog.DiscardHandler)
	a := &Agent{spec: s, wire: &wire{net: s.Network, zone: s.Zone}}
	a.holder = residency.NewHolder(s.Zones, bound, s.Source, log, func(version int64, _ []string) error {
		a.policy.Store(version)
		a.acted(Policy, version)
		return nil
	})
	told := fleet.Callbacks{Quota: func(part float64) { a.part.Store(math.Float64bits(part)) }, Latencies: a.far}
	var err error
	if s.Mode == Hubs {
		err = a.attach(log, told)
	} else {
		err = a.join(log, told)
	}
	if err != nil {
		return nil, err
	}
	s.Network.Place(a.place.Addr(), s.Zone)
	ctx, end := context.WithCancel(context.Background())
	a.end = end
	a.tasks.Go(func() { _ = a.place.Run(ctx) }) // that its sockets are closed is how a kill ends it
	if s.Service != "" {
		a.follow(ctx, log)
	}
	return a, nil
}

// join has the agent be a member of a flat fleet.
func (a *Agent) join(log *slog.Logger, told fleet.Callbacks) (err error) {
	s := &a.spec
	a.fleet, err = fleet.New(fleet.Config{Name: s.Name, Site: s.Zone, Version: "hollow", Listen: s.Listen, Seeds: s.Seeds, Label: s.Label, MaxMembers: s.Most,
		RelayedLists: true, ListRate: listRate, MeasureLatency: s.Matrix, Log: log, Residency: a.holder, PolicySource: s.Source, Wire: a.wire}, s.Zones, told)
	a.place = a.fleet
	return err
}

// far takes how far the zones are.
func (a *Agent) far(trips []time.Duration, _ []float64) {
	known := int32(0)
	for _, d := range trips {
		if d > 0 {
			known++
		}
	}
	a.trips.Store(known)
}

// follow follows lists as an agent does: the decision module asks for a watch, and again with a growing wait after a failure.
func (a *Agent) follow(ctx context.Context, log *slog.Logger) {
	born, fails := time.Now(), 0
	a.follower = discovery.New(discovery.Config{
		Translator: discovery.Translator{Zones: a.spec.Zones, AgentTime: func(t time.Time) time.Duration { return t.Sub(born) }, Log: log},
		Addr:       a.spec.Service, Polled: true, ConnectTimeout: connectTimeout, Dial: a.wire.dialService, Sources: a.place,
		Deliver: func(u discovery.Update) {
			if u.Endpoints.Kind != balancer.UpdateFailed {
				fails = 0
				a.acted(List, a.list.Load())
				return
			}
			wait := time.Duration(rand.Float64() * float64(min(100*time.Millisecond<<min(fails, 5), 2*time.Second)))
			fails++
			time.AfterFunc(wait, a.follower.Subscribe)
		}})
	a.follower.Record = func(_ string, m *discovery.EndpointList) { a.list.Store(m.Version) }
	a.follower.Subscribe()
	a.tasks.Go(func() { a.follower.Run(ctx) })
}

func (a *Agent) acted(what Change, version int64) {
	if a.spec.Acted != nil {
		a.spec.Acted(what, version, time.Now())
	}
}

// Spec is what the agent was started with.
func (a *Agent) Spec() Spec { return a.spec }

// Addr is where others reach it.
func (a *Agent) Addr() string { return a.place.Addr() }

// State is what it knows now.
func (a *Agent) State() State {
	s := State{Part: a.Part(), Distances: int(a.trips.Load()), Policy: a.policy.Load(), List: a.list.Load(), Settings: a.settings.Load()}
	if a.fleet != nil {
		s.Members = a.fleet.Count()
	} else {
		s.Members = int(a.spoke.Status().FleetSize.Attached)
	}
	return s
}

// Part is the part of the in-flight limit that it uses now; 0: none told yet, or it has ended.
func (a *Agent) Part() float64 {
	if a.wire.dead.Load() {
		return 0
	}
	return math.Float64frombits(a.part.Load())
}

// Members are those that it knows of. An agent of a hub knows none.
func (a *Agent) Members() []member.Member {
	if a.fleet == nil {
		return nil
	}
	return a.fleet.Members()
}

// Give gives a policy at a source.
func (a *Agent) Give(version int64, text string) error { return a.holder.Apply(version, text) }

// Traffic is what has passed its sockets.
func (a *Agent) Traffic() Traffic { return a.wire.traffic() }

// Stop says goodbye, and returns when the agent has ended.
func (a *Agent) Stop() {
	a.Resume()
	a.end()
	a.tasks.Wait()
	a.wire.end()
}

// Kill ends the agent without a goodbye: its sockets close at once. What its tasks still do is waited for by Wait.
func (a *Agent) Kill() {
	a.wire.end()
	a.Resume()
	if a.fleet != nil {
		_ = a.fleet.Abort() // closed is all that it is to be
	}
	a.end()
}

// Wait waits until a killed agent has ended.
func (a *Agent) Wait() { a.tasks.Wait() }

// Pause has nothing pass the agent's sockets until Resume: what comes waits in the kernel, what goes out waits in the agent.
// Its own clockwork goes on, so that, unlike a stopped process, it does not find that it was stopped.
func (a *Agent) Pause() { a.wire.pause() }

// Resume ends a Pause.
func (a *Agent) Resume() { a.wire.resume() }
