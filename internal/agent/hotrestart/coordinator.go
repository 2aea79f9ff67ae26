// Package hotrestart coordinates the processes of one agent while the platform replaces one by another. Each process uses
// half of the limits while the other may be running, applies the admin calls that the other accepts, and records the state
// that its successor needs.
//
// A Coordinator owns the registration of its process in the handover directory. It changes the process only through the
// Process interface, and does not depend on sockets or requests.
package hotrestart

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/listener"
)

const (
	pollInterval = 50 * time.Millisecond // between checks of what the other process has recorded
	// A new process must be ready within 6 s of its start. Until then it may wait for its registration in the handover
	// directory, for the older process's record and for an endpoint list. Admin calls that arrive meanwhile are answered
	// after the registration, and are due within a second.
	registerTimeout = 500 * time.Millisecond
	startupTimeout  = 5 * time.Second // since the start of the process
)

// Process is the part of a Coordinator's process that a hot restart changes. Only the goroutine that calls ShareLimits or
// Run calls its methods.
type Process interface {
	// ShareListener lets another process accept half of the connections on the shared listener, or accepts all of them
	// again.
	ShareListener(on bool)
	// HalveLimits reduces the limits of the process to half, or restores them.
	HalveLimits(on bool)
	// ApplyOverride applies an admin call that another process accepted.
	ApplyOverride(ctx context.Context, override handover.Override) error
	LameDuck() bool
	SetLameDuck(on bool)
}

// Coordinator coordinates the hot restarts of an agent in one of its processes.
type Coordinator struct {
	*handover.Store
	log           *slog.Logger
	snapshots     chan balancer.Snapshot // the latest snapshot that is not recorded yet, if any
	startedAt     time.Time
	reducedLimits bool // this process uses half of the limits, because an older one may be running
	hasSuccessor  bool
}

// New returns a coordinator, and registers the process in the handover directory dir. After transient errors New retries
// until ctx is done, for up to registerTimeout. If the registration fails, Run retries the registration.
func New(ctx context.Context, dir string, log *slog.Logger) *Coordinator {
	c := &Coordinator{Store: handover.New(dir, log), log: log, snapshots: make(chan balancer.Snapshot, 1), startedAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := listener.Retry(ctx, nil, func() (struct{}, error) { return struct{}{}, c.Register() })
	if err != nil {
		log.Error("handover record not writable yet", "error", err)
	}
	return c
}

// ShareLimits reduces the process to half of the limits if an older process of the same agent may be running. It must be
// called once, before Run.
func (c *Coordinator) ShareLimits(p Process) {
	if c.reducedLimits = !c.StartedAlone(); c.reducedLimits {
		p.ShareListener(true)
		p.HalveLimits(true)
	}
}

// OfferSnapshot makes snapshot the next one to be recorded, in place of an earlier one that is not recorded yet. It does not
// block. Only one goroutine may call it.
func (c *Coordinator) OfferSnapshot(snapshot balancer.Snapshot) {
	select {
	case <-c.snapshots:
	default:
	}
	c.snapshots <- snapshot
}

// RecordEndpoints records an endpoint list for the successor, with the discovery address from which the list was received.
func (c *Coordinator) RecordEndpoints(source string, list *discovery.EndpointList) {
	if err := c.SaveList(source, list); err != nil {
		c.log.Warn("endpoint list not recorded for the successor", "error", err)
	}
}

// AwaitRecord waits until the record of earlier processes has been read, TimeLeft has reached 0, or ctx is done. It returns
// the admin calls that the earlier processes accepted, and whether the agent is a lame duck.
func (c *Coordinator) AwaitRecord(ctx context.Context) (overrides []handover.Override, lameDuck bool) {
	overrides, lameDuck, ok := c.Poll()
	for !ok && c.TimeLeft() > 0 && ctx.Err() == nil {
		time.Sleep(pollInterval / 10)
		overrides, lameDuck, ok = c.Poll()
	}
	if !ok {
		c.log.Error("handover record not readable yet")
	}
	return overrides, lameDuck
}

// TimeLeft returns how long the process may still wait for the record and an endpoint list before it must be ready.
func (c *Coordinator) TimeLeft() time.Duration { return startupTimeout - time.Since(c.startedAt) }

// Run records snapshots, applies the admin calls that another process of this agent accepts, and shares the limits with the
// other process while that process runs. It returns when ctx is done.
func (c *Coordinator) Run(ctx context.Context, p Process) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-c.snapshots:
			if err := c.SaveSnapshot(snapshot); err != nil {
				c.log.Warn("snapshot not recorded for the successor", "error", err)
			}
			continue
		case <-ticker.C:
		}
		c.syncAdminCalls(ctx, p)
		c.adjustLimits(p)
	}
}

// syncAdminCalls applies the admin calls that another process has accepted, and records the calls that this process has
// accepted and not recorded yet.
func (c *Coordinator) syncAdminCalls(ctx context.Context, p Process) {
	if err := c.Register(); err != nil {
		return // New has logged the first failure
	}
	_ = c.Flush(ctx) // a failure was logged when the call was accepted; the next tick retries
	overrides, lameDuck, _ := c.Poll()
	for _, override := range overrides {
		if err := p.ApplyOverride(ctx, override); err != nil {
			c.log.Warn("admin call to another process not applied", "backend", override.Backend, "error", err)
		}
	}
	if p.LameDuck() != lameDuck {
		p.SetLameDuck(lameDuck)
		c.log.Info("lame duck changed by an admin call to another process", "on", lameDuck)
	}
}

// adjustLimits reduces the process to half of the limits when a successor has started, and restores the limits when the other
// process has ended. After the older process has ended, this process accepts all connections on the shared listener.
func (c *Coordinator) adjustLimits(p Process) {
	switch {
	case c.reducedLimits && !c.hasSuccessor && c.BecomePrimary():
		c.reducedLimits = false
		p.ShareListener(false)
		p.HalveLimits(false)
		c.log.Info("older process ended")
	case !c.hasSuccessor && c.HasSuccessor():
		c.hasSuccessor = true
		p.HalveLimits(true)
		debug.FreeOSMemory()
		c.log.Info("successor started")
	case c.hasSuccessor && c.ReclaimFromSuccessor():
		c.hasSuccessor = false
		p.HalveLimits(false)
		c.log.Warn("successor ended before it took over")
	}
}
