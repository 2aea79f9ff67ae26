package gossip

import (
	"fmt"
	"maps"
	"slices"
)

// Stats is what a store has seen.
type Stats struct {
	Entries, Stops, Malformed int
	Kinds                     map[string]KindStats
}

// KindStats is how facts of a kind were used: ages in ms.
type KindStats struct {
	Used          int64
	Rejected      int
	P50, P99, Max int64
}

func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Entries: s.size, Stops: s.stops, Malformed: s.malformed, Kinds: map[string]KindStats{}}
	for _, k := range slices.Sorted(maps.Keys(s.bounds)) {
		ks := KindStats{Rejected: s.rejected[k]}
		if h := s.useAges[k]; h != nil {
			ks.Used, ks.P50, ks.P99, ks.Max = h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()
		}
		st.Kinds[k.String()] = ks
	}
	return st
}

func (k KindStats) String() string {
	return fmt.Sprintf("used %d, refused %d, age ms p50 %d p99 %d max %d", k.Used, k.Rejected, k.P50, k.P99, k.Max)
}
