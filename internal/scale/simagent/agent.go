// Package simagent runs many simulated agents of a fleet in one process. A simulated agent runs the product's own code for
// membership, gossip, startup admission, latencies, endpoint lists and the residency policy over real loopback sockets,
// but has neither clients nor backends. The measurements use it to find the cost of a fleet to its agents, and the time
// that a change takes to reach all of them.
package simagent

// Specification, start, state and end of a simulated agent.

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

// Mode is the topology over which the agents of a fleet share state.
type Mode string

const (
	FullMesh Mode = "flat" // every agent gossips with every other
	Hubs     Mode = "hubs" // each agent has one stream to one hub
)

// Change is a kind of document that an agent receives through its fleet.
type Change int

const (
	Policy   Change = iota // the residency policy
	List                   // the endpoint list
	Settings               // the settings, which only hubs publish
)

// String returns the name that tables use.
func (c Change) String() string { return [...]string{"policy", "list", "settings"}[c] }

// Spec describes one agent.
type Spec struct {
	Mode           Mode
	Name, Zone     string
	Zones          []string
	Listen         string          // host:port; "": any loopback port
	Seeds          []string        // FullMesh only: addresses of members to join
	Hubs           []hubclient.Hub // Hubs only
	Region         string          // Hubs only: the region whose hubs the agent prefers while its own hub is unreachable
	Label          string          // an agent with a different label is not a member of the fleet
	MaxMembers     int
	MeasureLatency bool     // FullMesh only: measure the round trips to all zones
	ListService    string   // host:port; "": the agent follows no endpoint lists
	PolicySource   bool     // this agent publishes the residency policy; see ApplyPolicy
	Network        *Network // nil: a network without faults
	// OnApplied is called when the agent has applied a version. It may be nil, must not block, and may be called from
	// several goroutines at once.
	OnApplied func(what Change, version int64, at time.Time)
}

// State is an agent's view of its fleet, and the versions that the agent has applied.
type State struct {
	Members                int     // agents in the fleet, this agent included; with hubs, the fleet size that the hubs publish
	Quota                  float64 // the agent's share of the in-flight limit; 0: none received yet
	MeasuredZones          int     // zones to which the agent has a round-trip time
	Policy, List, Settings int64   // applied versions; 0: none. Settings is always 0 in a full mesh
}

// Agent is a running simulated agent. Its methods may be called from any goroutine.
type Agent struct {
	spec            Spec
	wire            *wire
	client          fleetClient
	fleet           *fleet.Fleet      // nil in mode Hubs
	hubClient       *hubclient.Client // nil in mode FullMesh
	policyHolder    *residency.Holder
	watcher         *discovery.Watcher
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	quotaBits       atomic.Uint64 // math.Float64bits of the quota
	measuredZones   atomic.Int32
	listVersion     atomic.Int64
	policyVersion   atomic.Int64
	settingsVersion atomic.Int64
}

// fleetClient is an agent's connection to its fleet in either mode.
type fleetClient interface {
	source.Selector
	Run(ctx context.Context) error
	Addr() string
}

// Values that a real agent reads from its settings.
const (
	connectTimeout = time.Second
	maxPolicyAge   = 10 * time.Second
	listRate       = 50 // polls of the list service per second by all agents of the fleet together
)

// announcedVersion is the program version that simulated agents announce. Its length is part of the measured bytes.
const announcedVersion = "hollow"

