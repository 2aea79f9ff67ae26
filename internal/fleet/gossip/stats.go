package gossip

// This file reports how entries were used.

import (
	"fmt"
	"maps"
	"slices"
)

// Stats are the counters of a store since it was created.
type Stats struct {
	Entries   int                  // entries in the store now
	Stops     int                  // detected stops of the process
	Malformed int                  // messages that could not be decoded
	Kinds     map[string]KindStats // by Kind.String, one for each kind that has an age bound
}

// KindStats are the counters of one kind of entry.
type KindStats struct {
	Used          int64 // entries returned by Store.Entries
	Rejected      int   // entries past their bound, on arrival or on use, and entries that arrived while the store was full
	P50, P99, Max int64 // age at use, in ms
}

// Stats returns the counters. It may be called from any goroutine.
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

// String returns the counters in the form used in the summary log line.
func (k KindStats) String() string {
	return fmt.Sprintf("used %d, refused %d, age ms p50 %d p99 %d max %d", k.Used, k.Rejected, k.P50, k.P99, k.Max)
}
