package fleet

// This file gives hubs and tests access to the members and to the shared state.

import (
	"context"
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// Members returns the members, this one included, sorted by name.
func (f *Fleet) Members() []member.Member { return slices.Collect(f.members.View().All()) }

// Count returns the number of members, this one included, without building a list of them.
func (f *Fleet) Count() int { return f.members.Count() }

// Abort closes the fleet's sockets without leaving the fleet, as if the process were killed. If Run was called, its context
// must still be cancelled.
func (f *Fleet) Abort() error { return f.members.Abort() }

// The methods below, with Dial, implement hub.Fleet.

// Gossip returns the gossip store of this process.
func (f *Fleet) Gossip() *gossip.Store { return f.store }

// Hubs returns the other members that are hubs.
func (f *Fleet) Hubs() (list []member.Member) {
	for m := range f.members.View().Hubs() {
		if m.Name != f.cfg.Name {
			list = append(list, m)
		}
	}
	return list
}

// MissingHubs returns the hubs that are not members but may still run; see member.List.MissingHubs.
func (f *Fleet) MissingHubs() []member.Member { return f.members.MissingHubs() }

// MeshAgents returns the names of the agents that are members of this full mesh, because they are not attached to a hub.
func (f *Fleet) MeshAgents() map[string]bool {
	names := map[string]bool{}
	for m := range f.members.View().All() {
		if !m.Hub {
			names[m.Name] = true
		}
	}
	return names
}

// ConfirmDead reports whether the process at a member's address has ended for certain; see member.List.ConfirmDead.
func (f *Fleet) ConfirmDead(ctx context.Context, m member.Member, timeout time.Duration) bool {
	return f.members.ConfirmDead(ctx, m, timeout)
}

// LatencyMatrix builds the matrix of the latencies between all sites from the rows that may be used now.
func (f *Fleet) LatencyMatrix() latency.Matrix {
	return latency.NewMatrix(f.store.Entries(gossip.LatencyRow), f.members.View())
}
