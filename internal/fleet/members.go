package fleet

import (
	"context"
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// Members are those that are there, this one included, by name.
func (f *Fleet) Members() []member.Member { return slices.Collect(f.members.View().All()) }

// Count is how many members are there, at the cost of none of them.
func (f *Fleet) Count() int { return f.members.Count() }

// Abort closes the fleet's sockets without a goodbye, as a kill would. Run still has to be ended.
func (f *Fleet) Abort() error { return f.members.Abort() }

// What a hub needs of the fleet that it is in; see hub.Fleet.

// Gossip are what is known here.
func (f *Fleet) Gossip() *gossip.Store { return f.store }

// Hubs are the other hubs that are there.
func (f *Fleet) Hubs() (list []member.Member) {
	for m := range f.members.View().Hubs() {
		if m.Name != f.cfg.Name {
			list = append(list, m)
		}
	}
	return list
}

// MissingHubs are the hubs that are not there and may be; see member.List.
func (f *Fleet) MissingHubs() []member.Member { return f.members.MissingHubs() }

// MeshAgents are the names of the agents that are members themselves.
func (f *Fleet) MeshAgents() map[string]bool {
	names := map[string]bool{}
	for m := range f.members.View().All() {
		if !m.Hub {
			names[m.Name] = true
		}
	}
	return names
}

// ConfirmDead reports whether the process that had an address is gone for certain.
func (f *Fleet) ConfirmDead(ctx context.Context, m member.Member, timeout time.Duration) bool {
	return f.members.ConfirmDead(ctx, m, timeout)
}

// LatencyMatrix is how far the sites are from each other, as known now.
func (f *Fleet) LatencyMatrix() latency.Matrix {
	return latency.NewMatrix(f.store.Entries(gossip.LatencyRow), f.members.View())
}
