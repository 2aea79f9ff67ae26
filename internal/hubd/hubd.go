// Package hubd is the process of a hub: its place among the hubs, the texts that it holds, the list service that it follows
// and the agents that it serves, as its configuration says.
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

// Hub is a hub's process. It must be run.
type Hub struct {
	cfg      *config.Hub
	log      *slog.Logger
	trace    *os.File
	settings *settings.Holder
	policy   *residency.Holder
	server   *hub.Server
	fleet    *fleet.Fleet
}

// New listens. program is the version of the program, as agents and other hubs see it.
func New(cfg *config.Hub, program string, log *slog.Logger) (*Hub, error) {
	h := &Hub{cfg: cfg, log: log}
	if err := h.loadDocuments(); err != nil {
		return nil, err
	}
	var trace io.Writer
	if cfg.Trace != "" {
		var err error
		if h.trace, err = os.OpenFile(cfg.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, err
		}
		trace = h.trace
	}
	bounds := gossip.AgeBounds{}
	for kind, d := range gossip.DefaultAgeBounds {
		bounds[kind] = d
		if configured, ok := cfg.MaxAge[kind.String()]; ok {
			bounds[kind] = configured.Duration()
		}
	}
	kind := settings.DocumentKind(h.settings)
	incarnations := incarnation.Allocator{Dir: incarnation.Dir(cfg.Label, cfg.Settings.State, cfg.Residency.State), Name: cfg.Name, Log: log}
	h.server = hub.New(hub.Config{Name: cfg.Name, Label: cfg.Label, ProgramVersion: program, Incarnation: incarnations.Next(), MaxAgents: cfg.MaxAgents, AdmitRate: cfg.AdmitRate,
		Bounds: bounds, Settings: kind, Policy: fleet.PolicyReplicator(h.policy), PolicyAge: h.policy.ConfirmedAge, Log: log, Trace: trace})
	var err error
	h.fleet, err = fleet.New(fleet.Config{Name: cfg.Name, Site: cfg.Zone, Version: program, Listen: cfg.Listen, Advertise: cfg.Advertise, Seeds: cfg.Seeds, Label: cfg.Label,
		MaxMembers: cfg.MaxAgents, Incarnations: incarnations, AgeBounds: bounds, ListRate: cfg.ListRate, MeasureLatency: cfg.Matrix, Log: log, Trace: trace, Residency: h.policy, PolicySource: cfg.Residency.File != "",
		Settings: kind, Hub: true, HTTPHandler: h.server}, cfg.Zones.Names, fleet.Callbacks{})
	return h, err
}

// loadDocuments begins with the texts that were kept, and those that are given here.
func (h *Hub) loadDocuments() error {
	settingsCfg, residencyCfg := &h.cfg.Settings, &h.cfg.Residency
	holderCfg := settings.Config{Log: h.log}
	if settingsCfg.State != "" {
		holderCfg.Save = settings.SaveFunc(settingsCfg.State)
	}
	h.settings = settings.NewHolder(holderCfg)
	if settingsCfg.State != "" {
		if err := h.settings.Load(settingsCfg.State); err != nil {
			h.log.Error("settings: what was kept can't be used", "error", err)
		}
	}
	var store func(int64, []string) error
	if residencyCfg.State != "" {
		store = residency.SaveFunc(residencyCfg.State)
	}
	h.policy = residency.NewHolder(h.cfg.Zones.Names, residencyCfg.Bound.Duration(), residencyCfg.File != "", h.log, store)
	if residencyCfg.State != "" {
		if err := h.policy.Load(residencyCfg.State); err != nil {
			h.log.Error("residency: what was kept can't be used", "error", err)
		}
	}
	return nil
}

// Addr is where agents and other hubs reach this one.
func (h *Hub) Addr() string { return h.fleet.Addr() }

// Run serves until ctx ends, and says goodbye.
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
	} else {
		tasks.Go(func() { h.endpointFollower().Run(ctx) })
	}
	tasks.Go(func() { h.server.Run(ctx, h.fleet) })
	h.log.Info("hub", "step", "listening", "name", h.cfg.Name, "zone", h.cfg.Zone, "address", h.Addr())
	err := h.fleet.Run(ctx)
	cancel()
	return err
}

// endpointFollower follows the list service, for those who follow here. What it says matters to them alone.
func (h *Hub) endpointFollower() *discovery.Watcher {
	startedAt := time.Now()
	return discovery.New(discovery.Config{Addr: h.cfg.Discovery, ConnectTimeout: connectTimeout, Sources: h.fleet, Deliver: func(discovery.Update) {},
		Translator: discovery.Translator{Zones: h.cfg.Zones.Names, Log: slog.New(slog.DiscardHandler), AgentTime: func(t time.Time) time.Duration { return t.Sub(startedAt) }}})
}
