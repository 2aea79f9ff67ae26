package callway

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

// Spread is quantiles of latencies, in ms.
type Spread struct {
	N          int     `json:"N"`
	P50        float64 `json:"P50"`
	P99        float64 `json:"P99"`
	P999       float64 `json:"P999"`
	Most       float64 `json:"Most"`
	FreshShare float64 `json:"FreshShare"` // share of calls on a new connection to the backend
	In99       float64 `json:"In99"`       // p99 of the way to the backend
	Out99      float64 `json:"Out99"`      // p99 of the way back
}

// Row is what one cell showed in one run.
type Row struct {
	Window string `json:"Window"`
	Cell
	Direct       Spread  `json:"Direct"`
	Through      Spread  `json:"Through"`
	After        Spread  `json:"After,omitzero"`
	Rest         Spread  `json:"Rest,omitzero"`
	AfterDirect  Spread  `json:"AfterDirect,omitzero"`
	RestDirect   Spread  `json:"RestDirect,omitzero"`
	Changes      int     `json:"Changes,omitempty"`
	Failed       int     `json:"Failed"`
	FailedDirect int     `json:"FailedDirect"`
	Why          string  `json:"Why,omitempty"`
	LateP99      float64 `json:"LateP99"`    // of the caller itself
	ResidentMB   float64 `json:"ResidentMB"` // of one agent
	CPUms        float64 `json:"CPUms"`      // of one agent, for each second
	Slowest      Slowest `json:"Slowest"`
}

// Slowest is what the slowest hundredth of the calls through the agent spent, in ms, in the mean: on the way to the backend's handler, and
// back from there; and the share that went on a new connection.
type Slowest struct {
	In         float64 `json:"In"`
	Out        float64 `json:"Out"`
	FreshShare float64 `json:"FreshShare"`
}

