package agent

// The agent's membership in a fleet.

import (
	"context"
	"fmt"
	"log/slog"

	"martenbeam/balancer"
	"martenbeam/internal/fleet/source"
	"martenbeam/internal/residency/gate"
)

// Fleet is the agent's membership in a fleet. An agent of the platform belongs to no fleet.
type Fleet interface {
	source.Selector
	// Run maintains the membership until ctx ends. If Run fails, the agent continues to serve without a fleet.
	Run(ctx context.Context) error
	// Ready publishes that this process serves clients.
	Ready()
}

// JoinFunc sets up the membership before the agent runs. post passes the fleet's events to the balancer; it may block
// briefly. setDiscoveryAddr makes the running agent watch discovery at another address, as after SIGHUP. The Enforcer
// enforces the residency policy; it is nil without a policy.
type JoinFunc func(cfg *Config, log *slog.Logger, post func(balancer.Event),
	setDiscoveryAddr func(discovery string)) (Fleet, gate.Enforcer, error)

// joinFleet sets up the membership in the configured fleet, if any.
func (a *Agent) joinFleet() error {
	if a.cfg.Join == nil {
		return nil
	}
	var err error
	post := func(e balancer.Event) { a.loop.post(balancerEvent{e}) }
	if a.fleet, a.loop.residency, err = a.cfg.Join(a.cfg, a.log, post, a.SetDiscoveryAddr); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	a.pool.Residency = a.loop.residency
	return nil
}

// runFleet maintains the membership until ctx ends.
func (a *Agent) runFleet(ctx context.Context) {
	if err := a.fleet.Run(ctx); err != nil {
		a.log.Error("fleet membership ended, serving without a fleet", "error", err)
	}
}
