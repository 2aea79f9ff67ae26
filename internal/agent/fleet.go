package agent

import (
	"context"
	"fmt"
	"log/slog"

	"martenbeam/balancer"
	"martenbeam/internal/fleet/source"
	"martenbeam/internal/residency/gate"
)

// Fleet is what an agent shares with its fleet. The platform's agents have none.
type Fleet interface {
	source.Selector
	// Run stays in the fleet until ctx ends. An agent serves on without it.
	Run(ctx context.Context) error
	// Ready tells the others that this process serves.
	Ready()
}

// JoinFunc makes what an agent shares, before it runs. post takes what the fleet tells the decision module; it may wait, but
// never for long. follow has the running agent watch discovery elsewhere, as after SIGHUP.
type JoinFunc func(cfg *Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (Fleet, gate.Enforcer, error)

// joinFleet has the agent share what its configuration says.
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

// runFleet stays in the fleet until ctx ends.
func (a *Agent) runFleet(ctx context.Context) {
	if err := a.fleet.Run(ctx); err != nil {
		a.log.Error("the fleet is left, the agent serves alone", "error", err)
	}
}

// prependPolicyUpdate has the module hear of a policy before what came after it.
func (l *eventLoop) prependPolicyUpdate() {
	if l.residency == nil {
		return
	}
	if t := l.residency.Table(); t.Generation != l.policyGeneration {
		l.policyGeneration = t.Generation
		l.pending = append([]balancer.Event{balancer.Residency{Table: t}}, l.pending...)
	}
}

// residencyPermits is the check in front of the network, independent of the module's: whether a request may go to a backend.
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
