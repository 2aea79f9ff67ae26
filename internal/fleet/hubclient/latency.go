// The latencies from this agent's zone to all zones.

package hubclient

import (
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
)

// updateLatency reports the latencies to all zones if any of them has changed. A zone without a known latency has zero.
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

// latencyRow returns the latencies from this agent's zone by zone name, from the most recent valid entry. known is
// false if there is no valid entry within its age bound.
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