// IdleRow is what an agent uses that nobody calls.
type IdleRow struct {
	List       int     `json:"List"`
	ResidentMB float64 `json:"ResidentMB"`
	CPUms      float64 `json:"CPUms"` // for each second
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

func sumUp(list []sample) (s Spread) {
	if len(list) == 0 {
		return s
	}
	var total, in, out []float64
	fresh := 0.0
	for _, x := range list {
		total, in, out = append(total, ms(x.total)), append(in, ms(x.in)), append(out, ms(x.out))
		if x.fresh {
			fresh++
		}
	}
	slices.Sort(total)
	slices.Sort(in)
	slices.Sort(out)
	return Spread{len(list), quantile(total, 0.5), quantile(total, 0.99), quantile(total, 0.999), total[len(total)-1],
		fresh / float64(len(list)), quantile(in, 0.99), quantile(out, 0.99)}
}

func (r *Row) slowest(list []sample) {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b sample) int { return cmp.Compare(b.total, a.total) })
	list = list[:(len(list)+99)/100]
	for _, s := range list {
		n := float64(len(list))
		r.Slowest.In += ms(s.in) / n
		r.Slowest.Out += ms(s.out) / n
		if s.fresh {
			r.Slowest.FreshShare += 1 / n
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

// over writes a figure's middle over the runs, and its spread.
func (g group) over(of func(Row) float64) string {
	var list []float64
	for _, r := range g {
		list = append(list, of(r))
	}
	return spread(list)
}

func spread(list []float64) string {
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

// groups are the cells of a kind of window, in the order of the first run.
func (r *Result) groups(window string) (list []group) {
	for _, run := range r.Runs {
		for _, row := range run.Rows {
			if row.Window != window {
				continue
			}
			i := slices.IndexFunc(list, func(g group) bool { return g[0].Cell == row.Cell })
			if i < 0 {
				list = append(list, group{row})
			} else {
				list[i] = append(list[i], row)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b group) int {
		x, y := a[0], b[0]
		return cmp.Or(strings.Compare(y.Tick, x.Tick), cmp.Compare(x.Rate, y.Rate), cmp.Compare(x.List, y.List), strings.Compare(x.Turns, y.Turns))
	})
	return list
}

func (c Cell) comes() string {
	if c.Even {
		return "evenly"
	}
	return "at random"
}

// calls writes the tables of one kind of window.
func (r *Result) calls(p func(string, ...any), title, window string) {
	list := r.groups(window)
	if len(list) == 0 {
		return
	}
	p("\n## %s\n", title)
	p("| tick | a second | come | backends | calls a run | direct p50 | p99 | p99.9 | agent p50 | p99 | p99.9 | added at p50 | added at p99 | failed |")
	p("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		failed := 0
		for _, y := range g {
			failed += y.Failed + y.FailedDirect
		}
		p("| %s | %v | %s | %d | %d | %s | %s | %s | %s | %s | %s | %s | %s | %d |", x.Tick, x.Rate, x.comes(), x.List, x.Through.N,
			g.over(func(r Row) float64 { return r.Direct.P50 }), g.over(func(r Row) float64 { return r.Direct.P99 }),
			g.over(func(r Row) float64 { return r.Direct.P999 }), g.over(func(r Row) float64 { return r.Through.P50 }),
			g.over(func(r Row) float64 { return r.Through.P99 }), g.over(func(r Row) float64 { return r.Through.P999 }),
			g.over(func(r Row) float64 { return r.Through.P50 - r.Direct.P50 }),
			g.over(func(r Row) float64 { return r.Through.P99 - r.Direct.P99 }), failed)
	}
	p("\nWhere the slowest hundredth of the calls through the agent spent their time:\n")
	p("| tick | a second | come | backends | to the backend, mean | back, mean | on a new connection | of all calls | agent's processor, ms a second | resident, MB | caller late, p99 |")
	p("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, g := range list {
		x := g[0]
		p("| %s | %v | %s | %d | %s | %s | %s | %s | %s | %s | %s |", x.Tick, x.Rate, x.comes(), x.List,
			g.over(func(r Row) float64 { return r.Slowest.In }), g.over(func(r Row) float64 { return r.Slowest.Out }),
			g.over(func(r Row) float64 { return r.Slowest.FreshShare }), g.over(func(r Row) float64 { return r.Through.FreshShare }),
			g.over(func(r Row) float64 { return r.CPUms }), g.over(func(r Row) float64 { return r.ResidentMB }),
			g.over(func(r Row) float64 { return r.LateP99 }))
	}
}

// Markdown is the tables.
func (r *Result) Markdown() string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("# A call's way\n")
	p("Made by `%s`; runs: %d. In each field the middle of the runs, then the least and the most. All times in ms, from the", r.How, len(r.Runs))
	p("time at which a call was meant to be sent until its answer was read. Added: the p99 through the agent less the p99 directly.\n")
	for i, run := range r.Runs {
		stolen := "what the host took of the cores' time was not measured"
		if run.Stolen > 0 {
			stolen = fmt.Sprintf("the host took %.0f%% of the cores' time", 100*run.Stolen)
		}
		p("Run %d, %s: %s.\n", i+1, run.At.Format(time.RFC3339), stolen)
	}
	r.calls(p, "Calls, four agents at once", "few")
	r.calls(p, "Calls, two to 24 agents at once", "calls")
	if list := r.groups("changes"); len(list) > 0 {
		p("\n## A change of the list each second\n")
		p("One backend drains, the one that drained before is ready again; told as these two entries, or as the whole list.\n")
		p("| tick | a second | backends | told as | calls after, a run | agent p99 in the 100 ms after | rest | direct p99 after | rest | agent p99.9 after | rest | failed |")
		p("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, g := range list {
			x := g[0]
			failed := 0
			for _, y := range g {
				failed += y.Failed + y.FailedDirect
			}
			p("| %s | %v | %d | %s | %d | %s | %s | %s | %s | %s | %s | %d |", x.Tick, x.Rate, x.List, x.Turns, x.After.N,
				g.over(func(r Row) float64 { return r.After.P99 }), g.over(func(r Row) float64 { return r.Rest.P99 }),
				g.over(func(r Row) float64 { return r.AfterDirect.P99 }), g.over(func(r Row) float64 { return r.RestDirect.P99 }),
				g.over(func(r Row) float64 { return r.After.P999 }), g.over(func(r Row) float64 { return r.Rest.P999 }), failed)
		}
	}
	p("\n## An agent that nobody calls\n")
	p("| backends | resident, MB | processor, ms a second |")
	p("| --- | --- | --- |")
	idle := map[int][]IdleRow{}
	var sizes []int
	for _, run := range r.Runs {
		for _, x := range run.Idle {
			if idle[x.List] == nil {
				sizes = append(sizes, x.List)
			}
			idle[x.List] = append(idle[x.List], x)
		}
	}
	for _, n := range sizes {
		var mb, cpu []float64
		for _, x := range idle[n] {
			mb, cpu = append(mb, x.ResidentMB), append(cpu, x.CPUms)
		}
		p("| %d | %s | %s |", n, spread(mb), spread(cpu))
	}
	return b.String()
}
