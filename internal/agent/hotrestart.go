package agent

// Hot restart, as seen by this process: how it takes over from an older process, and what package hotrestart changes in it.

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
	endpointsPollInterval = 5 * time.Millisecond // between looks whether there is one
)

// prepareHandover finds out whether an older process of this agent is running. While one is, or may be, the two processes
// use half of the limits each.
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

// restoreState continues from what earlier processes of this agent recorded, before the event loop runs. The admin calls
// that they accepted apply here too, so clients wait while the record can't be read.
func (a *Agent) restoreState(stop context.Context) {
	calls, lameDuck := a.hotRestart.AwaitRecord(stop)
	record := a.hotRestart.LastRecord() // read now: the older process has gone on recording
	a.frontend.setLameDuck(lameDuck)
	if record.List != nil && record.ListSource == a.cfg.Discovery {
		a.cfg.CachedEndpoints = record.List // newer than the configuration's, which is as old as the first process
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

// replicatedCall returns a call that another process of this agent accepted, in the form that the event loop takes.
func (a *Agent) replicatedCall(recorded handover.Override) *adminCall {
	replicated := &adminCall{ctx: context.Background(), backend: recorded.Backend, detach: recorded.Disabled, replicated: true}
	if !recorded.Disabled {
		replicated.madeAt = a.loop.clock.now() - (bootclock.SinceBoot() - recorded.IssuedAt)
	}
	return replicated
}

// awaitEndpoints waits for the first endpoint list, without which no client could be served. Clients that connect in the
// meantime are served by the older process.
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

// restartedProcess is this process as package hotrestart changes it.
type restartedProcess struct{ *Agent }

// ShareListener implements hotrestart.Process.
func (p restartedProcess) ShareListener(on bool) {
	share := maxAcceptedConns(p.cfg.shareableDescriptors()) - maxAcceptedConns(p.cfg.halfLimits().shareableDescriptors())
	if !on {
		share = -share
	}
	p.listener.Reserve(share)
}

// HalveLimits implements hotrestart.Process. Idle connections to backends beyond the limits are closed.
func (p restartedProcess) HalveLimits(on bool) {
	cfg := p.cfg
	if on {
		cfg = cfg.halfLimits()
	}
	p.pool.SetLimit(maxUpstreamConns(cfg.shareableDescriptors()))
	p.frontend.setLimit(maxClientConns(cfg.shareableDescriptors()))
	cfg.LimitMemory()
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
