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

	"brookferry"
	"brookferry/internal/agent/discovery"
	"brookferry/internal/fleet"
	"brookferry/internal/fleet/member"
	"brookferry/internal/residency"
)

// Mode is how the agents of a fleet are joined.
type Mode string

// Flat: everyone is a member, and tells everyone.
const Flat Mode = "flat"

// Change is what can change for an agent by its fleet.
type Change int

const (
	Policy   Change = iota // the residency policy
	List                   // of backends
	Settings               // nothing carries them yet
)

func (c Change) String() string { return [...]string{"policy", "list", "settings"}[c] }

// Spec is one agent.
type Spec struct {
	Mode       Mode
	Name, Zone string
	Zones      []string
	Listen     string // "": any port of loopback
	Seeds      []string
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
	Members                int     // this one included
	Part                   float64 // of the in-flight limit; 0: none told yet
	Distances              int     // zones to which a round trip is known
	Policy, List, Settings int64   // versions; 0: none, as settings are always
}

// Agent is a hollow agent that runs.
type Agent struct {
	spec     Spec
	wire     *wire
	fleet    *fleet.Fleet
	holder   *residency.Holder
	follower *discovery.Follower
	end      context.CancelFunc
	tasks    sync.WaitGroup
	part     atomic.Uint64 // bits of a float64
	trips    atomic.Int32
	list     atomic.Int64
	policy   atomic.Int64
}

// What the agent's own settings say of a call for lists.
const (
	connectTimeout = time.Second
	bound          = 10 * time.Second // of the policy's age
	listRate       = 50
)

// Start starts an agent.
func Start(s Spec) (*Agent, error) {
	if s.Mode != Flat {
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
	var err error
	a.fleet, err = fleet.New(fleet.Config{Name: s.Name, Site: s.Zone, Version: "hollow", Listen: s.Listen, Seeds: s.Seeds, Label: s.Label, Most: s.Most,
		Relayed: true, ListRate: listRate, Matrix: s.Matrix, Log: log, Residency: a.holder, Source: s.Source, Wire: a.wire},
		s.Zones, fleet.Told{Part: func(part float64) { a.part.Store(math.Float64bits(part)) }, Distances: func(trips []time.Duration, _ []float64) {
			known := int32(0)
			for _, d := range trips {
				if d > 0 {
					known++
				}
			}
			a.trips.Store(known)
		}})
	if err != nil {
		return nil, err
	}
	s.Network.place(a.fleet.Addr(), s.Zone)
	ctx, end := context.WithCancel(context.Background())
	a.end = end
	a.tasks.Go(func() { _ = a.fleet.Run(ctx) }) // that its sockets are closed is how a kill ends it
	if s.Service != "" {
		a.follow(ctx, log)
	}
	return a, nil
}

// follow follows lists as an agent does: the decision module asks for a watch, and again with a growing wait after a failure.
func (a *Agent) follow(ctx context.Context, log *slog.Logger) {
	born, fails := time.Now(), 0
	a.follower = discovery.New(discovery.Config{
		Translator: discovery.Translator{Zones: a.spec.Zones, At: func(t time.Time) time.Duration { return t.Sub(born) }, Log: log},
		Addr:       a.spec.Service, Asked: true, ConnectTimeout: connectTimeout, Dial: a.wire.dialService, Sources: a.fleet,
		Post: func(u discovery.Update) {
			if u.List.Kind != brookferry.ListFailed {
				fails = 0
				a.acted(List, a.list.Load())
				return
			}
			wait := time.Duration(rand.Float64() * float64(min(100*time.Millisecond<<min(fails, 5), 2*time.Second)))
			fails++
			time.AfterFunc(wait, a.follower.Subscribe)
		}})
	a.follower.Record = func(_ string, m *discovery.Members) { a.list.Store(m.Version) }
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
func (a *Agent) Addr() string { return a.fleet.Addr() }

// State is what it knows now.
func (a *Agent) State() State {
	return State{Members: a.fleet.Count(), Part: math.Float64frombits(a.part.Load()), Distances: int(a.trips.Load()),
		Policy: a.policy.Load(), List: a.list.Load()}
}

// Members are those that it knows of.
func (a *Agent) Members() []member.Member { return a.fleet.Members() }

// Give gives a policy at a source.
func (a *Agent) Give(version int64, text string) error { return a.holder.Take(version, text) }

// Traffic is what has passed its sockets.
func (a *Agent) Traffic() Traffic { return a.wire.traffic() }

// Stop says goodbye, and returns when the agent has ended.
func (a *Agent) Stop() {
	a.Resume()
	a.end()
	a.tasks.Wait()
}

// Kill ends the agent without a goodbye: its sockets close at once. What its tasks still do is waited for by Wait.
func (a *Agent) Kill() {
	a.wire.end()
	a.Resume()
	_ = a.fleet.Abort() // closed is all that it is to be
	a.end()
}

// Wait waits until a killed agent has ended.
func (a *Agent) Wait() { a.tasks.Wait() }

// Pause has nothing pass the agent's sockets until Resume: what comes waits in the kernel, what goes out waits in the agent.
// Its own clockwork goes on, so that, unlike a stopped process, it does not find that it was stopped.
func (a *Agent) Pause() { a.wire.pause() }

// Resume ends a Pause.
func (a *Agent) Resume() { a.wire.resume() }
