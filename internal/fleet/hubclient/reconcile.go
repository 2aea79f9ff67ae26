// The loop that derives an agent's state from the entries that hubs send.

package hubclient

import (
	"context"
	"time"

	"martenbeam/internal/fleet/gossip"
)

const summaryInterval = 10 * time.Second

// runLoop drops expired entries and recomputes all derived state, at each tick and each call of requestRecompute,
// until ctx ends.
func (c *Client) runLoop(ctx context.Context) {
	tick := time.NewTicker(gossip.TickInterval)
	defer tick.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-summary.C:
			c.logSummary()
		case <-c.recomputeRequests:
		case <-tick.C:
		}
		c.store.Tick()
		c.recomputeQuota()
		if c.mesh.Load() == nil { // the mesh reports latencies itself
			c.updateLatency()
		}
		c.followDocuments(ctx)
	}
}

// logSummary logs this agent's view of the fleet. The keys flat, part, gone and facts are older than the names of the
// fields MeshRunning, Quota, Dead and Entries.
func (c *Client) logSummary() {
	stats, status := c.store.Stats(), c.Status()
	args := []any{"hub", status.Hub, "flat", status.MeshRunning, "part", status.Quota, "attached", status.FleetSize.Attached,
		"gone", status.FleetSize.Dead, "facts", stats.Entries, "malformed", stats.Malformed, "stops", stats.Stops}
	for kind, kindStats := range stats.Kinds {
		if kindStats.Used > 0 || kindStats.Rejected > 0 {
			args = append(args, kind, kindStats.String())
		}
	}
	c.cfg.Log.Info("fleet", args...)
}
