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

const connectWithin = 250 * time.Millisecond // to the list service

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
	if err := h.hold(); err != nil {
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
	bounds := gossip.Bounds{}
	for kind, d := range gossip.DefaultBounds {
		bounds[kind] = d
		if said, ok := cfg.MaxAge[kind.String()]; ok {
			bounds[kind] = said.D()
		}
	}
	kind := settings.Kind(h.settings)
	numbers := incarnation.Source{Dir: incarnation.Folder(cfg.Label, cfg.Settings.State, cfg.Residency.State), Name: cfg.Name, Log: log}
	h.server = hub.New(hub.Config{Name: cfg.Name, Label: cfg.Label, Program: program, Incarnation: numbers.Next(), Most: cfg.Most, AdmitRate: cfg.AdmitRate,
		Bounds: bounds, Settings: kind, Policy: fleet.Policy(h.policy), PolicyAge: h.policy.Confirmed, Log: log, Trace: trace})
	var err error
	h.fleet, err = fleet.New(fleet.Config{Name: cfg.Name, Site: cfg.Zone, Version: program, Listen: cfg.Listen, Advertise: cfg.Advertise, Seeds: cfg.Seeds, Label: cfg.Label,
		Most: cfg.Most, Incarnations: numbers, Bounds: bounds, ListRate: cfg.ListRate, Matrix: cfg.Matrix, Log: log, Trace: trace, Residency: h.policy, Source: cfg.Residency.File != "",
		Settings: kind, Hub: true, Calls: h.server}, cfg.Zones.Names, fleet.Told{})
	return h, err
}

// hold begins with the texts that were kept, and those that are given here.
func (h *Hub) hold() error {
	s, r := &h.cfg.Settings, &h.cfg.Residency
	c := settings.Config{Log: h.log}
	if s.State != "" {
		c.Keep = settings.Keep(s.State)
	}
	h.settings = settings.NewHolder(c)
	if s.State != "" {
		if err := h.settings.Load(s.State); err != nil {
			h.log.Error("settings: what was kept can't be used", "error", err)
		}
	}
	var keep func(int64, []string) error
	if r.State != "" {
		keep = residency.Keep(r.State)
	}
	h.policy = residency.NewHolder(h.cfg.Zones.Names, r.Bound.D(), r.File != "", h.log, keep)
	if r.State != "" {
		if err := h.policy.Load(r.State); err != nil {
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
	ctx, end := context.WithCancel(ctx)
	defer end()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	if file := h.cfg.Settings.File; file != "" {
		tasks.Go(func() { h.settings.Follow(ctx, file, h.log) })
	}
	if file := h.cfg.Residency.File; file != "" {
		tasks.Go(func() { h.policy.Follow(ctx, file, h.log) })
	}
	if h.cfg.Discovery == "" {
		h.fleet.Ready()
	} else {
		tasks.Go(func() { h.lists().Run(ctx) })
	}
	tasks.Go(func() { h.server.Run(ctx, h.fleet) })
	h.log.Info("hub", "step", "listening", "name", h.cfg.Name, "zone", h.cfg.Zone, "address", h.Addr())
	err := h.fleet.Run(ctx)
	end()
	return err
}

// lists follows the list service, for those who follow here. What it says matters to them alone.
func (h *Hub) lists() *discovery.Watcher {
	began := time.Now()
	return discovery.New(discovery.Config{Addr: h.cfg.Discovery, ConnectTimeout: connectWithin, Sources: h.fleet, Deliver: func(discovery.Update) {},
		Translator: discovery.Translator{Zones: h.cfg.Zones.Names, Log: slog.New(slog.DiscardHandler), AgentTime: func(t time.Time) time.Duration { return t.Sub(began) }}})
}
