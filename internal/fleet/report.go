package fleet

// This file writes the summary log line and the trace.

import (
	"time"

	"martenbeam/internal/fleet/gossip"
)

const summaryInterval = 10 * time.Second

// logSummary logs the state of the fleet as observed by this process, and the use of gossip since the start. It is called
// every summaryInterval.
func (f *Fleet) logSummary() {
	stats := f.store.Stats()
	f.mu.Lock()
	quota := f.quota
	f.mu.Unlock()
	args := []any{"members", f.members.View().Len(), "part", quota, "facts", stats.Entries, "malformed", stats.Malformed,
		"stops", stats.Stops, "bytes", f.gossipBytes.Swap(0)}
	for kind, kindStats := range stats.Kinds {
		if kindStats.Used > 0 || kindStats.Rejected > 0 {
			args = append(args, kind, kindStats.String())
		}
	}
	f.cfg.Log.Info("fleet", args...)
}

// traceUse writes the use or publication of a gossip entry to the trace.
func (f *Fleet) traceUse(u gossip.Use) {
	gossip.Trace{W: f.cfg.Trace}.Use(u)
}

// trace writes a line to the trace.
func (f *Fleet) trace(line map[string]any) {
	gossip.Trace{W: f.cfg.Trace}.Line(line)
}
