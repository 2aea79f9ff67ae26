// Package hubd assembles the process of a hub from its configuration:
//
//   - the settings and the residency policy: a holder for each, which loads the stored version and, if a file is
//     configured, watches the file;
//   - fleet.Fleet: the hub's membership among the hubs, their gossip, the replication of the two documents, and the
//     relaying of the endpoint list;
//   - hub.Server: the agents attached to this hub. The fleet passes the Server the HTTP requests that the fleet does not
//     serve itself; the Server reads and publishes gossip entries through the fleet;
//   - discovery.Watcher, if a list service is configured: it watches the list service and passes the endpoint list to the
//     fleet, which relays it to agents. The hub does not use the list itself.
//
// The package has no state: the holders own the documents, and the Server and the Fleet own the state that their packages
// document. All of them are safe for concurrent use. Settings have no age bound, and a lower version never
// replaces a higher one. The policy's age is the time since a source confirmed it; the Server publishes the policy's
// version up to the age bound of gossip.ResidencyVersion. Hub.Run owns all goroutines and waits for them.
package hubd

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/config"
	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/incarnation"
	"martenbeam/internal/residency"
	"martenbeam/internal/settings"
)

const connectTimeout = 250 * time.Millisecond // to the list service

// Hub is the process of a hub. Create it with New and run it with Run.
type Hub struct {
	cfg      *config.Hub
	log      *slog.Logger
	trace    *os.File // nil: none
	settings *settings.Holder
	policy   *residency.Holder
	server   *hub.Server
	fleet    *fleet.Fleet
}

// New loads the stored documents and listens on the hub's fleet address. The hub sends programVersion to agents and to
// other hubs. New returns an error if it cannot use an address or open the trace file.
func New(cfg *config.Hub, programVersion string, log *slog.Logger) (*Hub, error) {
	h := &Hub{cfg: cfg, log: log}
	h.loadDocuments()
	var trace io.Writer
	if cfg.Trace != "" {
		var err error
		if h.trace, err = os.OpenFile(cfg.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
		trace = h.trace
	}
	bounds := ageBounds(cfg)
	document := settings.Document(h.settings)
	incarnations := incarnation.Allocator{
		Dir:  incarnation.Dir(cfg.Label, cfg.Settings.State, cfg.Residency.State),
		Name: cfg.Name, Log: log,
	}
	h.server = hub.New(hub.Config{
		Name: cfg.Name, Label: cfg.Label, ProgramVersion: programVersion, Incarnation: incarnations.Next(),
		MaxAgents: cfg.MaxAgents, AdmitRate: cfg.AdmitRate, AgeBounds: bounds,
		Settings: document, Policy: fleet.PolicyDocument(h.policy), PolicyAge: h.policy.ConfirmedAge,
		Log: log, Trace: trace,
	})
	var err error
	h.fleet, err = fleet.New(fleet.Config{
		Name: cfg.Name, Site: cfg.Zone, Version: programVersion, Label: cfg.Label,
		Listen: cfg.Listen, Advertise: cfg.Advertise, Seeds: cfg.Seeds,
		MaxMembers: cfg.MaxAgents, Incarnations: incarnations, AgeBounds: bounds,
		ListRate: cfg.ListRate, MeasureLatency: cfg.Matrix,
		Residency: h.policy, PolicySource: cfg.Residency.File != "", Settings: document,
		Hub: true, HTTPHandler: h.server, Log: log, Trace: trace,
	}, cfg.Zones.Names, fleet.Callbacks{})
	return h, err
}

// ageBounds returns the default age bounds, overridden by the configured ones.
func ageBounds(cfg *config.Hub) gossip.AgeBounds {
	bounds := gossip.AgeBounds{}
	for kind, bound := range gossip.DefaultAgeBounds {
		bounds[kind] = bound
		if configured, ok := cfg.MaxAge[kind.String()]; ok {
			bounds[kind] = configured.Duration()
		}
	}
	return bounds
}

// loadDocuments creates the holders of the settings and of the policy, each with the stored version if there is one. If a
// stored version is unusable, loadDocuments logs an error and the hub starts without it, because other hubs have it.
func (h *Hub) loadDocuments() {
	settingsCfg, residencyCfg := &h.cfg.Settings, &h.cfg.Residency
	holderCfg := settings.Config{Log: h.log}
	if settingsCfg.State != "" {
		holderCfg.Save = settings.SaveFunc(settingsCfg.State)
	}
	h.settings = settings.NewHolder(holderCfg)
	if settingsCfg.State != "" {
		if err := h.settings.Load(settingsCfg.State); err != nil {
			h.log.Error("stored settings unusable", "error", err)
		}
	}
	var save func(int64, []string) error
	if residencyCfg.State != "" {
		save = residency.SaveFunc(residencyCfg.State)
	}
	h.policy = residency.NewHolder(h.cfg.Zones.Names, residencyCfg.Bound.Duration(), residencyCfg.File != "", h.log, save)
	if residencyCfg.State != "" {
		if err := h.policy.Load(residencyCfg.State); err != nil {
			h.log.Error("stored residency policy unusable", "error", err)
		}
	}
}

// Addr returns the address at which agents and other hubs reach this hub.
func (h *Hub) Addr() string { return h.fleet.Addr() }

// Run serves until ctx ends, then notifies the other hubs that this hub leaves, and waits for all goroutines of the hub.
// It may be called once. It returns the error of the fleet.
func (h *Hub) Run(ctx context.Context) error {
	if h.trace != nil {
		defer h.trace.Close()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if file := h.cfg.Settings.File; file != "" {
		tasks.Go(func() { h.settings.Watch(ctx, file, h.log) })
	}
	if file := h.cfg.Residency.File; file != "" {
		tasks.Go(func() { h.policy.Watch(ctx, file, h.log) })
	}
	if h.cfg.Discovery == "" {
		h.fleet.Ready()
	} else { // the fleet becomes ready with the first endpoint list
		tasks.Go(func() { h.endpointWatcher().Run(ctx) })
	}
	tasks.Go(func() { h.server.Run(ctx, h.fleet) })
	h.log.Info("hub listening", "step", "listening", "name", h.cfg.Name, "zone", h.cfg.Zone, "address", h.Addr())
	err := h.fleet.Run(ctx)
	cancel()
	return err
}

// endpointWatcher returns the watcher of the list service. The watcher passes the endpoint list to the fleet, which relays
// it to agents. The hub itself does not use the list, so Deliver and the log discard what the watcher passes to them.
func (h *Hub) endpointWatcher() *discovery.Watcher {
	startedAt := time.Now()
	return discovery.New(discovery.Config{
		Addr: h.cfg.Discovery, ConnectTimeout: connectTimeout, Sources: h.fleet, Deliver: func(discovery.Update) {},
		Translator: discovery.Translator{
			Zones: h.cfg.Zones.Names, Log: slog.New(slog.DiscardHandler),
			AgentTime: func(t time.Time) time.Duration { return t.Sub(startedAt) },
		},
	})
}
