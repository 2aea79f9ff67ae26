// Package fleet connects a process, an agent or a hub, with the others of its fleet in a full mesh. From the shared state it
// derives the process's quota of the fleet's in-flight limit, the latency of the other sites, when the list service may be
// called, and which residency policy and settings are in force.
//
// The caller of Run owns the Fleet. Run starts these goroutines and waits for them:
//
//   - member.List: maintains the list of members, which has no age bound, and owns the sockets.
//   - runLoop: ticks the gossip store, recomputes the quota and the latencies, and calls the Callbacks.
//   - detectDead: checks failed members and publishes the dead ones.
//   - relay: an HTTP server for other members, with the endpoint list and the documents in force.
//   - latency.Prober: measures round trips, if MeasureLatency is set.
//   - shareDocuments: publishes the versions of documents and fetches later ones.
//
// The gossip.Store holds what members publish; an entry is used up to the age bound of its kind. One lock protects
// the state in Fleet and another lock protects the state in relay. No client request waits for this package, and an agent
// also serves requests without a fleet.
package fleet

// This file makes a fleet from its parts and runs it.

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"martenbeam/internal/fleet/documents"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/incarnation"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
	"martenbeam/internal/fleet/startup"
	"martenbeam/internal/residency"
)

// Config configures a Fleet.
type Config struct {
	Name, Site, Version string                // of this process; the site is its zone
	Listen, Advertise   string                // IP address and port, for UDP and TCP; Advertise "": Listen
	Seeds               []string              // addresses of other members, IP and port
	Label               string                // fleets with different labels do not mix
	MaxMembers          int                   // greatest number of agents in the fleet: the in-flight limit is divided among this many
	AwaitAddress        bool                  // if Listen is in use by this agent's predecessor, Run waits until it is free
	AgeBounds           gossip.AgeBounds      // nil: gossip.DefaultAgeBounds
	RelayedLists        bool                  // endpoint lists are relayed by a few members of each site
	ListRate            float64               // calls per second that the list service is assumed to sustain at first
	MeasureLatency      bool                  // round trips to other sites are measured and published
	Incarnations        incarnation.Allocator // allocates the incarnation of this process
	Log                 *slog.Logger
	Trace               io.Writer // receives a JSON line for each use or publication of a gossip entry, each change of quota and each latency matrix; nil: no trace

	Residency    *residency.Holder   // of the residency policy in force; nil: there is none
	PolicySource bool                // operators set the policy at this process, which publishes its version
	Settings     *documents.Document // settings that this process serves to others; nil: none

	Hub         bool         // this process is a hub, not an agent
	HTTPHandler http.Handler // serves HTTP requests to the fleet's address, except for documents and endpoint lists; nil: 404

	Listener  *net.TCPListener // a socket that is bound to Listen already, which the fleet closes; nil: one is opened
	StartedAt time.Time        // when this process started; zero: now
	Wire      member.Wire      // intercepts the traffic, for tests; nil: none
}

// Callbacks receive the values that a fleet derives for its agent. The fleet's runLoop calls the functions one at a time.
// They must not block, and each may be nil.
type Callbacks struct {
	// Quota receives this process's quota, a fraction of the fleet's in-flight limit from 0 to 1, when it changes.
	Quota func(quota float64)
	// Latencies receives the round trips from this site to each zone, and the loss from 0 to 1, when any changes. Both are 0
	// where they are unknown. The slices are not changed afterwards.
	Latencies func(rtts []time.Duration, lossRates []float64)
}

// Fleet is a process's membership of its fleet. Its methods may be called from any goroutine.
type Fleet struct {
	cfg         Config
	callbacks   Callbacks
	zones       []string
	store       *gossip.Store
	members     *member.List
	prober      *latency.Prober
	pacer       *startup.Pacer
	relay       *relay
	changed     chan struct{} // signals a change of the members to runLoop; buffers at most one signal
	startedAt   time.Time
	gossipBytes atomic.Int64 // bytes of gossip messages sent since the last summary
	documents   []sharedDocument

	mu                sync.Mutex // protects all below
	firstPeerJoinedAt time.Time  // when runLoop first observed that another member had joined
	quota             float64    // last passed to Callbacks.Quota; -1 before the first call
	rtts              []time.Duration
	lossRates         []float64
	matrix            latency.Matrix // built for matrixView and matrixChanges
	matrixView        *member.View
	matrixChanges     uint64 // see gossip.Store.Changes
	matrixBuilds      int    // for tests
	ready             bool   // Ready was called
}

// New opens the fleet's sockets. zones are the sites in the order in which Callbacks.Latencies receives them. It returns an
// error if an address is invalid or in use; see member.New. Abort has to be called on a Fleet that is not run.
func New(cfg Config, zones []string, callbacks Callbacks) (*Fleet, error) {
	listen, advertise, err := cfg.addresses()
	if err != nil {
		return nil, err
	}
	if cfg.AgeBounds == nil {
		cfg.AgeBounds = gossip.DefaultAgeBounds
	}
	if cfg.HTTPHandler == nil {
		cfg.HTTPHandler = http.NotFoundHandler()
	}
	f := &Fleet{cfg: cfg, documents: cfg.sharedDocuments(), callbacks: callbacks, zones: zones, changed: make(chan struct{}, 1),
		startedAt: cmp.Or(cfg.StartedAt, time.Now()), quota: -1}
	incarnationNumber := cfg.Incarnations.Next()
	f.store = gossip.New(cfg.Name, incarnationNumber, cfg.AgeBounds, f.traceUse)
	f.relay = newRelay(f)
	if f.members, err = member.New(f.memberConfig(listen, advertise, incarnationNumber)); err != nil {
		return nil, err
	}
	f.prober = latency.New(latency.Config{Name: cfg.Name, Site: cfg.Site, Label: cfg.Label, View: f.members.View,
		Send: f.members.SendProbe, Store: f.store})
	f.pacer = startup.New(startup.Config{Rate: cfg.ListRate, Store: f.store,
		HasPeers: func() bool { return f.members.PeerJoins() > 0 }})
	return f, nil
}

