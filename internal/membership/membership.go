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

func joinFromConfig(raw []byte, prepared *preparedSettings) (agent.JoinFunc, error) {
	ext, err := config.ReadExtension(raw)
	if err != nil {
		return nil, err
	}
	if ext.Fleet == nil && ext.Residency == nil {
		return nil, nil
	}
	return func(cfg *agent.Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (agent.Fleet, gate.Enforcer, error) {
		joined := &agentFleet{log: log}
		enforcer, err := joined.openPolicy(ext.Residency, cfg.Site.Zones)
		switch {
		case err != nil:
			return nil, nil, err
		case ext.Fleet == nil:
			return withoutFleet{joined}, enforcer, nil
		}
		if err := joined.joinFleet(ext.Fleet, prepared, cfg, post, follow); err != nil {
			return nil, nil, err
		}
		return joined, enforcer, nil
	}, nil
}

// agentFleet is an agent's fleet, and the policy's file where it is given here.
type agentFleet struct {
	agent.Fleet
	policy         *residency.Holder
	policyFile     string
	policyStateDir string // a folder
	traceFile      *os.File
	log            *slog.Logger
}

// openPolicy has the agent hold a policy, if it has one.
func (a *agentFleet) openPolicy(ext *config.ResidencyExtension, zones []string) (gate.Enforcer, error) {
	if ext == nil {
		return nil, nil
	}
	var save func(int64, []string) error
	if ext.State != "" {
		save = residency.SaveFunc(ext.State)
	}
	a.policyFile, a.policyStateDir = ext.Policy, ext.State
	a.policy = residency.NewHolder(zones, time.Duration(ext.BoundMs*float64(time.Millisecond)), ext.Policy != "", a.log, save)
	if ext.State != "" {
		if err := a.policy.Load(ext.State); err != nil {
			a.log.Error("residency: what was kept can't be used", "error", err)
		}
	}
	if ext.Policy != "" { // before the first request: no agent serves a moment without it
		policy, text, err := residency.ReadFile(ext.Policy)
		if err != nil {
			return nil, err
		}
		if err := a.policy.Apply(policy.Version, text); err != nil {
			a.log.Error("residency: the policy's file is not used", "version", policy.Version, "error", err)
		}
	}
	return a.policy, nil
}

// joinFleet has the agent be in its fleet: by way of a hub, if there are hubs.
func (a *agentFleet) joinFleet(ext *config.FleetExtension, prepared *preparedSettings, cfg *agent.Config, post func(balancer.Event), follow func(discovery string)) (err error) {
	if ext.Trace != "" {
		if a.traceFile, err = os.OpenFile(ext.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
	}
	zones := cfg.Site.Zones
	site := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(zones) {
		site = zones[z]
	}
	fleetCfg := fleet.Config{Name: cfg.Name, Site: site, Version: Version(), Listen: ext.Listen, Advertise: ext.Advertise, Seeds: ext.Seeds, Label: ext.Label,
		MaxMembers: ext.MaxAgents, AwaitAddress: cfg.ListenFD > 0, AgeBounds: ageBounds(ext), RelayedLists: ext.Lists == "relayed", ListRate: ext.ListRate, MeasureLatency: ext.Matrix, Log: a.log,
		Residency: a.policy, PolicySource: a.policyFile != "",
		Incarnations: incarnation.Allocator{Dir: incarnation.Dir(ext.Label, ext.Settings, a.policyStateDir), Name: cfg.Name, Log: a.log}}
	if a.traceFile != nil {
		fleetCfg.Trace = a.traceFile
	}
	callbacks := fleet.Callbacks{
		Quota: func(quota float64) { post(balancer.Quota{Share: quota}) },
		Latencies: func(rtts []time.Duration, lossRates []float64) {
			post(balancer.ZoneLatencies{RTT: rtts, Loss: lossRates})
		},
	}
	if len(ext.Hubs) == 0 {
		a.Fleet, err = fleet.New(fleetCfg, zones, callbacks)
		return err
	}
	clientCfg := hubClientConfig(fleetCfg, ext.Hubs, cfg)
	if prepared == nil {
		clientCfg.Settings = platformSettings(ext.Settings, cfg, follow, a.log)
	} else {
		prepared.discovery.setFollow(follow)
		clientCfg.Settings = prepared.holder
	}
	a.Fleet, err = hubclient.New(clientCfg, zones, callbacks)
	return err
}

// ageBounds are how old facts may be when they are used.
func ageBounds(ext *config.FleetExtension) gossip.AgeBounds {
	bounds := gossip.AgeBounds{}
	for kind, bound := range gossip.DefaultAgeBounds {
		bounds[kind] = bound
		if ms, configured := ext.MaxAgeMs[kind.String()]; configured {
			bounds[kind] = time.Duration(ms * float64(time.Millisecond))
		}
	}
	return bounds
}

// Run stays in the fleet, and follows the policy's file, until ctx ends.
func (a *agentFleet) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	a.watchPolicyFile(ctx, &tasks)
	if a.traceFile != nil {
		defer a.traceFile.Close()
	}
	if err := a.Fleet.Run(ctx); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

func (a *agentFleet) watchPolicyFile(ctx context.Context, tasks *sync.WaitGroup) {
	if a.policyFile != "" {
		tasks.Go(func() { a.policy.Watch(ctx, a.policyFile, a.log) })
	}
}

// withoutFleet is an agent with a policy of its own and without a fleet.
type withoutFleet struct{ *agentFleet }

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
