package scale

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

var (
	full   = flag.Bool("scale.full", false, "measure at the sizes of scale.sizes, as long as tables need")
	sizes  = flag.String("scale.sizes", "30,100,300,600", "sizes of the fleets, with scale.full")
	runs   = flag.Int("scale.runs", 3, "runs at each size, with scale.full")
	out    = flag.String("scale.out", "", "a JSON file that the rows are added to; beside it the tables, as .md")
	only   = flag.String("scale.only", "idle,start,change,real,load", "which tables to make")
	modes  = flag.String("scale.modes", "flat,hubs", "how the agents are joined; at each size the modes take turns")
	first  = flag.Int("scale.first", 0, "the first run's number, with scale.full: runs are added to those that the file holds")
	matrix = flag.String("scale.matrix", "on,off", "whether round trips are measured, for idle agents")
	pace   = flag.Duration("scale.pace", 10*time.Millisecond, "between two starts, where the start is not what is measured")
	warm   = flag.Duration("scale.warm", 5*time.Second, "left out before an idle agent is measured, with scale.full")
	window = flag.Duration("scale.window", 5*time.Second, "for which an idle agent is measured, with scale.full")
)

// fleetSizes are the sizes to measure at.
func fleetSizes(t testing.TB, small ...int) (list []int) {
	if !*full {
		return small
	}
	for _, text := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, n)
	}
	return list
}

// runNumbers are the numbers of the runs.
func runNumbers() (list []int) {
	if !*full {
		return []int{0}
	}
	for i := range *runs {
		list = append(list, *first+i)
	}
	return list
}

// fleetModes are the modes to measure, in turns.
func fleetModes() (list []simagent.Mode) {
	for _, m := range strings.Split(*modes, ",") {
		list = append(list, simagent.Mode(m))
	}
	return list
}

// row is one run of one table. Rates are for each agent and second.
type row struct {
	Table  string             `json:"table"` // idle, start, change, real or load
	Mode   string             `json:"mode"`
	N      int                `json:"n"`
	Matrix bool               `json:"matrix"`
	Case   string             `json:"case,omitempty"`
	Run    int                `json:"run"`
	Void   string             `json:"void,omitempty"` // why it does not count
	Values map[string]float64 `json:"values"`
}

// report is what a file holds.
type report struct {
	Cores int            `json:"cores"`
	Rows  []row          `json:"rows"`
	Fits  map[string]fit `json:"fits"` // by table, mode, matrix, case and value
}

var reportMu sync.Mutex

// saveRows adds rows to the file that the flag names, and writes the tables beside it.
func saveRows(t testing.TB, rows ...row) {
	for _, r := range rows {
		t.Logf("%s %s n=%d matrix=%t %s run %d void=%q %v", r.Table, r.Mode, r.N, r.Matrix, r.Case, r.Run, r.Void, formatValues(r.Values))
		// Small, it is a test: what has to come comes. That a busy machine is late says nothing.
		if !*full && (strings.HasPrefix(r.Void, "not whole") || r.Values["agents never"] > 0) {
			t.Errorf("%s, %s: %s, %v agents never", r.Table, r.Case, r.Void, r.Values["agents never"])
		}
	}
	if *out == "" {
		return
	}
	reportMu.Lock()
	defer reportMu.Unlock()
	file := strings.TrimSuffix(*out, ".json")
	rep := report{Cores: runtime.NumCPU()}
	if text, err := os.ReadFile(file + ".json"); err == nil {
		if err := json.Unmarshal(text, &rep); err != nil {
			t.Fatal(err)
		}
	}
	rep.Rows = append(rep.Rows, rows...)
	rep.Fits = fitAll(rep.Rows)
	text, err := json.MarshalIndent(rep, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file+".json", append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file+".md", []byte(markdown(&rep)), 0o644); err != nil {
		t.Fatal(err)
	}
}

func formatValues(values map[string]float64) string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&b, " %s=%s", k, formatNumber(values[k]))
	}
	return b.String()
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// group is rows that differ in size and run alone.
func (r *row) group() string {
	g := r.Table + " " + r.Mode
	if r.Matrix {
		g += ", matrix on"
	} else {
		g += ", matrix off"
	}
	if r.Case != "" {
		g += ", " + r.Case
	}
	return g
}

func groupRows(rows []row) (names []string, groups map[string][]row) {
	groups = map[string][]row{}
	for _, r := range rows {
		g := r.group()
		if groups[g] == nil {
			names = append(names, g)
		}
		groups[g] = append(groups[g], r)
	}
	slices.Sort(names)
	return names, groups
}

