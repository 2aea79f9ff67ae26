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

// JoinFromConfig reads what an agent shares with its fleet out of its configuration.
func JoinFromConfig(raw []byte) (agent.JoinFunc, error) { return joinFromConfig(raw, nil) }

func joinFromConfig(raw []byte, g *preparedSettings) (agent.JoinFunc, error) {
	s, err := config.ReadExtension(raw)
	if err != nil {
		return nil, err
	}
	if s.Fleet == nil && s.Residency == nil {
		return nil, nil
	}
	return func(cfg *agent.Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (agent.Fleet, gate.Enforcer, error) {
		t := &place{log: log}
		keeper, err := t.openPolicy(s.Residency, cfg.Site.Zones)
		switch {
		case err != nil:
			return nil, nil, err
		case s.Fleet == nil:
			return withoutFleet{t}, keeper, nil
		}
		if err := t.joinFleet(s.Fleet, g, cfg, post, follow); err != nil {
			return nil, nil, err
		}
		return t, keeper, nil
	}, nil
}

// place is an agent's fleet, and the policy's file where it is given here.
type place struct {
	agent.Fleet
	holder         *residency.Holder
	policyFile     string
	policyStateDir string // a folder
	traceFile      *os.File
	log            *slog.Logger
}

// openPolicy has the agent hold a policy, if it has one.
func (t *place) openPolicy(r *config.ResidencyExtension, zones []string) (gate.Enforcer, error) {
	if r == nil {
		return nil, nil
	}
	var keep func(int64, []string) error
	if r.State != "" {
		keep = residency.SaveFunc(r.State)
	}
	t.policyFile, t.policyStateDir = r.Policy, r.State
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
		if err := t.holder.Apply(p.Version, text); err != nil {
			t.log.Error("residency: the policy's file is not used", "version", p.Version, "error", err)
		}
	}
	return t.holder, nil
}

// joinFleet has the agent be in its fleet: by way of a hub, if there are hubs.
func (t *place) joinFleet(f *config.FleetExtension, g *preparedSettings, cfg *agent.Config, post func(balancer.Event), follow func(discovery string)) (err error) {
	if f.Trace != "" {
		if t.traceFile, err = os.OpenFile(f.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
	}
	zones := cfg.Site.Zones
	site := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(zones) {
		site = zones[z]
	}
	c := fleet.Config{Name: cfg.Name, Site: site, Version: Version(), Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Label: f.Label,
		MaxMembers: f.MaxAgents, AwaitAddress: cfg.ListenFD > 0, AgeBounds: ageBounds(f), RelayedLists: f.Lists == "relayed", ListRate: f.ListRate, MeasureLatency: f.Matrix, Log: t.log,
		Residency: t.holder, PolicySource: t.policyFile != "",
		Incarnations: incarnation.Allocator{Dir: incarnation.Dir(f.Label, f.Settings, t.policyStateDir), Name: cfg.Name, Log: t.log}}
	if t.traceFile != nil {
		c.Trace = t.traceFile
	}
	told := fleet.Callbacks{
		Quota:     func(part float64) { post(balancer.Quota{Share: part}) },
		Latencies: func(trip []time.Duration, loss []float64) { post(balancer.ZoneLatencies{RTT: trip, Loss: loss}) },
	}
	if len(f.Hubs) == 0 {
		t.Fleet, err = fleet.New(c, zones, told)
		return err
	}
	h := hubClientConfig(c, f.Hubs, cfg)
	if g == nil {
		h.Settings = platformSettings(f.Settings, cfg, follow, t.log)
	} else {
		g.discovery.setFollow(follow)
		h.Settings = g.holder
	}
	t.Fleet, err = hubclient.New(h, zones, told)
	return err
}

// ageBounds are how old facts may be when they are used.
func ageBounds(f *config.FleetExtension) gossip.AgeBounds {
	b := gossip.AgeBounds{}
	for kind, d := range gossip.DefaultAgeBounds {
		b[kind] = d
		if ms, said := f.MaxAgeMs[kind.String()]; said {
			b[kind] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return b
}

// Run stays in the fleet, and follows the policy's file, until ctx ends.
func (t *place) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	t.watchPolicyFile(ctx, &tasks)
	if t.traceFile != nil {
		defer t.traceFile.Close()
	}
	if err := t.Fleet.Run(ctx); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

func (t *place) watchPolicyFile(ctx context.Context, tasks *sync.WaitGroup) {
	if t.policyFile != "" {
		tasks.Go(func() { t.holder.Watch(ctx, t.policyFile, t.log) })
	}
}

// withoutFleet is an agent with a policy of its own and without a fleet.
type withoutFleet struct{ *place }

func (a withoutFleet) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	a.watchPolicyFile(ctx, &tasks)
	<-ctx.Done()
	tasks.Wait()
	return nil
}

// Next asks the list service at once: there is nobody to take turns with.
func (withoutFleet) Next(context.Context, int) (source.Source, bool)          { return source.Source{}, true }
func (withoutFleet) RecordAttempt(source.Source, time.Duration, bool, int64)  {}
func (withoutFleet) RecordLiveness(source.Source)                             {}
func (withoutFleet) RecordUpdate(source.Source, int64, int64, []byte, []byte) {}
func (withoutFleet) Ready()                                                   {}
func (withoutFleet) Lagging(int64) bool                                       { return false }

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
