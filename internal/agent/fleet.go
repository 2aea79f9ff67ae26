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

// Fleet is the agent's membership in a fleet. The platform's agents have none.
type Fleet interface {
	source.Selector
	// Run keeps the membership until ctx ends. If it fails, the agent serves on without a fleet.
	Run(ctx context.Context) error
	// Ready publishes that this process serves.
	Ready()
}

// JoinFunc sets up the membership before the agent runs. post passes the fleet's events to the balancer; it may block, but
// never for long. follow makes the running agent watch discovery at another address, as after SIGHUP. The keeper is the
// residency policy; nil: none.
type JoinFunc func(cfg *Config, log *slog.Logger, post func(balancer.Event),
	setDiscoveryAddr func(discovery string)) (Fleet, gate.Enforcer, error)

// joinFleet sets up the membership that the configuration asks for, if any.
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

// runFleet keeps the membership until ctx ends.
func (a *Agent) runFleet(ctx context.Context) {
	if err := a.fleet.Run(ctx); err != nil {
		a.log.Error("fleet membership ended, serving without a fleet", "error", err)
	}
}
