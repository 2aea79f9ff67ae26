package overhead

// Tables of a result, in Markdown.

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// group holds the rows of one workload from all runs.
type group []Row

// summary formats the median and the range of a value over the runs.
func (g group) summary(value func(Row) float64) string {
	var list []float64
	for _, r := range g {
		list = append(list, value(r))
	}
	return medianAndRange(list)
}

// failed returns the number of failed calls, through the agent and directly.
func (g group) failed() (n int) {
	for _, r := range g {
		n += r.Failed + r.FailedDirect
	}
	return n
}

// medianAndRange formats the median of a list and, if it has several values, the minimum and the maximum.
func medianAndRange(list []float64) string {
	list = slices.Sorted(slices.Values(list))
	median := list[len(list)/2]
	if len(list)%2 == 0 {
		median = (median + list[len(list)/2-1]) / 2
	}
	if len(list) == 1 {
		return fmt.Sprintf("%.2f", median)
	}
	return fmt.Sprintf("%.2f (%.2f-%.2f)", median, list[0], list[len(list)-1])
}

// groupsOf returns a group for each workload of the windows with the given name. The groups are sorted by tick in descending
// order, then by rate, list size and form of list changes in ascending order.
func (r *Result) groupsOf(window string) (list []group) {
	for _, run := range r.Runs {
		for _, row := range run.Rows {
			if row.Window != window {
				continue
			}
			i := slices.IndexFunc(list, func(g group) bool { return g[0].Workload == row.Workload })
			if i < 0 {
				list = append(list, group{row})
			} else {
				list[i] = append(list[i], row)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b group) int {
		x, y := a[0], b[0]
		return cmp.Or(strings.Compare(y.Tick, x.Tick), cmp.Compare(x.Rate, y.Rate),
			cmp.Compare(x.ListSize, y.ListSize), strings.Compare(x.ListChanges, y.ListChanges))
	})
	return list
}

// arrivals returns the tables' term for the spacing of calls.
func (w Workload) arrivals() string {
	if w.EvenlySpaced {
		return "evenly"
	}
	return "at random"
}

// lineWriter formats and writes one line.
type lineWriter func(format string, args ...any)

// Formats of the rows of three tables.
const (
	latencyFormat = "| %s | %v | %s | %d | %d | %s | %s | %s | %s | %s | %s | %s | %s | %d |"
	slowestFormat = "| %s | %v | %s | %d | %s | %s | %s | %s | %s | %s | %s |"
	changesFormat = "| %s | %v | %d | %s | %d | %s | %s | %s | %s | %s | %s | %d |"
)

// writeCalls writes the tables of the windows with the given name. It writes nothing if there are no such windows.
func (r *Result) writeCalls(line lineWriter, title, window string) {
	list := r.groupsOf(window)
	if len(list) == 0 {
		return
	}
	line("\n## %s\n", title)
	line("| tick | a second | come | backends | calls a run | direct p50 | p99 | p99.9 | agent p50 | p99 | p99.9 " +
		"| added at p50 | added at p99 | failed |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		line(latencyFormat, x.Tick, x.Rate, x.arrivals(), x.ListSize, x.Through.N,
			g.summary(func(r Row) float64 { return r.Direct.P50 }), g.summary(func(r Row) float64 { return r.Direct.P99 }),
			g.summary(func(r Row) float64 { return r.Direct.P999 }), g.summary(func(r Row) float64 { return r.Through.P50 }),
			g.summary(func(r Row) float64 { return r.Through.P99 }), g.summary(func(r Row) float64 { return r.Through.P999 }),
			g.summary(func(r Row) float64 { return r.Through.P50 - r.Direct.P50 }),
			g.summary(func(r Row) float64 { return r.Through.P99 - r.Direct.P99 }), g.failed())
	}
	line("\nWhere the slowest hundredth of the calls through the agent spent their time:\n")
	line("| tick | a second | come | backends | to the backend, mean | back, mean | on a new connection | of all calls " +
		"| agent's processor, ms a second | resident, MB | caller late, p99 |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		line(slowestFormat, x.Tick, x.Rate, x.arrivals(), x.ListSize,
			g.summary(func(r Row) float64 { return r.Slowest.Inbound }),
			g.summary(func(r Row) float64 { return r.Slowest.Outbound }),
			g.summary(func(r Row) float64 { return r.Slowest.NewConnectionShare }),
			g.summary(func(r Row) float64 { return r.Through.NewConnectionShare }),
			g.summary(func(r Row) float64 { return r.CPUMillisPerSecond }),
			g.summary(func(r Row) float64 { return r.ResidentMB }),
			g.summary(func(r Row) float64 { return r.LatenessP99 }))
	}
}

