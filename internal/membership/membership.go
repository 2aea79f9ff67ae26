// Package membership wires an agent to its fleet and to its residency policy, according to its configuration. It makes and
// connects:
//
//   - a residency.Holder, loaded from its state directory and from the policy's file, which the agent watches;
//   - without hubs a fleet.Fleet, with hubs a hubclient.Client that can fall back to one;
//   - a settings.Holder, if there are hubs, whose settings overlay the configuration file;
//   - callbacks that post quotas and latencies to the decision module.
//
// The agent owns the result, an agent.Fleet, whose Run runs these parts and waits for their goroutines. The package keeps no
// state. Agents of the platform's own program have neither a fleet nor a policy and do not use it.
package membership

// This file makes the fleet and the policy of an agent and runs them.

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

// JoinFromConfig reads the sections on the fleet and the residency policy from an agent's configuration in the platform's form.
// It returns a function that makes both, or nil if the configuration has neither section. It is meant for agent.Source.Join.
func JoinFromConfig(raw []byte) (agent.JoinFunc, error) { return joinFromConfig(raw, nil) }

// joinFromConfig is like JoinFromConfig, with the settings that were loaded before the configuration was read. prepared is
// nil if no settings were loaded.
func joinFromConfig(raw []byte, prepared *preparedSettings) (agent.JoinFunc, error) {
	ext, err := config.ReadExtension(raw)
	if err != nil {
		return nil, err
	}
	if ext.Fleet == nil && ext.Residency == nil {
		return nil, nil
	}
	return func(cfg *agent.Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (
		agent.Fleet, gate.Enforcer, error) {
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

// agentFleet is the fleet of an agent with its residency policy.
type agentFleet struct {
	agent.Fleet    // a fleet.Fleet or a hubclient.Client
	policy         *residency.Holder
	policyFile     string // "": operators do not set the policy at this agent
	policyStateDir string // "": the policy is not stored
	traceFile      *os.File
	log            *slog.Logger
}

// openPolicy makes the holder of the residency policy from the stored policy and the policy's file. It returns nil if no
// policy is configured, and an error if the file cannot be read. Other failures are logged.
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
			a.log.Error("stored residency policy unusable", "error", err)
		}
	}
	if ext.Policy != "" { // the policy has to be in force before the first request
		policy, text, err := residency.ReadFile(ext.Policy)
		if err != nil {
			return nil, err
		}
		if err := a.policy.Apply(policy.Version, text); err != nil {
			a.log.Error("residency policy file rejected", "version", policy.Version, "error", err)
		}
	}
	return a.policy, nil
}

// joinFleet makes the fleet, which posts its events to the decision module: without hubs a full mesh, else a hub client.
func (a *agentFleet) joinFleet(ext *config.FleetExtension, prepared *preparedSettings, cfg *agent.Config,
	post func(balancer.Event), follow func(discovery string)) (err error) {
	if ext.Trace != "" {
		if a.traceFile, err = os.OpenFile(ext.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
	}
	fleetCfg := a.fleetConfig(ext, cfg)
	callbacks := fleet.Callbacks{
		Quota: func(quota float64) { post(balancer.Quota{Share: quota}) },
		Latencies: func(rtts []time.Duration, lossRates []float64) {
			post(balancer.ZoneLatencies{RTT: rtts, Loss: lossRates})
		},
	}
	if len(ext.Hubs) == 0 {
		a.Fleet, err = fleet.New(fleetCfg, cfg.Site.Zones, callbacks)
		return err
	}
	clientCfg := hubClientConfig(fleetCfg, ext.Hubs, cfg)
	if prepared == nil {
		clientCfg.Settings = platformSettings(ext.Settings, cfg, follow, a.log)
	} else {
		prepared.discovery.setFollow(follow)
		clientCfg.Settings = prepared.holder
	}
	a.Fleet, err = hubclient.New(clientCfg, cfg.Site.Zones, callbacks)
	return err
}

// fleetConfig returns the configuration of a full mesh, on which that of a hub client is based.
func (a *agentFleet) fleetConfig(ext *config.FleetExtension, cfg *agent.Config) fleet.Config {
	site := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Site.Zones) {
		site = cfg.Site.Zones[z]
	}
	incarnationDir := incarnation.Dir(ext.Label, ext.Settings, a.policyStateDir)
	fleetCfg := fleet.Config{
		Name: cfg.Name, Site: site, Version: Version(), Label: ext.Label,
		Listen: ext.Listen, Advertise: ext.Advertise, Seeds: ext.Seeds, AwaitAddress: cfg.ListenFD > 0,
		MaxMembers: ext.MaxAgents, AgeBounds: ageBounds(ext), RelayedLists: ext.Lists == "relayed", ListRate: ext.ListRate,
		MeasureLatency: ext.Matrix, Residency: a.policy, PolicySource: a.policyFile != "", Log: a.log,
		Incarnations: incarnation.Allocator{Dir: incarnationDir, Name: cfg.Name, Log: a.log},
	}
	if a.traceFile != nil {
		fleetCfg.Trace = a.traceFile
	}
	return fleetCfg
}

// ageBounds returns the age bounds of gossip entries: the configured bound of a kind, or else its default.
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

// Run runs the fleet and watches the policy's file until ctx ends. It returns after both have ended.
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

// watchPolicyFile watches the policy's file, if one is configured, in a goroutine of tasks.
func (a *agentFleet) watchPolicyFile(ctx context.Context, tasks *sync.WaitGroup) {
	if a.policyFile != "" {
		tasks.Go(func() { a.policy.Watch(ctx, a.policyFile, a.log) })
	}
}

// withoutFleet is the agent.Fleet of an agent that has a residency policy but no fleet.
type withoutFleet struct{ *agentFleet }

// Run watches the policy's file until ctx ends.
func (a withoutFleet) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	a.watchPolicyFile(ctx, &tasks)
	<-ctx.Done()
	tasks.Wait()
	return nil
}

// Next returns the list service at once, since there is no fleet to take turns with.
func (withoutFleet) Next(context.Context, int) (source.Source, bool) { return source.Source{}, true }

// The other methods of agent.Fleet do nothing. Dial is never called, as Next returns no relay.

func (withoutFleet) RecordAttempt(source.Source, time.Duration, bool, int64)  {}
func (withoutFleet) RecordLiveness(source.Source)                             {}
func (withoutFleet) RecordUpdate(source.Source, int64, int64, []byte, []byte) {}
func (withoutFleet) Ready()                                                   {}
func (withoutFleet) Lagging(int64) bool                                       { return false }

// Version returns the program's version as published to other members: the first 12 digits of the commit it was built from, or
// "unknown".
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