// addresses parses Listen and Advertise. An error names the setting that is invalid.
func (c *Config) addresses() (listen, advertise netip.AddrPort, err error) {
	if listen, err = netip.ParseAddrPort(c.Listen); err != nil {
		return listen, advertise, fmt.Errorf("fleet.listen: %w", err)
	}
	if c.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(c.Advertise); err != nil {
			return listen, advertise, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	return listen, advertise, nil
}

// memberConfig returns the configuration of the member list, whose callbacks pass received data to the parts of the fleet.
// HandleProbe reads f.prober when it is called, because New sets f.prober after it has made the list.
func (f *Fleet) memberConfig(listen, advertise netip.AddrPort, incarnationNumber uint64) member.Config {
	cfg := &f.cfg
	return member.Config{
		Name: cfg.Name, Listen: listen, Advertise: advertise, Seeds: cfg.Seeds, Label: cfg.Label,
		MaxMembers: cfg.MaxMembers, AwaitAddress: cfg.AwaitAddress, Log: cfg.Log, Listener: cfg.Listener, Wire: cfg.Wire,
		Meta: member.Meta{Site: cfg.Site, Version: cfg.Version, Incarnation: incarnationNumber, Hub: cfg.Hub},

		Merge:       f.mergeGossip,
		NextMessage: f.nextGossip,
		ObserveRTT:  f.store.ObserveRTT,
		Changed:     f.membersChanged,
		HandleProbe: func(data []byte, from netip.AddrPort, receivedAt time.Time) {
			f.prober.HandleDatagram(data, from, receivedAt)
		},
		ServeConn: f.relay.serveConn,
	}
}

// mergeGossip stores the entries of a gossip message from another member.
func (f *Fleet) mergeGossip(data []byte) {
	if err := f.store.Merge(data); err != nil {
		f.cfg.Log.Debug("malformed gossip message", "error", err)
	}
}

// nextGossip returns a gossip message of at most limit bytes for another member, or nil, and counts its bytes as sent.
func (f *Fleet) nextGossip(limit, members int) []byte {
	data := f.store.NextMessage(limit, members)
	f.gossipBytes.Add(int64(len(data)))
	return data
}

// membersChanged signals runLoop that the members have changed.
func (f *Fleet) membersChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Addr returns the address, IP and port, at which others reach this process.
func (f *Fleet) Addr() string { return f.members.Addr().String() }

// Run joins the fleet, stays in it until ctx ends, and leaves it. It returns after all its goroutines have ended. If the
// member list cannot be started, Run returns the error without waiting for ctx. If this process has to leave because another
// process has the same name, Run continues without members until ctx ends. It may be called once.
func (f *Fleet) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks.Go(func() { f.runLoop(ctx) })
	tasks.Go(func() { f.detectDead(ctx) })
	tasks.Go(func() { f.relay.run(ctx) })
	if f.cfg.MeasureLatency {
		tasks.Go(func() { f.prober.Run(ctx) })
	}
	if len(f.documents) > 0 {
		tasks.Go(func() { f.shareDocuments(ctx) })
	}
	err := f.members.Run(ctx)
	if ctx.Err() == nil && err == nil { // the process left because of a name conflict
		<-ctx.Done()
	}
	return err
}

// Ready publishes that this process has an endpoint list and serves. Calls after the first have no effect.
func (f *Fleet) Ready() {
	f.mu.Lock()
	wasReady := f.ready
	f.ready = true
	f.mu.Unlock()
	if !wasReady {
		f.members.SetPhase(member.Serving)
		f.cfg.Log.Info("start", "step", "serving", "members", f.members.View().Len(), "took", time.Since(f.startedAt))
	}
}

// runLoop ticks the gossip store and recomputes the quota and the latencies, until ctx ends. It starts a round on each tick,
// at once after a change of the members, and when a latency row expires. The latencies are recomputed in every second round
// and when a latency row expires.
func (f *Fleet) runLoop(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	rowExpiry := time.NewTimer(0) // fires when a latency row expires, so that the matrix is rebuilt without the row before the next tick
	defer rowExpiry.Stop()
	for n := 0; ; n++ {
		latenciesDue := n%2 == 0
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			f.logSummary()
		case <-f.changed:
		case <-tick.C:
		case <-rowExpiry.C:
			latenciesDue = true
		}
		f.store.Tick()
		f.recomputeQuota()
		if f.cfg.MeasureLatency && latenciesDue {
			f.publishLatencies()
			_, until := f.store.Changes(gossip.LatencyRow)
			rowExpiry.Reset(max(time.Millisecond, time.Until(until)))
		}
	}
}
