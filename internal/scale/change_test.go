package scale

// Measurement of the time that a change takes to reach all agents, without faults and under faults, and of its cost.

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

// changeTimeout is the time within which agents have to apply a change.
const changeTimeout = 30 * time.Second

func changeTable(t *testing.T) {
	for _, n := range fleetSizes(t, 14) {
		for _, run := range runNumbers() {
			if *full { // use one fleet for all kinds of change
				for _, mode := range fleetModes() {
					t.Run(fmt.Sprintf("%s-%d-%d", mode, n, run), func(t *testing.T) { measureChanges(t, mode, n, run, measuredChanges(mode)) })
				}
				continue
			}
			for _, mode := range fleetModes() {
				for _, what := range measuredChanges(mode) {
					t.Run(string(mode)+"-"+what.String(), func(t *testing.T) {
						t.Parallel()
						measureChanges(t, mode, n, run, []simagent.Change{what})
					})
				}
			}
		}
	}
}

// measuredChanges returns the kinds of change to measure in a mode. Only hubs publish settings.
func measuredChanges(mode simagent.Mode) []simagent.Change {
	list := []simagent.Change{simagent.Policy, simagent.List}
	if mode == simagent.Hubs {
		list = append(list, simagent.Settings)
	}
	return list
}

// makeChange makes a change at its source, and returns the new version and the time of the change.
func (f *testFleet) makeChange(what simagent.Change) (version int64, at time.Time) {
	switch what {
	case simagent.Policy:
		return f.publishPolicy()
	case simagent.Settings:
		return f.hubs.writeSettings(f.t)
	}
	return f.service.change()
}

// propagation holds the times that a change took to reach agents.
type propagation struct {
	durations []time.Duration
	unreached int // agents that the change did not reach within changeTimeout
}

