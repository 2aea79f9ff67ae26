package agent

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
type JoinFunc func(cfg *Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (Fleet, gate.Enforcer, error)

// joinFleet sets up the membership that the configuration asks for, if any.
func (a *Agent) joinFleet() error {
	if a.cfg.Join == nil {
		return nil
	}
	var err error
	if a.fleet, a.loop.residency, err = a.cfg.Join(a.cfg, a.log, func(e balancer.Event) { a.loop.post(e) }, a.SetDiscoveryAddr); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	a.pool.residency = a.loop.residency
	return nil
}

// runFleet keeps the membership until ctx ends.
func (a *Agent) runFleet(ctx context.Context) {
	if err := a.fleet.Run(ctx); err != nil {
		a.log.Error("fleet membership ended, serving without a fleet", "error", err)
	}
}

// prependPolicyUpdate puts a changed residency policy before the pending events: it applies to the requests among them.
func (l *eventLoop) prependPolicyUpdate() {
	if l.residency == nil {
		return
	}
	if t := l.residency.Table(); t.Generation != l.policyGeneration {
		l.policyGeneration = t.Generation
		l.pending = append([]balancer.Event{balancer.Residency{Table: t}}, l.pending...)
	}
}

// residencyPermits checks right before the network, independently of the balancer, whether a request under a residency
// rule may go to a backend. A violation is reported to the policy's keeper.
func (p *upstreamPool) residencyPermits(rule int, id string) bool {
	if p.residency == nil || rule == 0 {
		return true
	}
	zone := -1
	if endpoint := p.endpoint(id); endpoint != nil {
		zone = endpoint.zone
	}
	if p.residency.Table().Permits(rule, zone) {
		return true
	}
	p.residency.CountRefusal(rule, zone)
	return false
}
