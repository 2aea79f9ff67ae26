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
	cfg        *Config
	log        *slog.Logger
	loop       *loop
	front      *front
	backends   *backends
	discovery  *discovery.Watcher
	operations *admin.Server // nil: operators can't call
	successor  *successor    // nil: no process of this agent replaces another
	fleet      Fleet         // nil: it has no fleet
	listener   *listener.Limited
	closed     bool                    // the listener; stop's
	stopIn     time.Duration           // after a SIGTERM the last answers are out
	accept     func() <-chan time.Time // ends the time in which a stopping agent takes connections
}

// New listens and sets up an agent. Clients are served once Run is called. It waits for an address that another process
// still has, until ctx ends.
func New(ctx context.Context, cfg *Config, log *slog.Logger) (*Agent, error) {
	a := &Agent{cfg: cfg, log: log, backends: newBackends(cfg, log),
		accept: func() <-chan time.Time { return time.After(acceptAfterStop) },
		stopIn: min(cfg.longest(), longestKept) + stopSlack}
	ck := newClock()
	var err error
	if a.loop, err = newLoop(cfg, ck, a.backends, log); err != nil {
		return nil, err
	}
	if err = a.join(); err != nil {
		return nil, err
	}
	var sources source.Sources
	if a.fleet != nil && cfg.Settings.Subscribe {
		sources = a.fleet
	}
	a.discovery = discovery.New(discovery.Config{
		Sources:    sources,
		Translator: discovery.Translator{Zones: cfg.Site.Zones, Kinds: cfg.Site.Kinds, AgentTime: ck.at, Log: log},
		Addr:       cfg.Discovery, Polled: cfg.Settings.Subscribe, ConnectTimeout: cfg.Settings.ConnectTimeout,
		Deliver: func(u discovery.Update) { a.loop.post(u) }})
	a.loop.watch = a.discovery.Subscribe
	if cfg.Settings.Peers {
		if a.loop.peers, err = newPeers(ctx, cfg, log); err != nil {
			return nil, err
		}
	}
	a.front = newFront(cfg, a.loop, log)
	a.front.residency = a.loop.residency
	if cfg.Mgmt != "" {
		if a.operations, err = admin.New(ctx, cfg.Mgmt, operationsSockets, operated{a.loop, a.front}, log); err != nil {
			return nil, err
		}
	}
	ln, err := a.listen(ctx)
	if err != nil {
		return nil, err
	}
	a.listener = listener.Limit(ln, acceptSockets(cfg.shareable()))
	a.listener.OnFull, a.listener.OnAcceptError = a.front.waiting.EvictIdle, func(err error) { log.Warn("accepting clients fails", "error", err) }
	if cfg.ListenFD > 0 {
		a.prepareHandover(ctx)
	}
	return a, nil
}

// listen returns where clients connect.
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

// Addr is where clients connect.
func (a *Agent) Addr() net.Addr { return a.listener.Addr() }

// Follow has the agent watch discovery at another address.
func (a *Agent) Follow(addr string) {
	a.log.Info("discovery has moved", "address", addr)
	a.discovery.SetAddr(addr)
}

// Run serves until stop ends, then finishes what was taken and returns.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background()) // everything goes on through the drain
	defer a.backends.close()
	if a.successor != nil {
		defer a.successor.Close() // a younger process is alone then; nothing here looks at its locks any more
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	if a.operations != nil { // before what may wait: a call has its answer, if only a no
		running.Go(func() { a.operations.Run(ctx) })
	}
	if a.successor != nil {
		a.inherit(stop)
	}
	if a.cfg.Known != nil && len(a.cfg.Known.Endpoints) > 0 {
		a.loop.take(a.discovery.Restore(a.cfg.Known))
	} else {
		a.loop.take(discovery.Update{Endpoints: balancer.List{Kind: balancer.ListCached}}) // the module asks after it
	}
	known := len(a.backends.listed) // from here on the loop owns the list
	running.Go(func() { a.loop.run(ctx) })
	running.Go(func() { a.discovery.Run(ctx) })
	running.Go(func() { a.backends.reap(ctx) })
	if a.fleet != nil {
		running.Go(func() { a.stayInFleet(ctx) })
	}
	heard, deaf := context.WithCancel(ctx)
	defer deaf()
	if a.loop.peers != nil {
		running.Go(func() { a.loop.peers.run(heard, a.loop.post) })
	}
	if a.operations != nil || a.successor != nil {
		running.Go(func() { a.front.empty(ctx) })
	}
	if a.successor != nil {
		running.Go(func() { a.share(ctx) })
		a.awaitList(stop)
	}
	a.front.taking.Store(true)
	served := make(chan error, 1)
	go func() { served <- a.front.serve(a.listener) }()
	if a.fleet != nil && !a.cfg.Settings.Subscribe {
		a.fleet.Ready()
	}
	a.log.Info("serving", "listen", a.listener.Addr().String(), "backends", known)
	select {
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	case <-stop.Done():
	}
	if a.successor != nil {
		deaf() // the peers' address is the successor's
	}
	a.stop(served)
	return nil // a stop that was asked for is no failure
}
