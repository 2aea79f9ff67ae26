package fleet

// This file derives the latencies from this site to the others.

import (
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/latency"
)

// publishLatencies passes the round trips and losses from this site to Callbacks.Latencies if any has changed. The matrix is
// rebuilt only when the content of a latency row has changed, a row has expired, or the members have changed.
func (f *Fleet) publishLatencies() {
	changes, _ := f.store.Changes(gossip.LatencyRow)
	view := f.members.View()
	f.mu.Lock()
	upToDate, matrix := f.matrixView == view && f.matrixChanges == changes, f.matrix
	f.mu.Unlock()
	var rows []gossip.Entry
	if !upToDate || f.cfg.Trace != nil { // keeping the matrix also counts as a use of its rows, which the trace must show
		rows = f.store.Entries(gossip.LatencyRow)
	}
	if f.cfg.Trace != nil {
		defer func() { f.trace(map[string]any{"matrix": matrixLine(matrix)}) }()
	}
	if upToDate {
		return
	}
	matrix = latency.NewMatrix(rows, view)
	rtts, lossRates := make([]time.Duration, len(f.zones)), make([]float64, len(f.zones))
	for i, zone := range f.zones {
		if e, known := matrix.Between(f.cfg.Site, zone); known {
			rtts[i], lossRates[i] = e.RTT, e.Loss
		}
	}
	f.mu.Lock()
	f.matrix, f.matrixView, f.matrixChanges = matrix, view, changes
	f.matrixBuilds++
	unchanged := slices.Equal(rtts, f.rtts) && slices.Equal(lossRates, f.lossRates)
	f.rtts, f.lossRates = rtts, lossRates
	f.mu.Unlock()
	if !unchanged && f.callbacks.Latencies != nil {
		f.callbacks.Latencies(rtts, lossRates)
	}
}

// matrixLine returns the round trips in us, for the trace, by the names of both sites.
func matrixLine(matrix latency.Matrix) map[string]float64 {
	line := map[string]float64{}
	for p, e := range matrix {
		line[p.A+" "+p.B] = float64(e.RTT.Microseconds())
	}
	return line
}
