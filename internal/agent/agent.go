// Package agent is the real agent around the decision module: it turns what happens on sockets
// into the module's events and carries out its actions, in order. It decides nothing about
// requests: it neither picks backends nor retries, holds or refuses.
//
// The loop (loop.go) owns the module. The front (front.go) serves clients: clientconn reads their connections, request.go checks
// what came, reply.go answers. backends.go holds the connections to backends, attempt.go and probe.go use them, stream.go passes large
// bodies and answers through. discovery follows the list, peers.go exchanges datagrams with other agents, operations takes operators'
// calls, and successor.go tells the next process what it must know (handover).
package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/admin"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/listener"
	"martenbeam/internal/fleet/source"
)

// Agent is one agent, ready to run.
type Agent struct {
	cfg            *Config
	log            *slog.Logger
	loop           *eventLoop
	frontend       *frontend
	pool           *upstreamPool
	discovery      *discovery.Watcher
	admin          *admin.Server // nil: operators can't call
	hotRestart     *hotRestart   // nil: no process of this agent replaces another
	fleet          Fleet         // nil: it has no fleet
	listener       *listener.Limited
	listenerClosed bool                    // the listener; stop's
	drainTimeout   time.Duration           // after a SIGTERM the last answers are out
	acceptWindow   func() <-chan time.Time // ends the time in which a stopping agent takes connections
}

// New listens and sets up an agent. Clients are served once Run is called. It waits for an address that another process
// still has, until ctx ends.
func New(ctx context.Context, cfg *Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, pool: newUpstreamPool(cfg, log),
		acceptWindow: func() <-chan time.Time { return time.After(acceptWindowAfterStop) },
		drainTimeout: min(cfg.maxDeadline(), maxDrainDeadline) + drainSlack}
	clk := newClock()
	var err error
	if a.loop, err = newEventLoop(cfg, clk, a.pool, log); err != nil {
		return nil, err
	}
	if err = a.joinFleet(); err != nil {
		return nil, err
	}
	var sources source.Selector
	if a.fleet != nil && cfg.Settings.Subscribe {
		sources = a.fleet
	}
	a.discovery = discovery.New(discovery.Config{
		Sources:    sources,
		Translator: discovery.Translator{Zones: cfg.Site.Zones, Kinds: cfg.Site.Kinds, AgentTime: clk.at, Log: log},
		Addr:       cfg.Discovery, Polled: cfg.Settings.Subscribe, ConnectTimeout: cfg.Settings.ConnectTimeout,
		Deliver: func(u discovery.Update) { a.loop.post(u) }})
	a.loop.subscribe = a.discovery.Subscribe
	if cfg.Settings.GossipAllowed {
		if a.loop.peers, err = newPeerTransport(ctx, cfg, log); err != nil {
			return nil, err
		}
	}
	a.frontend = newFrontend(cfg, a.loop, log)
	a.frontend.residency = a.loop.residency
	if cfg.AdminAddr != "" {
		if a.admin, err = admin.New(ctx, cfg.AdminAddr, maxAdminConns, adminControl{a.loop, a.frontend}, log); err != nil {
			return nil, err
		}
	}
	ln, err := a.openListener(ctx)
	if err != nil {
		return nil, err
	}
	a.listener = listener.Limit(ln, maxAcceptedConns(cfg.shareableDescriptors()))
	a.listener.OnFull, a.listener.OnAcceptError = a.frontend.idleConns.EvictIdle, func(err error) { log.Warn("accepting clients fails", "error", err) }
	if cfg.ListenFD > 0 {
		a.prepareHandover(ctx)
	}
	return a, nil
}

// openListener returns where clients connect.
func (a *Agent) openListener(ctx context.Context) (*net.TCPListener, error) {
	if a.cfg.ListenFD > 0 {
		return listener.Inherited(ctx, a.cfg.ListenFD)
	}
	ln, err := listener.ListenTCP(ctx, a.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// Addr is where clients connect.
func (a *Agent) Addr() net.Addr { return a.listener.Addr() }

// SetDiscoveryAddr has the agent watch discovery at another address.
func (a *Agent) SetDiscoveryAddr(addr string) {
	a.log.Info("discovery has moved", "address", addr)
	a.discovery.SetAddr(addr)
}

// Run serves until stop ends, then finishes what was taken and returns.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background()) // everything goes on through the drain
	defer a.pool.close()
	if a.hotRestart != nil {
		defer a.hotRestart.Close() // a younger process is alone then; nothing here looks at its locks any more
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	if a.admin != nil { // before what may wait: a call has its answer, if only a no
		running.Go(func() { a.admin.Run(ctx) })
	}
	if a.hotRestart != nil {
		a.restoreState(stop)
	}
	if a.cfg.CachedEndpoints != nil && len(a.cfg.CachedEndpoints.Endpoints) > 0 {
		a.loop.apply(a.discovery.Restore(a.cfg.CachedEndpoints))
	} else {
		a.loop.apply(discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateCached}}) // the module asks after it
	}
	endpointCount := len(a.pool.endpoints) // from here on the loop owns the list
	running.Go(func() { a.loop.run(ctx) })
	running.Go(func() { a.discovery.Run(ctx) })
	running.Go(func() { a.pool.closeExpired(ctx) })
	if a.fleet != nil {
		running.Go(func() { a.runFleet(ctx) })
	}
	peersCtx, stopPeers := context.WithCancel(ctx)
	defer stopPeers()
	if a.loop.peers != nil {
		running.Go(func() { a.loop.peers.run(peersCtx, a.loop.post) })
	}
	if a.admin != nil || a.hotRestart != nil {
		running.Go(func() { a.frontend.closeIdleWhileDraining(ctx) })
	}
	if a.hotRestart != nil {
		running.Go(func() { a.runHotRestart(ctx) })
		a.awaitEndpoints(stop)
	}
	a.frontend.accepting.Store(true)
	served := make(chan error, 1)
	go func() { served <- a.frontend.serve(a.listener) }()
	if a.fleet != nil && !a.cfg.Settings.Subscribe {
		a.fleet.Ready()
	}
	a.log.Info("serving", "listen", a.listener.Addr().String(), "backends", endpointCount)
	select {
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	case <-stop.Done():
	}
	if a.hotRestart != nil {
		stopPeers() // the peers' address is the successor's
	}
	a.drain(served)
	return nil // a stop that was asked for is no failure
}
