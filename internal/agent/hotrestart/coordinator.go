// Package hotrestart coordinates the processes of one agent while the platform replaces one by another: each keeps to half of
// the limits while the other may be running, applies the admin calls that the other accepts, and records what its successor
// has to know.
//
// A Coordinator owns the place of its process in the handover directory. What it changes in the process goes through the
// Process interface; it knows nothing of sockets and requests.
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
	pollInterval = 50 * time.Millisecond // between looks at what the other process has recorded
	// A new process has to be ready within 6 s of its start. Until then it may wait for its place in the handover directory,
	// for the older process's record and for an endpoint list.
	claimTimeout  = time.Second
	recordTimeout = 5 * time.Second // from the start
)

// Process is the process of a Coordinator, as far as a hot restart changes it. Only the goroutine that calls ShareLimits or
// Run calls its methods.
type Process interface {
	// ShareListener leaves half of the accepted connections to the other process on the same listener, or takes them back.
	ShareListener(on bool)
	// HalveLimits keeps the process to half of its limits, or gives it all of them.
	HalveLimits(on bool)
	// ApplyOverride applies an admin call that another process accepted.
	ApplyOverride(ctx context.Context, override handover.Override) error
	LameDuck() bool
	SetLameDuck(on bool)
}

// Coordinator is one process's part in hot restarts.
type Coordinator struct {
	*handover.Store
	log           *slog.Logger
	snapshots     chan balancer.Snapshot // the latest, at most one
	startedAt     time.Time
	reducedLimits bool // another process may be using the other half of the limits
	hasSuccessor  bool
}

// New takes the process's place in the handover directory. It waits a moment for that, until ctx ends at the latest; if it
// fails, Run goes on trying.
func New(ctx context.Context, dir string, log *slog.Logger) *Coordinator {
	c := &Coordinator{Store: handover.New(dir, log), log: log, snapshots: make(chan balancer.Snapshot, 1), startedAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := listener.Retry(ctx, nil, func() (struct{}, error) { return struct{}{}, c.Register() })
	if err != nil {
		log.Error("handover record not writable yet", "error", err)
	}
	return c
}

// ShareLimits keeps the process to half of the limits if an older one of the same agent is running, or may be. It is called
// once, before Run.
func (c *Coordinator) ShareLimits(p Process) {
	if c.reducedLimits = !c.StartedAlone(); c.reducedLimits {
		p.ShareListener(true)
		p.HalveLimits(true)
	}
}

// OfferSnapshot replaces the snapshot that is waiting to be recorded. One goroutine calls it; it does not block.
func (c *Coordinator) OfferSnapshot(snapshot balancer.Snapshot) {
	select {
	case <-c.snapshots:
	default:
	}
	c.snapshots <- snapshot
}

// RecordEndpoints records an endpoint list for the successor, with the discovery address that it is from.
func (c *Coordinator) RecordEndpoints(from string, list *discovery.EndpointList) {
	if err := c.SaveList(from, list); err != nil {
		c.log.Warn("endpoint list not recorded for the successor", "error", err)
	}
}

// AwaitRecord waits until the record of earlier processes can be read, for as long as a new process may wait and until stop
// ends at the latest. It returns the admin calls that they accepted.
func (c *Coordinator) AwaitRecord(stop context.Context) (overrides []handover.Override, lameDuck bool) {
	overrides, lameDuck, ok := c.Poll()
	for !ok && c.TimeLeft() > 0 && stop.Err() == nil {
		time.Sleep(pollInterval / 10)
		overrides, lameDuck, ok = c.Poll()
	}
	if !ok {
		c.log.Error("handover record not readable yet")
	}
	return overrides, lameDuck
}

// TimeLeft returns how long the process may still wait before it is ready.
func (c *Coordinator) TimeLeft() time.Duration { return recordTimeout - time.Since(c.startedAt) }

// Run records snapshots, applies the admin calls that another process of this agent accepts, and shares the limits with it
// while it runs, until ctx ends.
func (c *Coordinator) Run(ctx context.Context, p Process) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-c.snapshots:
			if err := c.SaveSnapshot(snapshot); err != nil {
				c.log.Warn("snapshot not recorded for the successor", "error", err)
			}
			continue
		case <-tick.C:
		}
		c.syncAdminCalls(ctx, p)
		c.adjustLimits(p)
	}
}

// syncAdminCalls makes the calls to either process apply in both, and in the record.
func (c *Coordinator) syncAdminCalls(ctx context.Context, p Process) {
	if err := c.Register(); err != nil {
		return // logged at the start
	}
	_ = c.Flush(ctx) // logged when the call was accepted, and retried
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

// adjustLimits keeps the process to half of the limits while another may be running.
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
