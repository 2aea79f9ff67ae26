// Package agent runs the load balancer against real sockets. It turns socket activity into events for the balancer
// (package balancer) and performs the actions that the balancer returns, in their order. It makes no decisions about
// requests: the balancer chooses backends, retries, queues and sheds load.
//
// Each part owns its state:
//
//   - the event loop (eventloop.go) owns the balancer, the timers and the open requests;
//   - the frontend (frontend.go, request.go, reply.go) serves clients over connections of package clientconn;
//   - package upstream owns the connections to backends and makes the attempts;
//   - package discovery watches the endpoint list, package peers exchanges datagrams with the other agents;
//   - package admin receives admin calls, package hotrestart coordinates this process with the next one of the same agent.
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
	"martenbeam/internal/agent/hotrestart"
	"martenbeam/internal/agent/listener"
	"martenbeam/internal/agent/peers"
	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/fleet/source"
)

// Agent is one agent process. New sets it up and Run serves clients; a process calls each of them once.
type Agent struct {
	cfg            *Config
	log            *slog.Logger
	loop           *eventLoop
	frontend       *frontend
	pool           *upstream.Pool
	discovery      *discovery.Watcher
	admin          *admin.Server           // nil: no admin listener
	hotRestart     *hotrestart.Coordinator // nil: no other process replaces this one while it runs
	fleet          Fleet                   // nil: the agent belongs to no fleet
	listener       *listener.Limited
	listenerClosed bool                    // set by closeListener
	drainTimeout   time.Duration           // from SIGTERM until the last replies have to be written
	acceptWindow   func() <-chan time.Time // called at the start of a drain; its channel fires when accepting may end
}

// New opens the agent's sockets and sets the agent up; Run then serves clients. While another process still holds an
// address, New retries until ctx ends. An error names the socket or setting that failed.
func New(ctx context.Context, cfg *Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, pool: upstream.New(cfg.poolConfig(), log),
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
	a.discovery = a.newWatcher(clk)
	a.loop.subscribe = a.discovery.Subscribe
	if cfg.Settings.GossipAllowed {
		peersCfg := peers.Config{Listen: cfg.PeerListen, Addrs: cfg.Peers, AwaitAddr: cfg.ListenFD > 0}
		if a.loop.peers, err = peers.New(ctx, peersCfg, log); err != nil {
			return nil, err
		}
	}
	a.frontend = newFrontend(cfg, a.loop, log)
	a.frontend.residency = a.loop.residency
	resources := &resourceLog{log: log}
	a.loop.logResources = func(stepDelay time.Duration) { resources.write(a.frontend, stepDelay) }
	if cfg.AdminAddr != "" {
		if a.admin, err = admin.New(ctx, cfg.AdminAddr, maxAdminConns, adminControl{a.loop, a.frontend}, log); err != nil {
			return nil, err
		}
	}
	if err = a.openListener(ctx); err != nil {
		return nil, err
	}
	if cfg.ListenFD > 0 {
		a.prepareHandover(ctx)
	}
	return a, nil
}

// newWatcher returns a watcher of the endpoint list that posts its updates to the event loop.
func (a *Agent) newWatcher(clk clock) *discovery.Watcher {
	var sources source.Selector
	if a.fleet != nil && a.cfg.Settings.Subscribe {
		sources = a.fleet
	}
	return discovery.New(discovery.Config{
		Sources:    sources,
		Translator: discovery.Translator{Zones: a.cfg.Site.Zones, Kinds: a.cfg.Site.Kinds, AgentTime: clk.at, Log: a.log},
		Addr:       a.cfg.Discovery, Polled: a.cfg.Settings.Subscribe, ConnectTimeout: a.cfg.Settings.ConnectTimeout,
		Deliver: func(u discovery.Update) { a.loop.post(endpointsUpdated{u}) }})
}

// openListener opens the listener for clients, or uses the listening socket that the platform passes on. At most
// maxAcceptedConns accepted connections are open at once; while more connections wait to be accepted, the agent closes idle
// connections.
func (a *Agent) openListener(ctx context.Context) error {
	ln, err := a.listen(ctx)
	if err != nil {
		return err
	}
	a.listener = listener.Limit(ln, maxAcceptedConns(a.cfg.shareableDescriptors()))
	a.listener.OnFull = a.frontend.idleConns.EvictIdle
	a.listener.OnAcceptError = func(err error) { a.log.Warn("accept failed", "error", err) }
	return nil
}

