package scale

// Measurement of the time and the cost of starting a fleet, a zone or restarted agents.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// rollingRestarts returns the number of agents to restart one after another, and the time between two restarts.
func rollingRestarts() (n int, pace time.Duration) {
	if *full {
		return 10, time.Second
	}
	return 2, 100 * time.Millisecond
}

func startTable(t *testing.T) {
	for _, n := range fleetSizes(t, 14) {
		for _, run := range runNumbers() {
			within := []time.Duration{time.Second, 10 * time.Second}
			if !*full {
				within = []time.Duration{200 * time.Millisecond}
			}
			for _, mode := range fleetModes() {
				for _, d := range within {
					t.Run(fmt.Sprintf("%s-%d-%v-%d", mode, n, d, run), func(t *testing.T) { saveRows(t, measureStart(t, mode, n, d, run)) })
				}
				t.Run(fmt.Sprintf("%s-%d-zone-%d", mode, n, run), func(t *testing.T) { saveRows(t, measureZoneStart(t, mode, n, run)...) })
			}
		}
	}
}

// peakTraffic finds the largest number of bytes that the fleet sends in one second.
type peakTraffic struct {
	end      chan struct{}
	done     sync.WaitGroup
	maxBytes int64
}

// watchPeakTraffic starts the watch, which ends with stop.
func (f *testFleet) watchPeakTraffic() *peakTraffic {
	w := &peakTraffic{end: make(chan struct{})}
	before := f.bytesSent()
	w.done.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for ended := false; !ended; {
			select {
			case <-tick.C:
			case <-w.end:
				ended = true // the remaining span is shorter than a second
			}
			now := f.bytesSent()
			w.maxBytes, before = max(w.maxBytes, now-before), now
		}
	})
	return w
}

// stop ends the watch, and returns the bytes sent in the busiest second.
func (w *peakTraffic) stop() int64 {
	close(w.end)
	w.done.Wait()
	return w.maxBytes
}

// bytesSent returns the number of bytes that all agents have sent.
func (f *testFleet) bytesSent() (n int64) {
	t := f.traffic()
	for _, x := range t.Out {
		n += x.Bytes
	}
	return n
}

// measureEvent measures an event from its start until all agents have the expected state and converged returns true.
// converged may be nil. The returned row has values per agent.
func (f *testFleet) measureEvent(r row, event func(), converged func() bool) row {
	peak, m := f.watchPeakTraffic(), f.startMeter(false)
	event()
	startedAt := time.Now()
	_, ok, reason := f.awaitConvergence(convergenceTimeout)
	for ok && converged != nil && !converged() {
		if ok = time.Since(startedAt) < convergenceTimeout; !ok {
			reason = "old processes are still known"
		}
		time.Sleep(pollInterval)
	}
	s := m.end()
	r.Void = s.void
	if !ok {
		r.Void = strings.TrimSuffix("not whole: "+reason+", "+s.void, ", ")
	}
	var sent int64
	for _, x := range s.traffic.Out {
		sent += x.Bytes
	}
	each := float64(f.n)
	r.Values = map[string]float64{
		"all know all after s":    s.duration.Seconds(),
		"after the last start s":  time.Since(startedAt).Seconds(),
		"bytes out":               float64(sent) / each,
		"processor ms":            s.cpu.Seconds() * 1e3 / each,
		"worst second, bytes out": float64(peak.stop()) / each,
		"timers late ms p99":      s.late.Seconds() * 1e3,
	}
	return r
}

// measureStart measures the start of all agents of a fleet, evenly spaced over the time within.
func measureStart(t *testing.T, mode simagent.Mode, n int, within time.Duration, run int) row {
	fleet := newTestFleet(t, mode, n, true)
	r := row{Table: "start", Mode: string(mode), N: n, Matrix: true, Case: fmt.Sprintf("all within %v", within), Run: run}
	return fleet.measureEvent(r, func() { fleet.startAll(within) }, nil)
}

// measureZoneStart measures the start of a zone's agents while the others run, and then rolling restarts.
func measureZoneStart(t *testing.T, mode simagent.Mode, n, run int) []row {
	fleet := newTestFleet(t, mode, n, true)
	zone := zones[len(zones)-1]
	fleet.startZone(zone, false, time.Duration(n)**pace)
	r := row{Table: "start", Mode: string(mode), N: n, Matrix: true, Run: run}
	// The last zone has no agents yet, so no agent can measure a round trip to it.
	fleet.expectedZones = len(zones) - 1
	if reason := fleet.awaitStart(); reason != "" {
		r.Case, r.Void = "a zone within 1s", reason
		return []row{r}
	}
	fleet.expectedZones = 0
	r.Case = "a zone within 1s"
	rows := []row{fleet.measureEvent(r, func() { fleet.startZone(zone, true, time.Second) }, nil)}
	count, pace := rollingRestarts()
	r.Case = fmt.Sprintf("%d restarted at 1 each %v", count, pace)
	return append(rows, fleet.measureEvent(r, func() {
		for i := range count {
			startedAt := time.Now()
			fleet.restart(1 + numSeeds + i%(n-1-numSeeds))
			if i < count-1 {
				time.Sleep(time.Until(startedAt.Add(pace))) // keeps the restarts evenly spaced, however long each restart takes
			}
		}
	}, fleet.membersUpToDate))
}

// startZone starts the agents of a zone, or all other agents if inZone is false. It spaces the starts as if it started all
// agents of the fleet within the given time.
func (f *testFleet) startZone(zone string, inZone bool, within time.Duration) {
	startedAt, numStarted := time.Now(), 0
	for i := range f.n {
		if (zones[i%len(zones)] == zone) != inZone {
			continue
		}
		f.start(i, "")
		if d := time.Until(startedAt.Add(within * time.Duration(numStarted) / time.Duration(f.n))); d > 0 {
			time.Sleep(d) // keeps the starts evenly spaced, however long each start takes
		}
		numStarted++
	}
}

// membersUpToDate reports whether every agent's member list has the latest incarnation of every other agent.
func (f *testFleet) membersUpToDate() bool {
	latest := map[string]uint64{}
	for _, a := range f.agents {
		for _, m := range a.Members() {
			if m.Name == a.Spec().Name {
				latest[m.Name] = m.Incarnation
			}
		}
	}
	for _, a := range f.agents {
		for _, m := range a.Members() {
			if latest[m.Name] != m.Incarnation {
				return false
			}
		}
	}
	return true
}
