// This agent's quota of the fleet's in-flight limit.

package hubclient

import (
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/hub"
)

const startupQuota = 0.1 // fraction of an even quota, used while another process may still use this agent's quota

// fleetSize returns the fleet size that the hubs publish. fresh is false if no fleet size is within its age bound. When
// several hubs disagree, each value is the one that gives this agent the smallest quota.
func (c *Client) fleetSize() (size hub.FleetSize, fresh bool) {
	for _, entry := range c.store.Entries(gossip.FleetSize) {
		published, err := hub.ParseFleetSize(entry.Body)
		if err != nil || entry.Subject != hub.FleetSubject {
			continue
		}
		if !fresh {
			size = published
		}
		size.Attached, size.Starting = max(size.Attached, published.Attached), max(size.Starting, published.Starting)
		size.Dead, fresh = min(size.Dead, published.Dead), true
	}
	return size, fresh
}

// hubQuota returns an agent's share of the fleet's in-flight limit by the rule of fleets with hubs, from 0 to 1. The
// limit is divided by the number of agents that are not confirmed dead, because an agent that is not attached may still
// run on the other side of a network partition and use its quota. The divisor is at least size.Attached and at least 1.
// Without a fresh size it is maxAgents, and without confirmation the quota is the startup quota. fresh reports whether
// size is within its age bound; confirmed reports whether no other process can still use this agent's quota.
func hubQuota(maxAgents int, size hub.FleetSize, fresh, confirmed bool) float64 {
	if !confirmed {
		return startupQuota / float64(maxAgents)
	}
	quotaHolders := maxAgents
	if fresh {
		quotaHolders = max(1, maxAgents-int(size.Dead), int(size.Attached))
	}
	return 1 / float64(quotaHolders)
}

// recomputeQuota computes this agent's share of the fleet's in-flight limit, and reports it if it has changed. While
// the full mesh runs, the lower of the hub's and the mesh's quota applies. Attached agents and members of the mesh may
// have redistributed the quotas of different dead agents; the lower quota keeps the sum within the limit.
func (c *Client) recomputeQuota() {
	size, fresh := c.fleetSize()
	confirmed := c.quotaConfirmed.Load() || time.Since(c.startedAt) >= c.cfg.AgeBounds[gossip.FleetSize]
	quota := hubQuota(c.cfg.MaxAgents, size, fresh, confirmed)
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
