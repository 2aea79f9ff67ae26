package agent

// How this process takes over from an older one in a hot restart, and what package hotrestart changes in it.

import (
	"context"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/hotrestart"
	"martenbeam/internal/bootclock"
)

const (
	endpointsTimeout      = 3 * time.Second      // for the first endpoint list
	endpointsPollInterval = 5 * time.Millisecond // between checks for the first endpoint list
)

// prepareHandover sets up the coordination with the other processes of this agent. While an older process runs, or may run,
// each of the two processes uses half of the limits.
func (a *Agent) prepareHandover(ctx context.Context) {
	c := hotrestart.New(ctx, a.cfg.HandoverDir, a.log)
	a.hotRestart = c
	if a.admin != nil {
		a.admin.Record = c.SaveOverride
	}
	a.discovery.Record = c.RecordEndpoints
	a.loop.saveSnapshot = c.OfferSnapshot
	c.ShareLimits(restartedProcess{a})
}

// restoreState restores the state that earlier processes of this agent recorded. Run calls it before the event loop starts.
// The admin calls that earlier processes accepted apply to this process too, so clients wait while the record can't be read.
func (a *Agent) restoreState(stop context.Context) {
	calls, lameDuck := a.hotRestart.AwaitRecord(stop)
	record := a.hotRestart.LastRecord() // read again: the older process may have updated the record
	a.frontend.setLameDuck(lameDuck)
	if record.List != nil && record.ListSource == a.cfg.Discovery {
		a.cfg.CachedEndpoints = record.List // newer than the configured list, which dates from the first process
	}
	a.log.Info("handover", "turn", a.hotRestart.Generation(), "alone", a.hotRestart.StartedAlone(), "calls", len(calls),
		"lame", lameDuck, "list", record.List != nil)
	if record.Snapshot != nil {
		a.loop.pending = append(a.loop.pending, balancer.Restore{Snapshot: *record.Snapshot})
	}
	for _, call := range calls {
		replicated := a.replicatedCall(call)
		replicated.accepted = make(chan bool, 1)
		a.loop.enqueueCall(replicated)
	}
}

// replicatedCall returns the event loop's form of a call that another process of this agent accepted.
func (a *Agent) replicatedCall(recorded handover.Override) *adminCall {
	replicated := &adminCall{ctx: context.Background(), backend: recorded.Backend, detach: recorded.Disabled, replicated: true}
	if !recorded.Disabled {
		replicated.madeAt = a.loop.clock.now() - (bootclock.SinceBoot() - recorded.IssuedAt)
	}
	return replicated
}

// awaitEndpoints waits for the first endpoint list, because no client can be served without one. The older process serves
// clients that connect during the wait.
func (a *Agent) awaitEndpoints(stop context.Context) {
	timeout := time.NewTimer(min(endpointsTimeout, a.hotRestart.TimeLeft()))
	defer timeout.Stop()
	tick := time.NewTicker(endpointsPollInterval)
	defer tick.Stop()
	for !a.loop.ready.Load() {
		select {
		case <-tick.C:
		case <-timeout.C:
			a.log.Warn("accepting clients without an endpoint list")
			return
		case <-stop.Done():
			return
		}
	}
}

// restartedProcess lets package hotrestart change this process.
type restartedProcess struct{ *Agent }

// ShareListener implements hotrestart.Process.
func (p restartedProcess) ShareListener(on bool) {
	share := maxAcceptedConns(p.cfg.shareableDescriptors()) - maxAcceptedConns(p.cfg.halfLimits().shareableDescriptors())
	if !on {
		share = -share
	}
	p.listener.Reserve(share)
}

// HalveLimits implements hotrestart.Process. The pool closes idle connections to backends beyond the limits.
func (p restartedProcess) HalveLimits(on bool) {
	cfg, garbagePercent := p.cfg, collectRarely
	if on {
		cfg, garbagePercent = cfg.halfLimits(), collectOften
	}
	p.pool.SetLimit(maxUpstreamConns(cfg.shareableDescriptors()))
	p.frontend.setLimit(maxClientConns(cfg.shareableDescriptors()))
	p.pool.Memory.SetMemory(cfg.memoryBytes())
	cfg.LimitMemory(garbagePercent)
}

// ApplyOverride implements hotrestart.Process.
func (p restartedProcess) ApplyOverride(ctx context.Context, override handover.Override) error {
	_, err := p.loop.submitCall(ctx, p.replicatedCall(override))
	return err
}

// LameDuck implements hotrestart.Process.
func (p restartedProcess) LameDuck() bool { return p.loop.lameDuck.Load() }

// SetLameDuck implements hotrestart.Process.
func (p restartedProcess) SetLameDuck(on bool) { p.frontend.setLameDuck(on) }