// measurePropagation waits until the selected agents have applied a version, at most until changeTimeout after at, the time
// of the change. An agent's duration counts from at or from the agent's time in started, whichever is later.
func (f *testFleet) measurePropagation(what simagent.Change, version int64, at time.Time,
	selected func(i int) bool, started map[int]time.Time) (result propagation) {
	deadline := at.Add(changeTimeout)
	for i := range f.n {
		if !selected(i) {
			continue
		}
		for {
			appliedAt, ok := f.applied.appliedAt(f.agentName(i), what, version)
			if ok {
				from := at
				if s := started[i]; s.After(from) {
					from = s
				}
				result.durations = append(result.durations, max(0, appliedAt.Sub(from)))
				break
			}
			if time.Now().After(deadline) {
				result.unreached++
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return result
}

// addValues adds the quantiles in ms and the number of unreached agents to a row's values.
func (p propagation) addValues(values map[string]float64, prefix string) {
	values[prefix+"ms p50"] = quantile(p.durations, 0.5).Seconds() * 1e3
	values[prefix+"ms p99"] = quantile(p.durations, 0.99).Seconds() * 1e3
	values[prefix+"ms last"] = quantile(p.durations, 1).Seconds() * 1e3
	values[prefix+"agents never"] = float64(p.unreached)
}

func allAgents(int) bool { return true }

// measureChanges measures the time that changes take to reach all agents of one fleet, without faults and under faults, and
// the cost of changes.
func measureChanges(t *testing.T, mode simagent.Mode, n, run int, kinds []simagent.Change) {
	fleet := newTestFleet(t, mode, n, true)
	fleet.startAll(time.Duration(n) * *pace)
	base := row{Table: "change", Mode: string(mode), N: n, Matrix: true, Run: run}
	if reason := fleet.awaitStart(); reason != "" {
		base.Case, base.Void = "start", reason
		saveRows(t, base)
		return
	}
	repeats, settle := 2, 50*time.Millisecond
	if *full {
		repeats, settle = 5, 2*time.Second
	}
	time.Sleep(settle) // until the work of the start is done
	rng := rand.New(rand.NewPCG(uint64(n), uint64(run)))
	for _, what := range kinds {
		saveRows(t, fleet.undisturbedChanges(base, what, repeats, settle))
	}
	for _, what := range kinds {
		saveRows(t, fleet.changeWhilePaused(base, what, rng, settle), fleet.changeUnderLoss(base, what, settle))
		if fleet.hubs == nil { // hubs are real processes, which the simulated network cannot partition
			saveRows(t, fleet.changeDuringPartition(base, what, settle))
		} else {
			saveRows(t, fleet.changeWithDeadHub(base, what, rng))
		}
		saveRows(t, fleet.changeDuringRestarts(base, what))
	}
}

// undisturbedChanges measures the duration and the cost of repeated changes of a kind without faults. The cost is the usage
// in a span with changes less the usage in a span without changes.
func (f *testFleet) undisturbedChanges(r row, what simagent.Change, repeats int, settle time.Duration) row {
	r.Case, r.Values = what.String()+", undisturbed", map[string]float64{}
	idle := f.startMeter(false)
	time.Sleep(settle) // the span without changes
	before := idle.end()
	m, total := f.startMeter(false), propagation{}
	for range repeats {
		version, at := f.makeChange(what)
		result := f.measurePropagation(what, version, at, allAgents, nil)
		total.durations, total.unreached = append(total.durations, result.durations...), total.unreached+result.unreached
	}
	s := m.end()
	r.Void = s.void
	total.addValues(r.Values, "")
	share := s.duration.Seconds() / before.duration.Seconds()
	applied := float64(f.n * repeats)
	kind := trafficOf(what)
	r.Values["a change: bytes out"] = (float64(s.traffic.Out[kind].Bytes) - share*float64(before.traffic.Out[kind].Bytes)) / applied
	r.Values["a change: bytes in"] = (float64(s.traffic.In[kind].Bytes) - share*float64(before.traffic.In[kind].Bytes)) / applied
	r.Values["a change: processor us"] = (s.cpu.Seconds() - share*before.cpu.Seconds()) * 1e6 / applied
	for _, daily := range []float64{580, 5800} {
		r.Values[fmt.Sprintf("%.0f a day: processor s/day", daily)] = r.Values["a change: processor us"] * daily / 1e6
		r.Values[fmt.Sprintf("%.0f a day: kB in/day", daily)] = r.Values["a change: bytes in"] * daily / 1e3
	}
	return r
}

// trafficOf returns the kind of traffic that carries a kind of change to agents.
func trafficOf(what simagent.Change) simagent.TrafficKind {
	switch what {
	case simagent.List:
		return simagent.Lists
	case simagent.Settings:
		return simagent.SettingsDocuments
	}
	return simagent.Policies
}

// changeWhilePaused measures a change while 2% of the agents are paused, and the time that these agents take after they
// resume.
func (f *testFleet) changeWhilePaused(r row, what simagent.Change, rng *rand.Rand, settle time.Duration) row {
	r.Case, r.Values = what.String()+", 2% stopped", map[string]float64{}
	paused := map[int]bool{}
	for _, i := range rng.Perm(f.n - 1)[:max(1, f.n/50)] {
		paused[i+1] = true // agent 0 is the policy's source
		f.agents[i+1].Pause()
	}
	time.Sleep(settle / 4) // the agents have been paused for a while when the change is made
	m := f.startMeter(false)
	version, at := f.makeChange(what)
	f.measurePropagation(what, version, at, func(i int) bool { return !paused[i] }, nil).addValues(r.Values, "")
	r.Void = m.end().void
	resumed, resumedAt := time.Now(), map[int]time.Time{}
	for i := range paused {
		resumedAt[i] = resumed
		f.agents[i].Resume()
	}
	f.measurePropagation(what, version, resumed, func(i int) bool { return paused[i] }, resumedAt).
		addValues(r.Values, "stopped ones, once resumed: ")
	return f.awaitRecovery(r)
}

// changeUnderLoss measures a change while 10% of all datagrams are lost and 10% of the writes to streams are delayed.
func (f *testFleet) changeUnderLoss(r row, what simagent.Change, settle time.Duration) row {
	r.Case, r.Values = what.String()+", 10% lost", map[string]float64{}
	f.net.SetLoss(0.1)
	time.Sleep(settle) // until losses have affected the agents
	m := f.startMeter(false)
	version, at := f.makeChange(what)
	f.measurePropagation(what, version, at, allAgents, nil).addValues(r.Values, "")
	r.Void = m.end().void
	f.net.SetLoss(0)
	return f.awaitRecovery(r)
}

// changeDuringPartition measures a change while a zone is isolated from all others and from the list service. It fails the
// test if the change reaches the zone's first agent before the partition ends.
func (f *testFleet) changeDuringPartition(r row, what simagent.Change, settle time.Duration) row {
	r.Case, r.Values = what.String()+", a zone cut", map[string]float64{}
	isolated := len(zones) - 1
	inside := func(i int) bool { return i%len(zones) == isolated }
	f.net.Isolate(zones[isolated])
	time.Sleep(settle) // the zone has been isolated for a while when the change is made
	m := f.startMeter(false)
	version, at := f.makeChange(what)
	f.measurePropagation(what, version, at, func(i int) bool { return !inside(i) }, nil).addValues(r.Values, "")
	r.Void = m.end().void
	if _, reached := f.applied.appliedAt(f.agentName(isolated), what, version); reached {
		f.t.Errorf("%v: the change reached an agent in the isolated zone before the partition ended", what)
	}
	f.net.Isolate()
	f.measurePropagation(what, version, time.Now(), inside, nil).addValues(r.Values, "cut ones, once healed: ")
	return f.awaitRecovery(r)
}

// changeDuringRestarts measures a change while a third of the agents are down. These agents start within the two seconds
// after the change, or within 100 ms without -scale.full.
func (f *testFleet) changeDuringRestarts(r row, what simagent.Change) row {
	r.Case, r.Values = what.String()+", a third restarting", map[string]float64{}
	restarting := func(i int) bool { return i%3 == 1 }
	for i := range f.agents {
		if restarting(i) {
			f.kill(i)
		}
	}
	m := f.startMeter(false)
	version, at := f.makeChange(what)
	started := map[int]time.Time{}
	within, numStarted := 2*time.Second, 0
	if !*full {
		within = 100 * time.Millisecond
	}
	for i, a := range f.agents {
		if !restarting(i) {
			continue
		}
		if d := time.Until(at.Add(within * time.Duration(numStarted*3) / time.Duration(f.n))); d > 0 {
			time.Sleep(d) // keeps the starts evenly spaced, however long each start takes
		}
		started[i] = time.Now()
		f.start(i, a.Addr())
		numStarted++
	}
	f.measurePropagation(what, version, at, func(i int) bool { return !restarting(i) }, nil).addValues(r.Values, "")
	f.measurePropagation(what, version, at, restarting, started).addValues(r.Values, "restarted ones, from their start: ")
	r.Void = m.end().void
	return f.awaitRecovery(r)
}

// awaitRecovery waits until all agents have the expected state again, so that one fault does not affect the measurement of
// the next.
func (f *testFleet) awaitRecovery(r row) row {
	took, ok, reason := f.awaitConvergence(convergenceTimeout)
	r.Values["all know all again after s"] = took.Seconds()
	if !ok {
		f.t.Errorf("%s: the fleet did not recover: %s", r.Case, reason)
		r.Void = "not whole again: " + reason
	}
	return r
}
