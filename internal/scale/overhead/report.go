package overhead

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"
)

// Quantiles is quantiles of latencies, in ms.
type Quantiles struct {
	N                  int     `json:"N"`
	P50                float64 `json:"P50"`
	P99                float64 `json:"P99"`
	P999               float64 `json:"P999"`
	Max                float64 `json:"Most"`
	NewConnectionShare float64 `json:"FreshShare"` // share of calls on a new connection to the backend
	InboundP99         float64 `json:"In99"`       // p99 of the way to the backend
	OutboundP99        float64 `json:"Out99"`      // p99 of the way back
}

// Row is what one cell showed in one run.
type Row struct {
	Window string `json:"Window"`
	Workload
	Direct             Quantiles `json:"Direct"`
	Through            Quantiles `json:"Through"`
	AfterChange        Quantiles `json:"After,omitzero"`
	OtherTimes         Quantiles `json:"Rest,omitzero"`
	AfterChangeDirect  Quantiles `json:"AfterDirect,omitzero"`
	OtherTimesDirect   Quantiles `json:"RestDirect,omitzero"`
	Changes            int       `json:"Changes,omitempty"`
	Failed             int       `json:"Failed"`
	FailedDirect       int       `json:"FailedDirect"`
	FirstError         string    `json:"Why,omitempty"`
	LatenessP99        float64   `json:"LateP99"`    // of the caller itself
	ResidentMB         float64   `json:"ResidentMB"` // of one agent
	CPUMillisPerSecond float64   `json:"CPUms"`      // of one agent, for each second
	Slowest            Slowest   `json:"Slowest"`
}

// Slowest is what the slowest hundredth of the calls through the agent spent, in ms, in the mean: on the way to the backend's handler, and
// back from there; and the share that went on a new connection.
type Slowest struct {
	Inbound            float64 `json:"In"`
	Outbound           float64 `json:"Out"`
	NewConnectionShare float64 `json:"FreshShare"`
}

// IdleRow is what an agent uses that nobody calls.
type IdleRow struct {
	ListSize           int     `json:"List"`
	ResidentMB         float64 `json:"ResidentMB"`
	CPUMillisPerSecond float64 `json:"CPUms"` // for each second
}

// Result is every run.
type Result struct {
	How  string `json:"How"`
	Runs []Run  `json:"Runs"`
}

// Run is one of them.
type Run struct {
	At   time.Time `json:"At"`
	Rows []Row     `json:"Rows"`
	Idle []IdleRow `json:"Idle"`
	// Stolen is the share of the cores' time that the system's host gave to others meanwhile; 0 may be: not measured.
	Stolen float64 `json:"Stolen"`
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile takes a sorted list; the value that a share of q of it does not pass.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, max(0, int(math.Ceil(q*float64(len(list))))-1))]
}

func summarize(list []sample) (s Quantiles) {
	if len(list) == 0 {
		return s
	}
	var total, in, out []float64
	newConnections := 0.0
	for _, x := range list {
		total, in, out = append(total, ms(x.total)), append(in, ms(x.inbound)), append(out, ms(x.outbound))
		if x.newConnection {
			newConnections++
		}
	}
	slices.Sort(total)
	slices.Sort(in)
	slices.Sort(out)
	return Quantiles{len(list), quantile(total, 0.5), quantile(total, 0.99), quantile(total, 0.999), total[len(total)-1],
		newConnections / float64(len(list)), quantile(in, 0.99), quantile(out, 0.99)}
}

func (r *Row) summarizeSlowest(list []sample) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(b.total, a.total) })
	list = list[:(len(list)+99)/100]
	for _, s := range list {
		n := float64(len(list))
		r.Slowest.Inbound += ms(s.inbound) / n
		r.Slowest.Outbound += ms(s.outbound) / n
		if s.newConnection {
			r.Slowest.NewConnectionShare += 1 / n
		}
	}
}

// Load reads a result that was saved; none yet is an empty one.
func Load(file string) (*Result, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return &Result{}, nil
	}
	r := &Result{}
	if err == nil {
		err = json.Unmarshal(text, r)
	}
	return r, err
}

// Save writes the result, rounded, to FILE.json and its tables to FILE.md.
func (r *Result) Save(file string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".json", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(file+".md", []byte(r.Markdown()), 0o644)
}

// group is the rows of one cell, over the runs.
type group []Row

// summary writes a figure's middle over the runs, and its spread.
func (g group) summary(value func(Row) float64) string {
	var list []float64
	for _, r := range g {
		list = append(list, value(r))
	}
	return medianAndRange(list)
}

func medianAndRange(list []float64) string {
	list = slices.Sorted(slices.Values(list))
	middle := list[len(list)/2]
	if len(list)%2 == 0 {
		middle = (middle + list[len(list)/2-1]) / 2
	}
	if len(list) == 1 {
		return fmt.Sprintf("%.2f", middle)
	}
	return fmt.Sprintf("%.2f (%.2f-%.2f)", middle, list[0], list[len(list)-1])
}

