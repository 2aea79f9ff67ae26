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
	source.Sources
	// Run stays in the fleet until ctx ends. An agent serves on without it.
	Run(ctx context.Context) error
	// Ready tells the others that this process serves.
	Ready()
}

// Join makes what an agent shares, before it runs. post takes what the fleet tells the decision module; it may wait, but
// never for long. follow has the running agent watch discovery elsewhere, as after SIGHUP.
type Join func(cfg *Config, log *slog.Logger, post func(balancer.Event), follow func(discovery string)) (Fleet, gate.Keeper, error)

// join has the agent share what its configuration says.
func (a *Agent) join() error {
	if a.cfg.Join == nil {
		return nil
	}
	var err error
	if a.fleet, a.loop.residency, err = a.cfg.Join(a.cfg, a.log, func(e balancer.Event) { a.loop.post(e) }, a.Follow); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	a.backends.residency = a.loop.residency
	return nil
}

// stayInFleet stays in the fleet until ctx ends.
func (a *Agent) stayInFleet(ctx context.Context) {
	if err := a.fleet.Run(ctx); err != nil {
		a.log.Error("the fleet is left, the agent serves alone", "error", err)
	}
}

// reside has the module hear of a policy before what came after it.
func (l *loop) reside() {
	if l.residency == nil {
		return
	}
	if t := l.residency.Table(); t.Gen != l.resides {
		l.resides = t.Gen
		l.pending = append([]balancer.Event{balancer.Residency{Table: t}}, l.pending...)
	}
}

// permitted is the check in front of the network, independent of the module's: whether a request may go to a backend.
func (b *backends) permitted(rule int, id string) bool {
	if b.residency == nil || rule == 0 {
		return true
	}
	zone := -1
	if at := b.standing(id); at != nil {
		zone = at.zone
	}
	if b.residency.Table().Permits(rule, zone) {
		return true
	}
	b.residency.Refused(rule, zone)
	return false
}
