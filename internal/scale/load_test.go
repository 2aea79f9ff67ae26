package scale

// Measurement of the cost of a hub to which all agents are attached, as after the failure of the other hubs.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// loadTable measures one hub to which all agents of a large fleet are attached.
func loadTable(t *testing.T) {
	list := []int{257, 600}
	if !*full {
		list = []int{14}
	}
	for _, n := range list {
		for _, run := range runNumbers() {
			t.Run(fmt.Sprintf("%d-%d", n, run), func(t *testing.T) { saveRows(t, measureLoad(t, n, run)) })
		}
	}
}

// measureLoad measures the cost of the first hub while all agents are attached to it and nothing changes.
func measureLoad(t *testing.T, n, run int) row {
	fleet := newTestFleet(t, simagent.Hubs, n, true)
	fleet.firstHubOnly = true
	fleet.startAll(time.Duration(n) * *pace)
	r := row{Table: "load", Mode: string(simagent.Hubs), N: n, Matrix: true, Run: run, Case: "all at one hub"}
	if r.Void = fleet.awaitStart(); r.Void != "" {
		return r
	}
	settle, measure := 100*time.Millisecond, 500*time.Millisecond
	if *full {
		settle, measure = *warm, 2**window // longer, since a hub's processor time has a resolution of 10 ms
	}
	time.Sleep(settle) // so that the work of the start is not measured
	hubs, m := fleet.hubs.meter(t), fleet.startMeter(false)
	time.Sleep(measure) // the measured span
	s := m.end()
	all := hubs.end(s)
	r.Void = s.void
	r.Values = map[string]float64{
		"the hub: processor ms/s":          all["the first hub: processor ms/s"],
		"the hub: resident MB":             all["the first hub: resident MB"],
		"the hub: bytes/s from its agents": all["a hub: bytes/s from its agents"] * float64(len(zones)),
		"the hub: bytes/s to its agents":   all["a hub: bytes/s to its agents"] * float64(len(zones)),
		"an agent: processor us/s":         s.cpu.Seconds() * 1e6 / float64(n) / s.duration.Seconds(),
		"timers late ms p99":               s.late.Seconds() * 1e3,
	}
	return r
}
