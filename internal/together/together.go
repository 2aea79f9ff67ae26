// Package together joins an agent with its fleet and its residency policy, as its configuration says. The platform's own
// program knows nothing of it.
package together

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"brookferry"
	"brookferry/internal/agent"
	"brookferry/internal/config"
	"brookferry/internal/fleet"
	"brookferry/internal/fleet/fact"
	"brookferry/internal/fleet/source"
	"brookferry/internal/residency"
	"brookferry/internal/residency/gate"
)

// Shares reads what an agent shares with its fleet out of its configuration.
func Shares(raw []byte) (agent.Join, error) {
	s, err := config.ReadShared(raw)
	if err != nil {
		return nil, err
	}
	if s.Fleet == nil && s.Residency == nil {
		return nil, nil
	}
	return func(cfg *agent.Config, log *slog.Logger, post func(brookferry.Event)) (agent.Together, gate.Keeper, error) {
		return join(&s, cfg, log, post)
	}, nil
}

// together is an agent's fleet, and the policy's file where it is given here.
type together struct {
	*fleet.Fleet
	holder *residency.Holder
	file   string
	trace  *os.File
	log    *slog.Logger
}

func join(s *config.Shared, cfg *agent.Config, log *slog.Logger, post func(brookferry.Event)) (agent.Together, gate.Keeper, error) {
	t := &together{log: log}
	zones := cfg.Site.Zones
	var keeper gate.Keeper
	if r := s.Residency; r != nil {
		var keep func(int64, []string) error
		if r.State != "" {
			keep = residency.Keep(r.State)
		}
		t.file = r.Policy
		t.holder = residency.NewHolder(zones, time.Duration(r.BoundMs*float64(time.Millisecond)), r.Policy != "", log, keep)
		if r.State != "" {
			if err := t.holder.Load(r.State); err != nil {
				log.Error("residency: what was kept can't be used", "error", err)
			}
		}
		if r.Policy != "" { // before the first request: no agent serves a moment without it
			p, text, err := residency.ReadFile(r.Policy)
			if err != nil {
				return nil, nil, err
			}
			if err := t.holder.Take(p.Version, text); err != nil {
				log.Error("residency: the policy's file is not used", "version", p.Version, "error", err)
			}
		}
		keeper = t.holder
	}
	if s.Fleet == nil {
		return alone{t}, keeper, nil
	}
	f := s.Fleet
	if f.Trace != "" {
		var err error
		if t.trace, err = os.OpenFile(f.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return nil, nil, err
		}
	}
	bounds := fact.Bounds{}
	for kind, d := range fact.DefaultBounds {
		bounds[kind] = d
		if ms, said := f.MaxAgeMs[kind.String()]; said {
			bounds[kind] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	site := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(zones) {
		site = zones[z]
	}
	c := fleet.Config{Name: cfg.Name, Site: site, Version: Version(), Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Label: f.Label,
		Most: f.Most, Await: cfg.ListenFD > 0, Bounds: bounds, Relayed: f.Lists == "relayed", ListRate: f.ListRate, Matrix: f.Matrix, Log: log,
		Residency: t.holder, Source: t.file != ""}
	if t.trace != nil {
		c.Trace = t.trace
	}
	var err error
	t.Fleet, err = fleet.New(c, zones, fleet.Told{
		Part:      func(part float64) { post(brookferry.Part{Of: part}) },
		Distances: func(trip []time.Duration, loss []float64) { post(brookferry.Distances{Trip: trip, Loss: loss}) },
	})
	if err != nil {
		return nil, nil, err
	}
	return t, keeper, nil
}

// Run stays in the fleet, and follows the policy's file, until ctx ends.
func (t *together) Run(ctx context.Context) error {
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

func (t *together) followFile(ctx context.Context, tasks *sync.WaitGroup) {
	if t.file != "" {
		tasks.Go(func() { t.holder.Follow(ctx, t.file, t.log) })
	}
}

// alone is an agent with a policy of its own and without a fleet.
type alone struct{ *together }

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