// groupsOf are the cells of a kind of window, in the order of the first run.
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
		return cmp.Or(strings.Compare(y.Tick, x.Tick), cmp.Compare(x.Rate, y.Rate), cmp.Compare(x.ListSize, y.ListSize), strings.Compare(x.ListChanges, y.ListChanges))
	})
	return list
}

func (c Workload) arrivals() string {
	if c.EvenlySpaced {
		return "evenly"
	}
	return "at random"
}

// writeCalls writes the tables of one kind of window.
func (r *Result) writeCalls(line func(string, ...any), title, window string) {
	list := r.groupsOf(window)
	if len(list) == 0 {
		return
	}
	line("\n## %s\n", title)
	line("| tick | a second | come | backends | calls a run | direct p50 | p99 | p99.9 | agent p50 | p99 | p99.9 | added at p50 | added at p99 | failed |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		failed := 0
		for _, y := range g {
			failed += y.Failed + y.FailedDirect
		}
		line("| %s | %v | %s | %d | %d | %s | %s | %s | %s | %s | %s | %s | %s | %d |", x.Tick, x.Rate, x.arrivals(), x.ListSize, x.Through.N,
			g.summary(func(r Row) float64 { return r.Direct.P50 }), g.summary(func(r Row) float64 { return r.Direct.P99 }),
			g.summary(func(r Row) float64 { return r.Direct.P999 }), g.summary(func(r Row) float64 { return r.Through.P50 }),
			g.summary(func(r Row) float64 { return r.Through.P99 }), g.summary(func(r Row) float64 { return r.Through.P999 }),
			g.summary(func(r Row) float64 { return r.Through.P50 - r.Direct.P50 }),
			g.summary(func(r Row) float64 { return r.Through.P99 - r.Direct.P99 }), failed)
	}
	line("\nWhere the slowest hundredth of the calls through the agent spent their time:\n")
	line("| tick | a second | come | backends | to the backend, mean | back, mean | on a new connection | of all calls | agent's processor, ms a second | resident, MB | caller late, p99 |")
	line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		line("| %s | %v | %s | %d | %s | %s | %s | %s | %s | %s | %s |", x.Tick, x.Rate, x.arrivals(), x.ListSize,
			g.summary(func(r Row) float64 { return r.Slowest.Inbound }), g.summary(func(r Row) float64 { return r.Slowest.Outbound }),
			g.summary(func(r Row) float64 { return r.Slowest.NewConnectionShare }), g.summary(func(r Row) float64 { return r.Through.NewConnectionShare }),
			g.summary(func(r Row) float64 { return r.CPUMillisPerSecond }), g.summary(func(r Row) float64 { return r.ResidentMB }),
			g.summary(func(r Row) float64 { return r.LatenessP99 }))
	}
}

// Markdown is the tables.
func (r *Result) Markdown() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# A call's way\n")
	line("Made by `%s`; runs: %d. In each field the middle of the runs, then the least and the most. All times in ms, from the", r.How, len(r.Runs))
	line("time at which a call was meant to be sent until its answer was read. Added: the p99 through the agent less the p99 directly.\n")
	for i, run := range r.Runs {
		stolen := "what the host took of the cores' time was not measured"
		if run.Stolen > 0 {
			stolen = fmt.Sprintf("the host took %.0f%% of the cores' time", 100*run.Stolen)
		}
		line("Run %d, %s: %s.\n", i+1, run.At.Format(time.RFC3339), stolen)
	}
	r.writeCalls(line, "Calls, four agents at once", "few")
	r.writeCalls(line, "Calls, two to 24 agents at once", "calls")
	if list := r.groupsOf("changes"); len(list) > 0 {
		line("\n## A change of the list each second\n")
		line("One backend drains, the one that drained before is ready again; told as these two entries, or as the whole list.\n")
		line("| tick | a second | backends | told as | calls after, a run | agent p99 in the 100 ms after | rest | direct p99 after | rest | agent p99.9 after | rest | failed |")
		line("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, g := range list {
			x := g[0]
			failed := 0
			for _, y := range g {
				failed += y.Failed + y.FailedDirect
			}
			line("| %s | %v | %d | %s | %d | %s | %s | %s | %s | %s | %s | %d |", x.Tick, x.Rate, x.ListSize, x.ListChanges, x.AfterChange.N,
				g.summary(func(r Row) float64 { return r.AfterChange.P99 }), g.summary(func(r Row) float64 { return r.OtherTimes.P99 }),
				g.summary(func(r Row) float64 { return r.AfterChangeDirect.P99 }), g.summary(func(r Row) float64 { return r.OtherTimesDirect.P99 }),
				g.summary(func(r Row) float64 { return r.AfterChange.P999 }), g.summary(func(r Row) float64 { return r.OtherTimes.P999 }), failed)
		}
	}
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
	return b.String()
}
