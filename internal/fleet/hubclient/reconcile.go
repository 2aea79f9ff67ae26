package hubclient

import (
	"context"
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
	"martenbeam/internal/fleet/latency"
)

const (
	startupQuota    = 0.1 // of an even part, for one that starts
	summaryInterval = 10 * time.Second
)

// runLoop keeps ages, and does what follows from what is known, until ctx ends.
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
		if c.mesh.Load() == nil { // it measures itself
			c.updateLatency()
		}
		c.followDocuments(ctx)
	}
}

// fleetSize is who there is, as hubs tell it: of several, what leaves this agent the least.
func (c *Client) fleetSize() (size hub.FleetSize, fresh bool) {
	for _, entry := range c.store.Entries(gossip.FleetSize) {
		published, err := hub.ParseFleetSize(entry.Body)
		if err != nil || entry.Subject != hub.FleetSubject {
			continue
		}
		if !fresh {
			size = published
		}
		size.Attached, size.Starting, size.Dead, fresh = max(size.Attached, published.Attached), max(size.Starting, published.Starting), min(size.Dead, published.Dead), true
	}
	return size, fresh
}

// recomputeQuota reckons this agent's part of the in-flight limit. Without a fresh word of who is dead it is an even one. Where the
// flat fleet runs the lower of both rules holds: those that follow the hubs use the parts of others than those who don't.
func (c *Client) recomputeQuota() {
	size, fresh := c.fleetSize()
	maxAgents := c.cfg.MaxAgents
	quota := startupQuota / float64(maxAgents)
	if c.quotaConfirmed.Load() || time.Since(c.startedAt) >= c.cfg.Bounds[gossip.FleetSize] {
		users := maxAgents
		if fresh {
			users = max(1, maxAgents-int(size.Dead), int(size.Attached))
		}
		quota = 1 / float64(users)
	}
	c.mu.Lock()
	if c.meshQuota > 0 {
		quota = min(quota, c.meshQuota)
	}
	unchanged := quota == c.status.Quota
	c.status.Quota = quota
	if fresh {
		c.status.FleetSize = size
	}
	c.mu.Unlock()
	if unchanged {
		return
	}
	gossip.Trace{W: c.cfg.Trace}.Line(map[string]any{"part": quota})
	if c.callbacks.Quota != nil {
		c.callbacks.Quota(quota)
	}
}

// updateLatency tells the agent how far the zones are, where that has changed.
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

// latencyRow is how far the zones are from this agent's, as told last.
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

func (c *Client) logSummary() {
	stats, status := c.store.Stats(), c.Status()
	args := []any{"hub", status.Hub, "flat", status.MeshRunning, "part", status.Quota, "attached", status.FleetSize.Attached, "gone", status.FleetSize.Dead, "facts", stats.Entries,
		"malformed", stats.Malformed, "stops", stats.Stops}
	for kind, kindStats := range stats.Kinds {
		if kindStats.Used > 0 || kindStats.Rejected > 0 {
			args = append(args, kind, kindStats.String())
		}
	}
	c.cfg.Log.Info("fleet", args...)
}