// fitAll fits every value over the runs that count.
func fitAll(rows []row) map[string]fit {
	list := map[string]fit{}
	names, groups := groupRows(rows)
	for _, g := range names {
		n, y := map[string][]float64{}, map[string][]float64{}
		for _, r := range groups[g] {
			for k, v := range r.Values {
				if r.Void == "" {
					n[k], y[k] = append(n[k], float64(r.N)), append(y[k], v)
				}
			}
		}
		for k := range n {
			if b, ok := bestFit(n[k], y[k]); ok {
				list[g+": "+k] = b
			}
		}
	}
	return list
}

// markdown is a table for each group: a line a value, a column a size, the median of the runs that count with the least and
// the most, and the fit.
func markdown(rep *report) string {
	var b strings.Builder
	names, groups := groupRows(rep.Rows)
	for _, g := range names {
		values, at := map[string]bool{}, map[int]bool{}
		for _, r := range groups[g] {
			at[r.N] = true
			for k := range r.Values {
				values[k] = true
			}
		}
		columns := slices.Sorted(maps.Keys(at))
		fmt.Fprintf(&b, "### %s\n\n| each agent |", g)
		for _, n := range columns {
			fmt.Fprintf(&b, " %d |", n)
		}
		b.WriteString(" grows with | slope ± s.e. | at 1,800 (95%) |\n|---|" + strings.Repeat("---|", len(columns)+3) + "\n")
		for _, k := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&b, "| %s |", k)
			for _, n := range columns {
				var list []float64
				for _, r := range groups[g] {
					if v, has := r.Values[k]; has && r.N == n && r.Void == "" {
						list = append(list, v)
					}
				}
				slices.Sort(list)
				switch len(list) {
				case 0:
					b.WriteString(" - |")
				case 1:
					fmt.Fprintf(&b, " %s |", formatNumber(list[0]))
				default:
					fmt.Fprintf(&b, " %s (%s to %s) |", formatNumber(list[len(list)/2]), formatNumber(list[0]), formatNumber(list[len(list)-1]))
				}
			}
			if f, ok := rep.Fits[g+": "+k]; ok {
				fmt.Fprintf(&b, " %s | %s ± %s | %s (%s to %s) |\n", f.Form, formatNumber(f.Slope), formatNumber(f.Error), formatNumber(f.At1800), formatNumber(f.Low), formatNumber(f.High))
			} else {
				b.WriteString(" | | |\n")
			}
		}
		for _, n := range columns {
			var why []string
			count := 0
			for _, r := range groups[g] {
				if r.N == n {
					if count++; r.Void != "" {
						why = append(why, r.Void)
					}
				}
			}
			if len(why) > 0 {
				fmt.Fprintf(&b, "\nVoid at %d: %d of %d runs (%s).\n", n, len(why), count, strings.Join(why, "; "))
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestTables makes the tables. Small, it only shows that they can be made.
func TestTables(t *testing.T) {
	tables := map[string]func(*testing.T){"idle": idleTable, "start": startTable, "change": changeTable, "real": realTable, "load": loadTable}
	for _, name := range strings.Split(*only, ",") {
		table := tables[name]
		if table == nil {
			t.Errorf("there is no table %q", name)
			continue
		}
		t.Run(name, func(t *testing.T) {
			if !*full {
				t.Parallel() // figures do not count
			}
			table(t)
		})
	}
}

func idleTable(t *testing.T) {
	for _, m := range strings.Split(*matrix, ",") {
		for _, n := range fleetSizes(t, 14) {
			for _, run := range runNumbers() {
				for _, mode := range fleetModes() {
					t.Run(fmt.Sprintf("%s-%s-%d-%d", mode, m, n, run), func(t *testing.T) { saveRows(t, measureIdle(t, mode, n, m == "on", run)) })
				}
			}
		}
	}
}

// measureIdle measures a fleet in which nothing happens.
func measureIdle(t *testing.T, mode simagent.Mode, n int, matrix bool, run int) row {
	heap0, rss0 := memory()
	goroutines0 := runtime.NumGoroutine()
	c := newTestFleet(t, mode, n, matrix)
	c.startAll(time.Duration(n) * *pace)
	r := row{Table: "idle", Mode: string(mode), N: n, Matrix: matrix, Run: run}
	if reason := c.awaitStart(); reason != "" {
		r.Void = reason
		return r
	}
	settle, measure := 100*time.Millisecond, 500*time.Millisecond
	if *full {
		settle, measure = *warm, *window
	}
	time.Sleep(settle) // what a start leaves is not an idle agent's
	hubs := c.hubs.meter(t)
	m := c.startMeter(true)
	time.Sleep(measure) // the span that is measured
	s := m.end()
	hubValues := hubs.end(s)
	goroutines := runtime.NumGoroutine()
	heap, rss := memory()
	r.Void, r.Values = s.void, map[string]float64{}
	maps.Copy(r.Values, hubValues)
	each := float64(n) * s.duration.Seconds()
	v := r.Values
	profiled := 0.
	for _, d := range s.cpuByPart {
		profiled += d.Seconds()
	}
	// The list service's and the harness's own share is not the agents'.
	cpu := s.cpu.Seconds()
	if profiled > 0 {
		for part, d := range s.cpuByPart {
			v["processor us/s, "+part] = cpu * d.Seconds() / profiled * 1e6 / each
		}
		cpu *= 1 - s.cpuByPart["harness"].Seconds()/profiled
	}
	v["processor us/s"] = cpu * 1e6 / each
	for _, p := range simagent.TrafficKinds {
		v["bytes/s in"] += float64(s.traffic.In[p].Bytes) / each
		v["bytes/s out"] += float64(s.traffic.Out[p].Bytes) / each
		v["messages/s in"] += float64(s.traffic.In[p].Messages) / each
		v["messages/s out"] += float64(s.traffic.Out[p].Messages) / each
		if s.traffic.Out[p].Bytes > 0 {
			v["bytes/s out, "+p.String()] = float64(s.traffic.Out[p].Bytes) / each
		}
	}
	v["heap kB"] = (heap - heap0) / 1e3 / float64(n)
	v["resident kB"] = (rss - rss0) / 1e3 / float64(n)
	v["goroutines"] = float64(goroutines-goroutines0) / float64(n)
	v["stolen by the host %"] = 100 * s.steal
	v["timers late ms p99"] = s.late.Seconds() * 1e3
	return r
}

// fixedState is an agent that says what it knows.
type fixedState simagent.State

func (s fixedState) State() simagent.State { return simagent.State(s) }

// The check that all know all finds an agent that tells an old version, or lacks anything else.
func TestLaggardsNamesWhatAnAgentLacks(t *testing.T) {
	want := simagent.State{Members: 3, Quota: 1. / 3, MeasuredZones: 7, Policy: 2, List: 42, Settings: 5}
	if n, why := laggards([]fixedState{fixedState(want), fixedState(want)}, want); n != 0 {
		t.Errorf("%d lag: %s", n, why)
	}
	for name, spoil := range map[string]func(*simagent.State){
		"policy 1, not 2":             func(s *simagent.State) { s.Policy = 1 },
		"list 41, not 42":             func(s *simagent.State) { s.List = 41 },
		"2 members of 3":              func(s *simagent.State) { s.Members = 2 },
		"4 members of 3":              func(s *simagent.State) { s.Members = 4 },
		"a part of 0.1, not 0.3333":   func(s *simagent.State) { s.Quota = 0.1 },
		"round trips to 6 zones of 7": func(s *simagent.State) { s.MeasuredZones = 6 },
		"settings 4, not 5":           func(s *simagent.State) { s.Settings = 4 },
	} {
		old := want
		spoil(&old)
		if n, why := laggards([]fixedState{fixedState(want), fixedState(old)}, want); n != 1 || !strings.HasPrefix(why, "agent 1: "+name) {
			t.Errorf("%s: %d lag: %q", name, n, why)
		}
	}
}

// A stack is attributed to what asked for the work, not to who does it in the end.
func TestStackIsAttributedToWhatAskedForTheWork(t *testing.T) {
	const p = "martenbeam/internal/"
	for want, stack := range map[string][]string{
		"facts":     {"github.com/fxamacker/cbor/v2.Marshal", p + "fleet/gossip.EncodeMessage", p + "fleet/gossip.(*Store).NextMessage", "github.com/hashicorp/memberlist.(*Memberlist).gossip"},
		"distances": {"runtime.mallocgc", p + "fleet/member.(*List).Alive", p + "fleet.(*Fleet).publishLatencies", p + "fleet.(*Fleet).runLoop"},
		"members":   {"syscall.Syscall6", p + "fleet/member.(*transport).WriteTo", "github.com/hashicorp/memberlist.(*Memberlist).probe"},
		"policy":    {p + "fleet/gossip.(*Store).Entries", p + "fleet.(*Fleet).shareDocuments"},
		"list":      {"net/http.(*response).Write", p + "fleet.(*relay).ServeHTTP", "net/http.(*conn).serve"},
		"harness":   {"net/http.(*response).Write", p + "scale.(*service).ServeHTTP", "net/http.(*conn).serve"},
		"parts":     {p + "fleet/member.(*List).Alive", p + "fleet.(*Fleet).recomputeQuota", p + "fleet.(*Fleet).runLoop"},
		"collector": {"runtime.scanobject", "runtime.gcBgMarkWorker"},
		"runtime":   {"runtime.findRunnable", "runtime.schedule"},
	} {
		if got := partOf(stack); got != want {
			t.Errorf("%v: %s, want %s", stack, got, want)
		}
	}
}