func (a *Agent) listen(ctx context.Context) (*net.TCPListener, error) {
	if a.cfg.ListenFD > 0 {
		return listener.Inherited(ctx, a.cfg.ListenFD)
	}
	ln, err := listener.ListenTCP(ctx, a.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// Addr returns the address to which clients connect.
func (a *Agent) Addr() net.Addr { return a.listener.Addr() }

// SetDiscoveryAddr makes the agent watch discovery at another address. It may be called while the agent runs.
func (a *Agent) SetDiscoveryAddr(addr string) {
	a.log.Info("discovery address changed", "address", addr)
	a.discovery.SetAddr(addr)
}

// Run serves clients until stop ends, then answers the accepted requests and returns nil. It returns an error only if the
// listener fails. All goroutines that Run starts have ended when it returns.
func (a *Agent) Run(stop context.Context) error {
	// ctx outlives stop, because the agent's tasks keep running during the drain.
	ctx, cancel := context.WithCancel(context.Background())
	defer a.pool.Close()
	if a.hotRestart != nil {
		defer a.hotRestart.Close() // after all tasks have ended, because they use the handover locks
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	if a.admin != nil { // started first: the steps below may block, but each admin call needs a reply, if only an error
		running.Go(func() { a.admin.Run(ctx) })
	}
	if a.hotRestart != nil {
		a.restoreState(stop)
	}
	endpointCount := a.applyCachedEndpoints()
	peersCtx, stopPeers := context.WithCancel(ctx)
	defer stopPeers()
	a.startTasks(ctx, peersCtx, &running)
	if a.hotRestart != nil {
		running.Go(func() { a.hotRestart.Run(ctx, restartedProcess{a}) })
		a.awaitEndpoints(stop)
	}
	a.frontend.accepting.Store(true)
	if stop.Err() != nil {
		a.startDrain() // the first replies already close their connections
	}
	served := make(chan error, 1)
	go func() { served <- a.frontend.serve(a.listener) }()
	a.announce(endpointCount)
	select {
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	case <-stop.Done():
	}
	if a.hotRestart != nil {
		stopPeers() // so that the successor can bind the address for peers
	}
	a.drain(served)
	return nil // a requested stop is not an error
}

// announce notifies the fleet and logs that the agent serves clients.
func (a *Agent) announce(endpointCount int) {
	if a.fleet != nil && !a.cfg.Settings.Subscribe {
		a.fleet.Ready()
	}
	a.log.Info("serving", "listen", a.listener.Addr().String(), "backends", endpointCount)
}

// applyCachedEndpoints applies the cached endpoint list, if any, and returns the number of endpoints in the pool. Run calls
// it before the event loop starts, because the event loop owns the list afterwards.
func (a *Agent) applyCachedEndpoints() int {
	if a.cfg.CachedEndpoints != nil && len(a.cfg.CachedEndpoints.Endpoints) > 0 {
		a.loop.apply(endpointsUpdated{a.discovery.Restore(a.cfg.CachedEndpoints)})
	} else { // with an empty list, the balancer polls for a list if the settings allow a watch
		a.loop.apply(endpointsUpdated{discovery.Update{Endpoints: balancer.EndpointUpdate{Kind: balancer.UpdateCached}}})
	}
	return a.pool.EndpointCount()
}

// startTasks starts the agent's goroutines. The exchange with peers runs until peersCtx ends, the other goroutines run until
// ctx ends.
func (a *Agent) startTasks(ctx, peersCtx context.Context, running *sync.WaitGroup) {
	running.Go(func() { a.loop.run(ctx) })
	running.Go(func() { a.discovery.Run(ctx) })
	running.Go(func() { a.pool.CloseExpired(ctx) })
	if a.fleet != nil {
		running.Go(func() { a.runFleet(ctx) })
	}
	if a.loop.peers != nil {
		running.Go(func() { a.loop.peers.Run(peersCtx, func(m balancer.GossipReceived) { a.loop.post(balancerEvent{m}) }) })
	}
	if a.admin != nil || a.hotRestart != nil {
		running.Go(func() { a.frontend.closeIdleWhileLameDuck(ctx) })
	}
}
