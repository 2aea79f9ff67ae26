package agent

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
	pollInterval     = 50 * time.Millisecond  // for calls to the other process
	snapshotInterval = 500 * time.Millisecond // what the module would hand on
	// A yes is due within 6 s. Until then a process that replaces another may wait for its place and for what the other has
	// recorded, and less long for a list.
	claimTimeout     = time.Second
	recordTimeout    = 5 * time.Second // after the start
	endpointsTimeout = 3 * time.Second
)

// hotRestart is this process's part in the replacing of one process of an agent by another.
type hotRestart struct {
	*handover.Store
	snapshots     chan balancer.Snapshot // of the loop, the latest
	startedAt     time.Time
	reducedLimits bool // another process may have the other half of the limits
	hasSuccessor  bool
}

// offerSnapshot keeps what the module would hand on now, in place of what it would have before.
func (h *hotRestart) offerSnapshot(snapshot balancer.Snapshot) {
	select {
	case <-h.snapshots:
	default:
	}
	h.snapshots <- snapshot
}

// prepareHandover finds out whether an older process of this agent is there. While it is, the two share out what one may use,
// and so they do as long as that is not known.
func (a *Agent) prepareHandover(ctx context.Context) {
	h := &hotRestart{Store: handover.New(a.cfg.HandoverDir, a.log), snapshots: make(chan balancer.Snapshot, 1), startedAt: time.Now()}
	a.hotRestart = h
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := listener.Retry(ctx, nil, func() (struct{}, error) { return struct{}{}, h.Register() })
	if err != nil {
		a.log.Error("nothing can be recorded for a successor yet", "error", err)
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
		a.log.Warn("the list is not recorded for a successor", "error", err)
	}
}

func (a *Agent) halfOfAcceptLimit() int {
	return maxAcceptedConns(a.cfg.shareableDescriptors()) - maxAcceptedConns(a.cfg.halfLimits().shareableDescriptors())
}

// applyLimits keeps this process to the limits of c.
func (a *Agent) applyLimits(c *Config) {
	a.pool.setLimit(maxUpstreamConns(c.shareableDescriptors()))
	a.frontend.setLimit(maxClientConns(c.shareableDescriptors()))
	c.LimitMemory()
}

// restoreState goes on where an earlier process of this agent was, before the loop runs. What that one was told holds here, so
// clients wait as long as the record can't be read.
func (a *Agent) restoreState(stop context.Context) {
	calls, lameDuck, ok := a.hotRestart.Poll()
	for !ok && time.Since(a.hotRestart.startedAt) < recordTimeout && stop.Err() == nil {
		time.Sleep(pollInterval / 10)
		calls, lameDuck, ok = a.hotRestart.Poll()
	}
	if !ok {
		a.log.Error("what an earlier process recorded can't be read yet")
	}
	record := a.hotRestart.LastRecord() // as it stands by now: the older process has gone on recording
	a.frontend.setLameDuck(lameDuck)
	if record.List != nil && record.ListSource == a.cfg.Discovery {
		a.cfg.CachedEndpoints = record.List // later than the one in the configuration, which is as old as the first process
	}
	a.log.Info("handover", "turn", a.hotRestart.Generation(), "alone", a.hotRestart.StartedAlone(), "calls", len(calls), "lame", lameDuck,
		"list", record.List != nil)
	if record.Snapshot != nil {
		a.loop.pending = append(a.loop.pending, balancer.Restore{Snapshot: *record.Snapshot})
	}
	for _, call := range calls {
		replicated := a.replicatedCall(call)
		replicated.accepted = make(chan bool, 1)
		a.loop.enqueueCall(replicated)
	}
}

// replicatedCall is a call to another process of this agent, as the loop takes it.
func (a *Agent) replicatedCall(recorded handover.Override) *adminCall {
	replicated := &adminCall{ctx: context.Background(), backend: recorded.Backend, detach: recorded.Disabled, replicated: true}
	if !recorded.Disabled {
		replicated.madeAt = a.loop.clock.now() - (bootclock.SinceBoot() - recorded.IssuedAt)
	}
	return replicated
}

// awaitEndpoints waits for a list of backends: before, no client could be served. Those that connect
// meanwhile have the older process to serve them.
func (a *Agent) awaitEndpoints(stop context.Context) {
	timeout := time.NewTimer(min(endpointsTimeout, recordTimeout-time.Since(a.hotRestart.startedAt)))
	defer timeout.Stop()
	tick := time.NewTicker(pollInterval / 10)
	defer tick.Stop()
	for !a.loop.ready.Load() {
		select {
		case <-tick.C:
		case <-timeout.C:
			a.log.Warn("taking clients without a list")
			return
		case <-stop.Done():
			return
		}
	}
}

// runHotRestart keeps to the calls that another process of this agent takes, and to half of the limits while
// there is one, until ctx ends.
func (a *Agent) runHotRestart(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-a.hotRestart.snapshots:
			if err := a.hotRestart.SaveSnapshot(snapshot); err != nil {
				a.log.Warn("nothing is recorded for a successor", "error", err)
			}
			continue
		case <-tick.C:
		}
		a.syncAdminCalls(ctx)
		a.adjustLimits()
	}
}

// syncAdminCalls has the calls to both processes hold in both, and in the record.
func (a *Agent) syncAdminCalls(ctx context.Context) {
	if err := a.hotRestart.Register(); err != nil {
		return // said at the start
	}
	_ = a.hotRestart.Flush(ctx) // said when they were taken, and tried again
	calls, lameDuck, _ := a.hotRestart.Poll()
	for _, call := range calls {
		if _, err := a.loop.submitCall(ctx, a.replicatedCall(call)); err != nil {
			a.log.Warn("a call to another process does not hold here", "backend", call.Backend, "error", err)
		}
	}
	if a.loop.lameDuck.Load() != lameDuck {
		a.frontend.setLameDuck(lameDuck)
		a.log.Info("lame duck, by a call to another process", "on", lameDuck)
	}
}

// adjustLimits keeps this process to half of the limits while another may be there.
func (a *Agent) adjustLimits() {
	h := a.hotRestart
	switch {
	case h.reducedLimits && !h.hasSuccessor && h.BecomePrimary():
		h.reducedLimits = false
		a.listener.Reserve(-a.halfOfAcceptLimit())
		a.applyLimits(a.cfg)
		a.log.Info("the older process has ended")
	case !h.hasSuccessor && h.HasSuccessor():
		h.hasSuccessor = true
		a.applyLimits(a.cfg.halfLimits())
		debug.FreeOSMemory()
		a.log.Info("a successor has started")
	case h.hasSuccessor && h.ReclaimFromSuccessor():
		h.hasSuccessor = false
		a.applyLimits(a.cfg)
		a.log.Warn("the successor has ended before it took the clients")
	}
}
