// Package simagent runs many agents of a fleet in one process: the product's own code of what agents share (members, facts,
// turns, distances, lists, the residency policy) over real sockets of loopback, without clients and without backends. What
// a fleet costs its agents, and how long news takes to all of them, is measured on these.
package simagent

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
	FullMesh Mode = "flat" // everyone is a member, and tells everyone
	Hubs     Mode = "hubs" // each has one stream to one hub
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
	Mode           Mode
	Name, Zone     string
	Zones          []string
	Listen         string          // "": any port of loopback
	Seeds          []string        // of a flat fleet
	Hubs           []hubclient.Hub // of a fleet with hubs
	Region         string          // with hubs: an agent whose own hub is away prefers those of its region
	Label          string
	MaxMembers     int
	MeasureLatency bool
	ListService    string                                         // the list service's address; "": lists are not followed
	PolicySource   bool                                           // of the residency policy
	Network        *Network                                       // nil: one without faults
	OnApplied      func(what Change, version int64, at time.Time) // must not wait; may be nil
}

// State is what an agent knows.
type State struct {
	Members                int     // this one included; as hubs tell it, where there are hubs
	Quota                  float64 // of the in-flight limit; 0: none told yet
	MeasuredZones          int     // zones to which a round trip is known
	Policy, List, Settings int64   // versions; 0: none, as settings are always
}

// Agent is a hollow agent that runs.
type Agent struct {
	spec            Spec
	wire            *wire
	client          fleetClient
	fleet           *fleet.Fleet      // nil: it has a hub
	hubClient       *hubclient.Client // nil: the fleet is flat
	policyHolder    *residency.Holder
	watcher         *discovery.Watcher
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	quotaBits       atomic.Uint64 // bits of a float64
	measuredZones   atomic.Int32
	listVersion     atomic.Int64
	policyVersion   atomic.Int64
	settingsVersion atomic.Int64
}

// fleetClient is an agent's place in its fleet.
type fleetClient interface {
	source.Selector
	Run(ctx context.Context) error
	Addr() string
}

// What the agent's own settings say of a call for lists.
const (
	connectTimeout = time.Second
	maxPolicyAge   = 10 * time.Second // of the policy's age
	listRate       = 50
)

// Start starts an agent.
func Start(spec Spec) (*Agent, error) {
	if spec.Mode != FullMesh && spec.Mode != Hubs {
		return nil, fmt.Errorf("there is no mode %q", spec.Mode)
	}
	if spec.Network == nil {
		spec.Network = NewNetwork()
	}
	if spec.Listen == "" {
		spec.Listen = "127.0.0.1:0"
	}
	log := slog.New(slog.DiscardHandler)
	a := &Agent{spec: spec, wire: &wire{net: spec.Network, zone: spec.Zone}}
	a.policyHolder = residency.NewHolder(spec.Zones, maxPolicyAge, spec.PolicySource, log, func(version int64, _ []string) error {
		a.policyVersion.Store(version)
		a.reportApplied(Policy, version)
		return nil
	})
	callbacks := fleet.Callbacks{Quota: func(quota float64) { a.quotaBits.Store(math.Float64bits(quota)) }, Latencies: a.recordLatencies}
	var err error
	if spec.Mode == Hubs {
		err = a.attachToHub(log, callbacks)
	} else {
		err = a.joinMesh(log, callbacks)
	}
	if err != nil {
		return nil, err
	}
	spec.Network.SetZone(a.client.Addr(), spec.Zone)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.tasks.Go(func() { _ = a.client.Run(ctx) }) // that its sockets are closed is how a kill ends it
	if spec.ListService != "" {
		a.followLists(ctx, log)
	}
	return a, nil
}

// joinMesh has the agent be a member of a flat fleet.
func (a *Agent) joinMesh(log *slog.Logger, callbacks fleet.Callbacks) (err error) {
	spec := &a.spec
	a.fleet, err = fleet.New(fleet.Config{Name: spec.Name, Site: spec.Zone, Version: "hollow", Listen: spec.Listen, Seeds: spec.Seeds, Label: spec.Label, MaxMembers: spec.MaxMembers,
		RelayedLists: true, ListRate: listRate, MeasureLatency: spec.MeasureLatency, Log: log, Residency: a.policyHolder, PolicySource: spec.PolicySource, Wire: a.wire}, spec.Zones, callbacks)
	a.client = a.fleet
	return err
}

