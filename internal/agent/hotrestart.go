package agent

// Hot restart: how one process of an agent replaces another without a lost request.

import (
	"context"
	"runtime/debug"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/listener"
	"martenbeam/internal/bootclock"
)

const (
	pollInterval     = 50 * time.Millisecond  // between looks at what the other process has recorded
	snapshotInterval = 500 * time.Millisecond // between records of the balancer's state
	// A new process has to be ready within 6 s of its start. Until then it may wait for its place in the handover directory,
	// for the older process's record and, less long, for an endpoint list.
	claimTimeout     = time.Second
	recordTimeout    = 5 * time.Second // from the start
	endpointsTimeout = 3 * time.Second
)

// hotRestart is this process's part in the replacement of one process of an agent by another.
type hotRestart struct {
	*handover.Store
	snapshots     chan balancer.Snapshot // the event loop's latest snapshot, at most one
	startedAt     time.Time
	reducedLimits bool // another process may be using the other half of the limits
	hasSuccessor  bool
}

// offerSnapshot replaces the snapshot that is waiting to be recorded. The event loop calls it; it does not block.
func (h *hotRestart) offerSnapshot(snapshot balancer.Snapshot) {
	select {
	case <-h.snapshots:
	default:
	}
	h.snapshots <- snapshot
}

// prepareHandover finds out whether an older process of this agent is running. While one is, or may be, the two processes
// use half of the limits each.
func (a *Agent) prepareHandover(ctx context.Context) {
	h := &hotRestart{Store: handover.New(a.cfg.HandoverDir, a.log), snapshots: make(chan balancer.Snapshot, 1),
		startedAt: time.Now()}
	a.hotRestart = h
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := listener.Retry(ctx, nil, func() (struct{}, error) { return struct{}{}, h.Register() })
	if err != nil {
		a.log.Error("handover record not writable yet", "error", err)
	}
	if a.admin != nil {
		a.admin.Record = h.SaveOverride
	}
	a.discovery.Record = a.recordEndpoints
	a.loop.saveSnapshot = h.offerSnapshot
	if h.reducedLimits = !h.StartedAlone(); h.reducedLimits {
		a.listener.Reserve(a.halfOfAcceptLimit())
		a.applyLimits(a.cfg.halfLimits())
	}
}

func (a *Agent) recordEndpoints(from string, list *discovery.EndpointList) {
	if err := a.hotRestart.SaveList(from, list); err != nil {
		a.log.Warn("endpoint list not recorded for the successor", "error", err)
	}
}

func (a *Agent) halfOfAcceptLimit() int {
	return maxAcceptedConns(a.cfg.shareableDescriptors()) - maxAcceptedConns(a.cfg.halfLimits().shareableDescriptors())
}

// applyLimits keeps this process to the limits of c. Idle connections to backends beyond them are closed.
func (a *Agent) applyLimits(c *Config) {
	a.pool.SetLimit(maxUpstreamConns(c.shareableDescriptors()))
	a.frontend.setLimit(maxClientConns(c.shareableDescriptors()))
	c.LimitMemory()
}

// restoreState continues from what earlier processes of this agent recorded, before the event loop runs. The admin calls
// that they accepted apply here too, so clients wait while the record can't be read.
func (a *Agent) restoreState(stop context.Context) {
	calls, lameDuck, ok := a.hotRestart.Poll()
	for !ok && time.Since(a.hotRestart.startedAt) < recordTimeout && stop.Err() == nil {
		time.Sleep(pollInterval / 10)
		calls, lameDuck, ok = a.hotRestart.Poll()
	}
	if !ok {
		a.log.Error("handover record not readable yet")
	}
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
	timeout := time.NewTimer(min(endpointsTimeout, recordTimeout-time.Since(a.hotRestart.startedAt)))
	defer timeout.Stop()
	tick := time.NewTicker(pollInterval / 10)
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

// runHotRestart records snapshots, applies the admin calls that another process of this agent accepts, and shares the
// limits with it while it runs, until ctx ends.
func (a *Agent) runHotRestart(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-a.hotRestart.snapshots:
			if err := a.hotRestart.SaveSnapshot(snapshot); err != nil {
				a.log.Warn("snapshot not recorded for the successor", "error", err)
			}
			continue
		case <-tick.C:
		}
		a.syncAdminCalls(ctx)
		a.adjustLimits()
	}
}

// syncAdminCalls makes the calls to either process apply in both, and in the record.
func (a *Agent) syncAdminCalls(ctx context.Context) {
	if err := a.hotRestart.Register(); err != nil {
		return // logged at the start
	}
	_ = a.hotRestart.Flush(ctx) // logged when the call was accepted, and retried
	calls, lameDuck, _ := a.hotRestart.Poll()
	for _, call := range calls {
		if _, err := a.loop.submitCall(ctx, a.replicatedCall(call)); err != nil {
			a.log.Warn("admin call to another process not applied", "backend", call.Backend, "error", err)
		}
	}
	if a.loop.lameDuck.Load() != lameDuck {
		a.frontend.setLameDuck(lameDuck)
		a.log.Info("lame duck changed by an admin call to another process", "on", lameDuck)
	}
}

// adjustLimits keeps this process to half of the limits while another may be running.
func (a *Agent) adjustLimits() {
	h := a.hotRestart
	switch {
	case h.reducedLimits && !h.hasSuccessor && h.BecomePrimary():
		h.reducedLimits = false
		a.listener.Reserve(-a.halfOfAcceptLimit())
		a.applyLimits(a.cfg)
		a.log.Info("older process ended")
	case !h.hasSuccessor && h.HasSuccessor():
		h.hasSuccessor = true
		a.applyLimits(a.cfg.halfLimits())
		debug.FreeOSMemory()
		a.log.Info("successor started")
	case h.hasSuccessor && h.ReclaimFromSuccessor():
		h.hasSuccessor = false
		a.applyLimits(a.cfg)
		a.log.Warn("successor ended before it took over")
	}
}
