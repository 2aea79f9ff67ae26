package fleet

import (
	"time"

	"martenbeam/internal/fleet/gossip"
)

func (f *Fleet) logSummary() {
	stats := f.store.Stats()
	f.mu.Lock()
	quota := f.quota
	f.mu.Unlock()
	args := []any{"members", f.members.View().Len(), "part", quota, "facts", stats.Entries, "malformed", stats.Malformed, "stops", stats.Stops, "bytes", f.gossipBytes.Swap(0)}
	for kind, kindStats := range stats.Kinds {
		if kindStats.Used > 0 || kindStats.Rejected > 0 {
			args = append(args, kind, kindStats.String())
		}
	}
	f.cfg.Log.Info("fleet", args...)
}

// traceUse writes a fact's use, or that it was told, with the time on the wall: for who checks ages from outside.
func (f *Fleet) traceUse(u gossip.Use) {
	gossip.Trace{W: f.cfg.Trace}.Use(u)
}

func (f *Fleet) trace(line map[string]any) {
	gossip.Trace{W: f.cfg.Trace}.Line(line)
}

const summaryInterval = 10 * time.Second
