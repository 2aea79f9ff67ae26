// Package membership joins an agent with its fleet and its residency policy, as its configuration says. The platform's own
// program knows nothing of it.
package membership

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent"
	"martenbeam/internal/config"
	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hubclient"
	"martenbeam/internal/fleet/incarnation"
	"martenbeam/internal/fleet/source"
	"martenbeam/internal/residency"
	"martenbeam/internal/residency/gate"
)

// Shares reads what an agent shares with its fleet out of its configuration.
func Shares(raw []byte) (agent.JoinFunc, error) { return shares(raw, nil) }

func shares(raw []byte, g *given) (agent.JoinFunc, error) {
	s, err := config.ReadShared(raw)
	if err != nil {
		return nil, err
	}
	if s.Fleet == nil && s.Residency == nil {
		return nil, nil
	}
	return func(cfg *agent.Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (agent.Fleet, gate.Keeper, error) {
		t := &shared{log: log}
		keeper, err := t.holdPolicy(s.Residency, cfg.Site.Zones)
		switch {
		case err != nil:
			return nil, nil, err
		case s.Fleet == nil:
			return alone{t}, keeper, nil
		}
		if err := t.joinFleet(s.Fleet, g, cfg, post, follow); err != nil {
			return nil, nil, err
		}
		return t, keeper, nil
	}, nil
}

// shared is an agent's fleet, and the policy's file where it is given here.
type shared struct {
	agent.Fleet
	holder *residency.Holder
	file   string
	state  string // a folder
	trace  *os.File
	log    *slog.Logger
}

// holdPolicy has the agent hold a policy, if it has one.
func (t *shared) holdPolicy(r *config.SharedResidency, zones []string) (gate.Keeper, error) {
	if r == nil {
		return nil, nil
	}
	var keep func(int64, []string) error
	if r.State != "" {
		keep = residency.Keep(r.State)
	}
	t.file, t.state = r.Policy, r.State
	t.holder = residency.NewHolder(zones, time.Duration(r.BoundMs*float64(time.Millisecond)), r.Policy != "", t.log, keep)
	if r.State != "" {
		if err := t.holder.Load(r.State); err != nil {
			t.log.Error("residency: what was kept can't be used", "error", err)
		}
	}
	if r.Policy != "" { // before the first request: no agent serves a moment without it
		p, text, err := residency.ReadFile(r.Policy)
		if err != nil {
			return nil, err
		}
		if err := t.holder.Take(p.Version, text); err != nil {
			t.log.Error("residency: the policy's file is not used", "version", p.Version, "error", err)
		}
	}
	return t.holder, nil
}

// joinFleet has the agent be in its fleet: by way of a hub, if there are hubs.
func (t *shared) joinFleet(f *config.SharedFleet, g *given, cfg *agent.Config, post func(balancer.Event), follow func(discovery string)) (err error) {
	if f.Trace != "" {
		if t.trace, err = os.OpenFile(f.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
	}
	zones := cfg.Site.Zones
	site := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(zones) {
		site = zones[z]
	}
	c := fleet.Config{Name: cfg.Name, Site: site, Version: Version(), Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Label: f.Label,
		Most: f.Most, Await: cfg.ListenFD > 0, Bounds: bounds(f), Relayed: f.Lists == "relayed", ListRate: f.ListRate, Matrix: f.Matrix, Log: t.log,
		Residency: t.holder, Source: t.file != "",
		Incarnations: incarnation.Source{Dir: incarnation.Folder(f.Label, f.Settings, t.state), Name: cfg.Name, Log: t.log}}
	if t.trace != nil {
		c.Trace = t.trace
	}
	told := fleet.Told{
		Part:      func(part float64) { post(balancer.Quota{Share: part}) },
		Distances: func(trip []time.Duration, loss []float64) { post(balancer.ZoneLatencies{RTT: trip, Loss: loss}) },
	}
	if len(f.Hubs) == 0 {
		t.Fleet, err = fleet.New(c, zones, told)
		return err
	}
	h := hubbed(c, f.Hubs, cfg)
	if g == nil {
		h.Settings = platformSettings(f.Settings, cfg, follow, t.log)
	} else {
		g.moves.set(follow)
		h.Settings = g.holder
	}
	t.Fleet, err = hubclient.New(h, zones, told)
	return err
}

// bounds are how old facts may be when they are used.
func bounds(f *config.SharedFleet) gossip.Bounds {
	b := gossip.Bounds{}
	for kind, d := range gossip.DefaultBounds {
		b[kind] = d
		if ms, said := f.MaxAgeMs[kind.String()]; said {
			b[kind] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return b
}

// Run stays in the fleet, and follows the policy's file, until ctx ends.
func (t *shared) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	t.followFile(ctx, &tasks)
	if t.trace != nil {
		defer t.trace.Close()
	}
	if err := t.Fleet.Run(ctx); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

func (t *shared) followFile(ctx context.Context, tasks *sync.WaitGroup) {
	if t.file != "" {
		tasks.Go(func() { t.holder.Follow(ctx, t.file, t.log) })
	}
}

// alone is an agent with a policy of its own and without a fleet.
type alone struct{ *shared }

func (a alone) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	a.followFile(ctx, &tasks)
	<-ctx.Done()
	tasks.Wait()
	return nil
}

// Next asks the list service at once: there is nobody to take turns with.
func (alone) Next(context.Context, int) (source.Source, bool)    { return source.Source{}, true }
func (alone) Answered(source.Source, time.Duration, bool, int64) {}
func (alone) Heard(source.Source)                                {}
func (alone) Listed(source.Source, int64, int64, []byte, []byte) {}
func (alone) Ready()                                             {}
func (alone) Behind(int64) bool                                  { return false }

// Version is the program's, as the others see it.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(12, len(s.Value))]
			}
		}
	}
	return "unknown"
}
