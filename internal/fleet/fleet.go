// Package fleet is what an agent shares with the others of its fleet: who is there (member), what they know together
// and how old that is (fact), whose turn it is at the list service (start), how far sites are from each other
// (distance), which part of the in-flight limit is whose, and which residency policy is in force.
//
// Each of these is a task of its own, written straight down. An agent serves without any of them: nothing on a
// request's path waits here, and what is told to the agent has an age and a bound.
package fleet

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

// Config is a process's place in its fleet.
type Config struct {
	Name, Site, Version string
	Listen, Advertise   string   // addresses, UDP and TCP; Advertise may be ""
	Seeds               []string // addresses
	Label               string
	MaxMembers          int  // most processes that the fleet has
	AwaitAddress        bool // Listen may be held by an older process of this agent
	AgeBounds           gossip.AgeBounds
	RelayedLists        bool                  // lists come by way of a few members of a site
	ListRate            float64               // calls a second that the list service is taken to bear at first
	MeasureLatency      bool                  // round trips are measured, and told
	Incarnations        incarnation.Allocator // numbers the processes of the name
	Log                 *slog.Logger
	Trace               io.Writer // a line for each fact used or told, and for each part taken; nil: none

	Residency    *residency.Holder   // nil: none
	PolicySource bool                // of the residency policy
	Settings     *documents.Document // that this process holds for others; nil: none

	Hub         bool         // this process is a hub, and no agent
	HTTPHandler http.Handler // of HTTP on the fleet's address, but for texts and lists; nil: none

	Listener  *net.TCPListener // at Listen, if it is held already: the fleet closes it
	StartedAt time.Time        // when this process began; zero: now
	Wire      member.Wire      // nil: sockets are used as they are
}

// Callbacks is what a fleet tells its agent, by tasks of its own. Each must not wait.
type Callbacks struct {
	Quota     func(part float64)                         // of the fleet's in-flight limit, from 0 to 1
	Latencies func(trip []time.Duration, loss []float64) // from this site to each zone; 0: not known, the loss too
}

// Fleet is a process's place in its fleet. It must be run.
type Fleet struct {
	cfg         Config
	callbacks   Callbacks
	zones       []string
	store       *gossip.Store
	members     *member.List
	prober      *latency.Prober
	pacer       *startup.Pacer
	relay       *relay
	changed     chan struct{} // who is there has changed, at most one waiting
	startedAt   time.Time
	gossipBytes atomic.Int64 // bytes
	documents   []sharedDocument

	mu            sync.Mutex
	peersMetAt    time.Time // when anyone was first met
	quota         float64
	rtts          []time.Duration
	lossRates     []float64
	matrix        latency.Matrix
	matrixView    *member.View // the matrix was, and of facts that have changed so often
	matrixChanges uint64
	matrixBuilds  int
	ready         bool
}

// New listens. zones are the sites, in the order in which the module counts them.
func New(cfg Config, zones []string, callbacks Callbacks) (*Fleet, error) {
	listen, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	var advertise netip.AddrPort
	if cfg.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(cfg.Advertise); err != nil {
			return nil, fmt.Errorf("fleet.advertise: %w", err)
		}
	}
	if cfg.AgeBounds == nil {
		cfg.AgeBounds = gossip.DefaultAgeBounds
	}
	if cfg.HTTPHandler == nil {
		cfg.HTTPHandler = http.NotFoundHandler()
	}
	f := &Fleet{cfg: cfg, documents: cfg.sharedDocuments(), callbacks: callbacks, zones: zones, changed: make(chan struct{}, 1), startedAt: cmp.Or(cfg.StartedAt, time.Now()), quota: -1}
	processNumber := cfg.Incarnations.Next()
	f.store = gossip.New(cfg.Name, processNumber, cfg.AgeBounds, f.traceUse)
	f.relay = newRelay(f)
	f.members, err = member.New(member.Config{Name: cfg.Name, Listen: listen, Advertise: advertise, Seeds: cfg.Seeds, Label: cfg.Label, MaxMembers: cfg.MaxMembers, AwaitAddress: cfg.AwaitAddress, Listener: cfg.Listener,
		Meta: member.Meta{Site: cfg.Site, Version: cfg.Version, Incarnation: processNumber, Hub: cfg.Hub}, Log: cfg.Log,
		Merge: func(data []byte) {
			if err := f.store.Merge(data); err != nil {
				cfg.Log.Debug("a message of the fleet makes no sense", "error", err)
			}
		},
		NextMessage: func(limit, members int) []byte {
			data := f.store.NextMessage(limit, members)
			f.gossipBytes.Add(int64(len(data)))
			return data
		},
		ObserveRTT: f.store.ObserveRTT,
		Changed: func() {
			select {
			case f.changed <- struct{}{}:
			default:
			}
		},
		HandleProbe: func(data []byte, from netip.AddrPort, at time.Time) { f.prober.HandleDatagram(data, from, at) },
		ServeConn:   f.relay.serveConn,
		Wire:        cfg.Wire,
	})
	if err != nil {
		return nil, err
	}
	f.prober = latency.New(latency.Config{Name: cfg.Name, Site: cfg.Site, Label: cfg.Label, View: f.members.View, Send: f.members.SendProbe, Store: f.store})
	f.pacer = startup.New(startup.Config{Rate: cfg.ListRate, HasPeers: func() bool { return f.members.PeersMet() > 0 }, Store: f.store})
	return f, nil
}

// Addr is where others reach this process.
func (f *Fleet) Addr() string { return f.members.Addr().String() }

// Run stays in the fleet until ctx ends.
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
	if ctx.Err() == nil && err == nil { // it left for another with its name
		<-ctx.Done()
	}
	return err
}

// Ready tells the others that this process has a list, and serves.
func (f *Fleet) Ready() {
	f.mu.Lock()
	before := f.ready
	f.ready = true
	f.mu.Unlock()
	if !before {
		f.members.SetPhase(member.Serving)
		f.cfg.Log.Info("start", "step", "serving", "members", f.members.View().Len(), "took", time.Since(f.startedAt))
	}
}

// runLoop keeps ages, and what follows from who is there and what is known.
func (f *Fleet) runLoop(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	rowExpiry := time.NewTimer(0) // a row may have gone past its bound: no matrix that rests on it stands for another tick
	defer rowExpiry.Stop()
	for n := 0; ; n++ {
		due := n%2 == 0
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			f.logSummary()
		case <-f.changed:
		case <-tick.C:
		case <-rowExpiry.C:
			due = true
		}
		f.store.Tick()
		f.recomputeQuota()
		if f.cfg.MeasureLatency && due {
			f.publishLatencies()
			_, until := f.store.Changes(gossip.LatencyRow)
			rowExpiry.Reset(max(time.Millisecond, time.Until(until)))
		}
	}
}
