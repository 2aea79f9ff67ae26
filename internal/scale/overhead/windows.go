package overhead

// The windows of a full run.

import "time"

// defaultTick is the default value of attempts.tick.
const defaultTick = "5ms"

// FullWindows returns the windows of a full run, in the order in which they run.
func FullWindows() []Window {
	sizes, ticks := []int{8, 100, 1800}, []string{defaultTick, "0s"}
	windows := fewAgents(ticks)
	windows = append(windows, lowRates(sizes, ticks), middleRate(sizes, ticks))
	windows = append(windows, highRate(sizes, ticks)...)
	return append(windows, listChanges(sizes))
}

// fewAgents returns three equal windows with four agents each. With only four agents, the calls of one agent hardly delay the
// calls of another.
func fewAgents(ticks []string) (windows []Window) {
	for range 3 {
		w := Window{Name: "few", WarmUp: time.Second, Length: 5 * time.Second}
		for _, n := range []int{8, 1800} {
			for _, tick := range ticks {
				w.Workloads = append(w.Workloads, Workload{ListSize: n, Rate: 72, Tick: tick})
			}
		}
		windows = append(windows, w)
	}
	return windows
}

// lowRates returns a window with workloads of 10 and 72 calls a second. Two of the workloads at 72 are evenly spaced.
func lowRates(sizes []int, ticks []string) Window {
	w := Window{Name: "calls", WarmUp: time.Second, Length: 8 * time.Second}
	for _, n := range sizes {
		for _, tick := range ticks {
			w.Workloads = append(w.Workloads,
				Workload{ListSize: n, Rate: 10, Tick: tick, Agents: 3}, Workload{ListSize: n, Rate: 72, Tick: tick})
		}
	}
	w.Workloads = append(w.Workloads,
		Workload{ListSize: 8, Rate: 72, Tick: defaultTick, EvenlySpaced: true},
		Workload{ListSize: 1800, Rate: 72, Tick: defaultTick, EvenlySpaced: true})
	return w
}

// middleRate returns a window at 300 calls a second.
func middleRate(sizes []int, ticks []string) Window {
	w := Window{Name: "calls", WarmUp: time.Second / 2, Length: 3 * time.Second}
	for _, n := range sizes {
		for _, tick := range ticks {
			w.Workloads = append(w.Workloads, Workload{ListSize: n, Rate: 300, Tick: tick})
		}
	}
	return w
}

// highRate returns a window for each list size, at 1,000 calls a second.
func highRate(sizes []int, ticks []string) (windows []Window) {
	for _, n := range sizes {
		w := Window{Name: "calls", WarmUp: time.Second / 2, Length: 1500 * time.Millisecond}
		for _, tick := range ticks {
			w.Workloads = append(w.Workloads, Workload{ListSize: n, Rate: 1000, Tick: tick})
		}
		windows = append(windows, w)
	}
	return windows
}

// listChanges returns a window in which all lists change each second.
func listChanges(sizes []int) Window {
	w := Window{Name: "changes", WarmUp: 500 * time.Millisecond, Length: 5500 * time.Millisecond}
	for _, n := range sizes {
		for _, rate := range []float64{72, 300} {
			w.Workloads = append(w.Workloads, Workload{ListSize: n, Rate: rate, Tick: defaultTick, ListChanges: "entries"})
		}
	}
	for _, rate := range []float64{72, 300} {
		w.Workloads = append(w.Workloads,
			Workload{ListSize: 1800, Rate: rate, Tick: "0s", ListChanges: "entries"},
			Workload{ListSize: 1800, Rate: rate, Tick: "0s", ListChanges: "whole"})
	}
	return w
}