// Start starts an agent. The caller ends it with Stop, or with Kill and Wait.
func Start(spec Spec) (*Agent, error) {
	if spec.Mode != FullMesh && spec.Mode != Hubs {
		return nil, fmt.Errorf("unknown mode %q", spec.Mode)
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
	callbacks := fleet.Callbacks{
		Quota:     func(quota float64) { a.quotaBits.Store(math.Float64bits(quota)) },
		Latencies: a.recordLatencies,
	}
	var err error
	if spec.Mode == Hubs {
		err = a.attachToHub(log, callbacks)
	} else {
		err = a.joinFullMesh(log, callbacks)
	}
	if err != nil {
		return nil, err
	}
	spec.Network.SetZone(a.client.Addr(), spec.Zone)
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.tasks.Go(func() { _ = a.client.Run(ctx) }) // may return an error after Kill, which closes the sockets
	if spec.ListService != "" {
		a.followLists(ctx, log)
	}
	return a, nil
}

// joinFullMesh makes the agent a member of a fleet without hubs.
func (a *Agent) joinFullMesh(log *slog.Logger, callbacks fleet.Callbacks) (err error) {
	spec := &a.spec
	a.fleet, err = fleet.New(fleet.Config{
		Name: spec.Name, Site: spec.Zone, Version: announcedVersion, Listen: spec.Listen, Seeds: spec.Seeds, Label: spec.Label,
		MaxMembers: spec.MaxMembers, RelayedLists: true, ListRate: listRate, MeasureLatency: spec.MeasureLatency, Log: log,
		Residency: a.policyHolder, PolicySource: spec.PolicySource, Wire: a.wire,
	}, spec.Zones, callbacks)
	a.client = a.fleet
	return err
}

// recordLatencies counts the zones that have a round-trip time, and stores the count.
func (a *Agent) recordLatencies(roundTrips []time.Duration, _ []float64) {
	measured := int32(0)
	for _, d := range roundTrips {
		if d > 0 {
			measured++
		}
	}
	a.measuredZones.Store(measured)
}

// followLists follows endpoint lists as a real agent does: it subscribes to the list service, and after each failure it
// subscribes again with exponential backoff and full jitter.
func (a *Agent) followLists(ctx context.Context, log *slog.Logger) {
	startedAt, failures := time.Now(), 0
	agentTime := func(t time.Time) time.Duration { return t.Sub(startedAt) }
	a.watcher = discovery.New(discovery.Config{
		Translator: discovery.Translator{Zones: a.spec.Zones, AgentTime: agentTime, Log: log},
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

// Spec returns the agent's specification, with the defaults that Start has filled in.
func (a *Agent) Spec() Spec { return a.spec }

// Addr returns the host:port at which other members reach the agent.
func (a *Agent) Addr() string { return a.client.Addr() }

// State returns the agent's current state.
func (a *Agent) State() State {
	state := State{
		Quota: a.Quota(), MeasuredZones: int(a.measuredZones.Load()),
		Policy: a.policyVersion.Load(), List: a.listVersion.Load(), Settings: a.settingsVersion.Load(),
	}
	if a.fleet != nil {
		state.Members = a.fleet.Count()
	} else {
		state.Members = int(a.hubClient.Status().FleetSize.Attached)
	}
	return state
}

// Quota returns the agent's current share of the in-flight limit. It returns 0 before the first quota arrives and after the
// agent has ended.
func (a *Agent) Quota() float64 {
	if a.wire.ended.Load() {
		return 0
	}
	return math.Float64frombits(a.quotaBits.Load())
}

// Members returns the agent's member list; nil in mode Hubs.
func (a *Agent) Members() []member.Member {
	if a.fleet == nil {
		return nil
	}
	return a.fleet.Members()
}

// ApplyPolicy applies a version of the residency policy, in TOML. The agent must have been started with PolicySource.
func (a *Agent) ApplyPolicy(version int64, text string) error {
	return a.policyHolder.Apply(version, text)
}

// Traffic returns the traffic of the agent's sockets since its start.
func (a *Agent) Traffic() Traffic { return a.wire.traffic() }

// Stop makes the agent leave its fleet, and returns when the agent's goroutines have ended.
func (a *Agent) Stop() {
	a.Resume()
	a.cancel()
	a.tasks.Wait()
	a.wire.kill()
}

// Kill ends the agent without a leave message, and closes its sockets. Wait returns when its goroutines have ended.
func (a *Agent) Kill() {
	a.wire.kill()
	a.Resume()
	if a.fleet != nil {
		_ = a.fleet.Abort() // its sockets are closed even if this fails
	}
	a.cancel()
}

// Wait waits until a killed agent's goroutines have ended.
func (a *Agent) Wait() { a.tasks.Wait() }

// Pause blocks the agent's sockets until Resume: received data waits in the kernel, data to be sent waits in the agent.
// Unlike a stopped process, a paused agent cannot detect the pause, because its timers continue.
func (a *Agent) Pause() { a.wire.pause() }

// Resume ends a Pause.
func (a *Agent) Resume() { a.wire.resume() }
