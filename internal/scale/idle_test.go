package scale

// Measurement of the cost of agents while nothing changes.

import (
	"fmt"
	"maps"
	"runtime"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

func idleTable(t *testing.T) {
	for _, m := range strings.Split(*matrix, ",") {
		for _, n := range fleetSizes(t, 14) {
			for _, run := range runNumbers() {
				for _, mode := range fleetModes() {
					t.Run(fmt.Sprintf("%s-%s-%d-%d", mode, m, n, run), func(t *testing.T) {
						saveRows(t, measureIdle(t, mode, n, m == "on", run))
					})
				}
			}
		}
	}
}

// measureIdle measures the cost of a fleet while nothing changes.
func measureIdle(t *testing.T, mode simagent.Mode, n int, matrix bool, run int) row {
	heap0, rss0 := memory()
	goroutines0 := runtime.NumGoroutine()
	fleet := newTestFleet(t, mode, n, matrix)
	fleet.startAll(time.Duration(n) * *pace)
	r := row{Table: "idle", Mode: string(mode), N: n, Matrix: matrix, Run: run}
	if reason := fleet.awaitStart(); reason != "" {
		r.Void = reason
		return r
	}
	settle, measure := 100*time.Millisecond, 500*time.Millisecond
	if *full {
		settle, measure = *warm, *window
	}
	time.Sleep(settle) // so that the work of the start is not measured
	hubs := fleet.hubs.meter(t)
	m := fleet.startMeter(true)
	time.Sleep(measure) // the measured span
	s := m.end()
	hubValues := hubs.end(s)
	goroutines := runtime.NumGoroutine()
	heap, rss := memory()
	r.Void, r.Values = s.void, map[string]float64{}
	maps.Copy(r.Values, hubValues)
	s.addCPU(r.Values, n)
	s.addTraffic(r.Values, n)
	r.Values["heap kB"] = (heap - heap0) / 1e3 / float64(n)
	r.Values["resident kB"] = (rss - rss0) / 1e3 / float64(n)
	r.Values["goroutines"] = float64(goroutines-goroutines0) / float64(n)
	r.Values["stolen by the host %"] = 100 * s.steal
	r.Values["timers late ms p99"] = s.late.Seconds() * 1e3
	return r
}

// addCPU adds an agent's mean processor time to values, in total and by part, in us a second. If the span was profiled, the
// total excludes the harness and the list service. Otherwise there are no parts, and the total includes both.
func (s *span) addCPU(values map[string]float64, numAgents int) {
	each := float64(numAgents) * s.duration.Seconds()
	profiled := 0.
	for _, d := range s.cpuByPart {
		profiled += d.Seconds()
	}
	cpu := s.cpu.Seconds()
	if profiled > 0 {
		for part, d := range s.cpuByPart {
			values["processor us/s, "+part] = cpu * d.Seconds() / profiled * 1e6 / each
		}
		cpu *= 1 - s.cpuByPart["harness"].Seconds()/profiled
	}
	values["processor us/s"] = cpu * 1e6 / each
}

// addTraffic adds an agent's mean traffic a second to values: in total, and the bytes sent by kind.
func (s *span) addTraffic(values map[string]float64, n int) {
	each := float64(n) * s.duration.Seconds()
	for _, p := range simagent.TrafficKinds {
		values["bytes/s in"] += float64(s.traffic.In[p].Bytes) / each
		values["bytes/s out"] += float64(s.traffic.Out[p].Bytes) / each
		values["messages/s in"] += float64(s.traffic.In[p].Messages) / each
		values["messages/s out"] += float64(s.traffic.Out[p].Messages) / each
		if s.traffic.Out[p].Bytes > 0 {
			values["bytes/s out, "+p.String()] = float64(s.traffic.Out[p].Bytes) / each
		}
	}
}