// writeChanges writes the table of the windows in which lists change. It writes nothing if there are no such windows.
func (r *Result) writeChanges(line lineWriter) {
	list := r.groupsOf("changes")
	if len(list) == 0 {
		return
	}
	line("\n## A change of the list each second\n")
	line("One backend drains, the one that drained before is ready again; told as these two entries, or as the whole list.\n")
	line("| tick | a second | backends | told as | calls after, a run | agent p99 in the 100 ms after | rest " +
		"| direct p99 after | rest | agent p99.9 after | rest | failed |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		line(changesFormat, x.Tick, x.Rate, x.ListSize, x.ListChanges, x.AfterChange.N,
			g.summary(func(r Row) float64 { return r.AfterChange.P99 }),
			g.summary(func(r Row) float64 { return r.OtherTimes.P99 }),
			g.summary(func(r Row) float64 { return r.AfterChangeDirect.P99 }),
			g.summary(func(r Row) float64 { return r.OtherTimesDirect.P99 }),
			g.summary(func(r Row) float64 { return r.AfterChange.P999 }),
			g.summary(func(r Row) float64 { return r.OtherTimes.P999 }), g.failed())
	}
}

// writeIdle writes the table of agents without calls.
func (r *Result) writeIdle(line lineWriter) {
	line("\n## An agent that nobody calls\n")
	line("| backends | resident, MB | processor, ms a second |")
	line("| --- | --- | --- |")
	idle := map[int][]IdleRow{}
	var sizes []int
	for _, run := range r.Runs {
		for _, x := range run.Idle {
			if idle[x.ListSize] == nil {
				sizes = append(sizes, x.ListSize)
			}
			idle[x.ListSize] = append(idle[x.ListSize], x)
		}
	}
	for _, n := range sizes {
		var mb, cpu []float64
		for _, x := range idle[n] {
			mb, cpu = append(mb, x.ResidentMB), append(cpu, x.CPUMillisPerSecond)
		}
		line("| %d | %s | %s |", n, medianAndRange(mb), medianAndRange(cpu))
	}
}

// Markdown returns the tables of all runs. Their texts must not change, since saved tables are compared with them.
func (r *Result) Markdown() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# A call's way\n")
	line("Made by `%s`; runs: %d. In each field the middle of the runs, then the least and the most. All times in ms, from the",
		r.How, len(r.Runs))
	line("time at which a call was meant to be sent until its answer was read. " +
		"Added: the p99 through the agent less the p99 directly.\n")
	for i, run := range r.Runs {
		stolen := "what the host took of the cores' time was not measured"
		if run.Stolen > 0 {
			stolen = fmt.Sprintf("the host took %.0f%% of the cores' time", 100*run.Stolen)
		}
		line("Run %d, %s: %s.\n", i+1, run.At.Format(time.RFC3339), stolen)
	}
	r.writeCalls(line, "Calls, four agents at once", "few")
	r.writeCalls(line, "Calls, two to 24 agents at once", "calls")
	r.writeChanges(line)
	r.writeIdle(line)
	return b.String()
}
