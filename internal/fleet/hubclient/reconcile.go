// The loop that derives an agent's state from the entries that hubs sent, and the latencies among that state.

package hubclient

import (
	"context"
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
)

const summaryInterval = 10 * time.Second

// runLoop expires old entries and recomputes everything that is derived from entries, at each tick and each wake,
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
		case <-c.wakeup:
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

// updateLatency reports the latency to each zone when any has changed; zero: unknown.
func (c *Client) updateLatency() {
	row, known := c.latencyRow()
	rtts, lossRates := make([]time.Duration, len(c.zones)), make([]float64, len(c.zones))
	for i, zone := range c.zones {
		rtts[i], lossRates[i] = row[zone].RTT, row[zone].Loss
	}
	c.mu.Lock()
	unchanged := slices.Equal(rtts, c.rtts) && slices.Equal(lossRates, c.lossRates)
	c.rtts, c.lossRates, c.status.LatenciesKnown = rtts, lossRates, known
	c.mu.Unlock()
	if !unchanged && c.callbacks.Latencies != nil {
		c.callbacks.Latencies(rtts, lossRates)
	}
}

// latencyRow returns the latencies from this agent's zone by zone name, from the youngest valid entry. known is false
// when no entry is within its age bound.
func (c *Client) latencyRow() (row map[string]latency.Estimate, known bool) {
	var age time.Duration
	for _, entry := range c.store.Entries(gossip.LatencyRow) {
		if entry.Subject != c.cfg.Site || known && entry.Age >= age {
			continue
		}
		if parsed, err := latency.DecodeRow(entry.Body); err == nil {
			row, known, age = parsed, true, entry.Age
		}
	}
	return row, known
}

// logSummary logs the state of the fleet as known here. The attributes keep their keys: operators' queries use them.
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
