package fleet

import (
	"context"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
	"martenbeam/internal/fleet/member"
)

// What a hub needs of the fleet that it is in; see hub.Fleet.

// Facts are what is known here.
func (f *Fleet) Facts() *gossip.Store { return f.facts }

// Hubs are the other hubs that are there.
func (f *Fleet) Hubs() (list []member.Member) {
	for m := range f.list.View().Hubs() {
		if m.Name != f.cfg.Name {
			list = append(list, m)
		}
	}
	return list
}

// Missing are the hubs that are not there and may be; see member.List.
func (f *Fleet) Missing() []member.Member { return f.list.Missing() }

// Flat are the names of the agents that are members themselves.
func (f *Fleet) Flat() map[string]bool {
	names := map[string]bool{}
	for m := range f.list.View().All() {
		if !m.Hub {
			names[m.Name] = true
		}
	}
	return names
}

// Dead reports whether the process that had an address is gone for certain.
func (f *Fleet) Dead(ctx context.Context, m member.Member, within time.Duration) bool {
	return f.list.Dead(ctx, m, within)
}

// Matrix is how far the sites are from each other, as known now.
func (f *Fleet) Matrix() latency.Matrix {
	return latency.Make(f.facts.Now(gossip.Distance), f.list.View())
}
