package balancer

// The records that follow the endpoint list. Nothing is decided here.

import (
	"cmp"
	"fmt"
	"slices"
)

// mergeEndpoints applies an endpoint update to the records: new backends, restarted ones, removed ones.
func (b *Balancer) mergeEndpoints(update EndpointUpdate) {
	listed := map[string]bool{}
	for _, entry := range b.overrides.apply(update.Backends, b.now, b.settings.SlowStartWindow) {
		listed[entry.ID] = true
		backend := b.byID[entry.ID]
		if backend == nil {
			backend = &backendState{Backend: entry, gossipKey: gossipKey(entry.ID), latencyEstimate: latencyEstimate{latencyRatio: 1},
				subsetRank: gossipKey(fmt.Sprint(entry.ID, b.settings.Self))}
			b.byID[entry.ID], b.byGossipKey[backend.gossipKey] = backend, backend
			b.backends, b.unstable = append(b.backends, backend), append(b.unstable, backend)
			if entry.Started > 0 {
				b.beginSlowStart(backend, entry.Started)
			}
			continue
		}
		b.markUnstable(backend)
		if entry.Started > backend.Started {
			b.beginSlowStart(backend, max(entry.Started, backend.slowStartAt))
			backend.restarted()
		}
		backend.Backend = entry
	}
	slices.SortStableFunc(b.backends, func(x, y *backendState) int { return cmp.Compare(x.subsetRank, y.subsetRank) })
	// A removed backend is kept only while it has attempts outstanding: fleets are replaced again and again.
	b.backends = slices.DeleteFunc(b.backends, func(backend *backendState) bool {
		if update.Kind != UpdateDelta && !listed[backend.ID] {
			b.markUnstable(backend)
			backend.State = Removed
		}
		forget := backend.State == Removed && len(backend.outstanding) == 0
		if forget {
			delete(b.byID, backend.ID)
			delete(b.byGossipKey, backend.gossipKey)
		}
		return forget
	})
	b.unstable = slices.DeleteFunc(b.unstable, func(backend *backendState) bool { return b.byID[backend.ID] != backend })
}