// recordLatencies takes how far the zones are.
func (a *Agent) recordLatencies(roundTrips []time.Duration, _ []float64) {
	measured := int32(0)
	for _, d := range roundTrips {
		if d > 0 {
			measured++
		}
	}
	a.measuredZones.Store(measured)
}

// followLists follows lists as an agent does: the decision module asks for a watch, and again with a growing wait after a failure.
func (a *Agent) followLists(ctx context.Context, log *slog.Logger) {
	startedAt, failures := time.Now(), 0
	a.watcher = discovery.New(discovery.Config{
		Translator: discovery.Translator{Zones: a.spec.Zones, AgentTime: func(t time.Time) time.Duration { return t.Sub(startedAt) }, Log: log},
		Addr:       a.spec.ListService, Polled: true, ConnectTimeout: connectTimeout, Dial: a.wire.dialService, Sources: a.client,
		Deliver: func(update discovery.Update) {
			if update.Endpoints.Kind != balancer.UpdateFailed {
				failures = 0
				a.reportApplied(List, a.listVersion.Load())
				return
			}
			backoff := time.Duration(rand.Float64() * float64(min(100*time.Millisecond<<min(failures, 5), 2*time.Second)))
			failures++
			time.AfterFunc(backoff, a.watcher.Subscribe)
		}})
	a.watcher.Record = func(_ string, list *discovery.EndpointList) { a.listVersion.Store(list.Version) }
	a.watcher.Subscribe()
	a.tasks.Go(func() { a.watcher.Run(ctx) })
}

func (a *Agent) reportApplied(change Change, version int64) {
	if a.spec.OnApplied != nil {
		a.spec.OnApplied(change, version, time.Now())
	}
}

// Spec is what the agent was started with.
func (a *Agent) Spec() Spec { return a.spec }

// Addr is where others reach it.
func (a *Agent) Addr() string { return a.client.Addr() }

// State is what it knows now.
func (a *Agent) State() State {
	state := State{Quota: a.Quota(), MeasuredZones: int(a.measuredZones.Load()), Policy: a.policyVersion.Load(), List: a.listVersion.Load(), Settings: a.settingsVersion.Load()}
	if a.fleet != nil {
		state.Members = a.fleet.Count()
	} else {
		state.Members = int(a.hubClient.Status().FleetSize.Attached)
	}
	return state
}

// Quota is the part of the in-flight limit that it uses now; 0: none told yet, or it has ended.
func (a *Agent) Quota() float64 {
	if a.wire.dead.Load() {
		return 0
	}
	return math.Float64frombits(a.quotaBits.Load())
}

// Members are those that it knows of. An agent of a hub knows none.
func (a *Agent) Members() []member.Member {
	if a.fleet == nil {
		return nil
	}
	return a.fleet.Members()
}

// ApplyPolicy gives a policy at a source.
func (a *Agent) ApplyPolicy(version int64, text string) error {
	return a.policyHolder.Apply(version, text)
}

// Traffic is what has passed its sockets.
func (a *Agent) Traffic() Traffic { return a.wire.traffic() }

// Stop says goodbye, and returns when the agent has ended.
func (a *Agent) Stop() {
	a.Resume()
	a.cancel()
	a.tasks.Wait()
	a.wire.kill()
}

// Kill ends the agent without a goodbye: its sockets close at once. What its tasks still do is waited for by Wait.
func (a *Agent) Kill() {
	a.wire.kill()
	a.Resume()
	if a.fleet != nil {
		_ = a.fleet.Abort() // closed is all that it is to be
	}
	a.cancel()
}

// Wait waits until a killed agent has ended.
func (a *Agent) Wait() { a.tasks.Wait() }

// Pause has nothing pass the agent's sockets until Resume: what comes waits in the kernel, what goes out waits in the agent.
// Its own clockwork goes on, so that, unlike a stopped process, it does not find that it was stopped.
func (a *Agent) Pause() { a.wire.pause() }

// Resume ends a Pause.
func (a *Agent) Resume() { a.wire.resume() }
