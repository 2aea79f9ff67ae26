package overhead

// The windows of a whole run.

import "time"

// FullWindows returns the windows of a full run. Those of each rate have windows of their own, so that the busiest
// agents don't disturb the rest.
func FullWindows() (list []Window) {
	sizes, ticks := []int{8, 100, 1800}, []string{defaultTick, "0s"}
	low := Window{Name: "calls", WarmUp: time.Second, Length: 8 * time.Second}
	mid := Window{Name: "calls", WarmUp: time.Second / 2, Length: 3 * time.Second}
	changes := Window{Name: "changes", WarmUp: 500 * time.Millisecond, Length: 5500 * time.Millisecond}
	for _, n := range sizes {
		for _, tick := range ticks {
			low.Workloads = append(low.Workloads,
				Workload{ListSize: n, Rate: 10, Tick: tick, Agents: 3}, Workload{ListSize: n, Rate: 72, Tick: tick})
			mid.Workloads = append(mid.Workloads, Workload{ListSize: n, Rate: 300, Tick: tick})
		}
		for _, rate := range []float64{72, 300} {
			changes.Workloads = append(changes.Workloads,
				Workload{ListSize: n, Rate: rate, Tick: defaultTick, ListChanges: "entries"})
		}
	}
	low.Workloads = append(low.Workloads,
		Workload{ListSize: 8, Rate: 72, Tick: defaultTick, EvenlySpaced: true},
		Workload{ListSize: 1800, Rate: 72, Tick: defaultTick, EvenlySpaced: true})
	for _, rate := range []float64{72, 300} {
		changes.Workloads = append(changes.Workloads,
			Workload{ListSize: 1800, Rate: rate, Tick: "0s", ListChanges: "entries"},
			Workload{ListSize: 1800, Rate: rate, Tick: "0s", ListChanges: "whole"})
	}
	for range 3 {
		small := Window{Name: "few", WarmUp: time.Second, Length: 5 * time.Second}
		for _, n := range []int{8, 1800} {
			for _, tick := range ticks {
				small.Workloads = append(small.Workloads, Workload{ListSize: n, Rate: 72, Tick: tick})
			}
		}
		list = append(list, small)
	}
	list = append(list, low, mid)
	for _, n := range sizes {
		high := Window{Name: "calls", WarmUp: time.Second / 2, Length: 1500 * time.Millisecond}
		for _, tick := range ticks {
			high.Workloads = append(high.Workloads, Workload{ListSize: n, Rate: 1000, Tick: tick})
		}
		list = append(list, high)
	}
	return append(list, changes)
}

// defaultTick is an agent's default of attempts.tick.
const defaultTick = "5ms"
