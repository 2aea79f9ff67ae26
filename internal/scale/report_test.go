package scale

// The file of measured rows, and the tables made from it.

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// row is the result of one run for one table. The JSON keys and the names of cases and values must not change, since saved
// files contain them. Rates are per agent and second.
type row struct {
	Table  string             `json:"table"` // idle, start, change, real or load
	Mode   string             `json:"mode"`
	N      int                `json:"n"`
	Matrix bool               `json:"matrix"`
	Case   string             `json:"case,omitempty"`
	Run    int                `json:"run"`
	Void   string             `json:"void,omitempty"` // reason why the run does not count; "": it counts
	Values map[string]float64 `json:"values"`
}

// report is the contents of a file of rows.
type report struct {
	Cores int            `json:"cores"`
	Rows  []row          `json:"rows"`
	Fits  map[string]fit `json:"fits"` // by table, mode, matrix, case and value
}

var reportMu sync.Mutex

// saveRows logs rows, adds them to the file in -scale.out, and writes the tables beside the file. Without -scale.full it
// fails the test on a row whose fleet did not converge or whose change did not reach all agents.
func saveRows(t testing.TB, rows ...row) {
	for _, r := range rows {
		t.Logf("%s %s n=%d matrix=%t %s run %d void=%q %v",
			r.Table, r.Mode, r.N, r.Matrix, r.Case, r.Run, r.Void, formatValues(r.Values))
		// A small run tests only that all changes arrive within changeTimeout. A busy machine may delay them until then.
		if !*full && (strings.HasPrefix(r.Void, "not whole") || r.Values["agents never"] > 0) {
			t.Errorf("table %s, case %s: %s; %v agents did not receive the change", r.Table, r.Case, r.Void, r.Values["agents never"])
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

// group returns the name of the row's group. Rows of a group differ only in size and run.
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

// groupRows returns the rows of each group, and the sorted names of the groups.
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

// fitAll fits every value of every group over the runs that are not void.
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

// markdown returns a table for each group. A table has a line per value, a column per size with the median, minimum and
// maximum of the runs that are not void, and columns for the fit.
func markdown(rep *report) string {
	var b strings.Builder
	names, groups := groupRows(rep.Rows)
	for _, name := range names {
		writeGroup(&b, name, groups[name], rep.Fits)
		b.WriteString("\n")
	}
	return b.String()
}

// writeGroup writes one group's table, and below the table the reasons of void runs.
func writeGroup(b *strings.Builder, name string, rows []row, fits map[string]fit) {
	values, sizes := map[string]bool{}, map[int]bool{}
	for _, r := range rows {
		sizes[r.N] = true
		for k := range r.Values {
			values[k] = true
		}
	}
	columns := slices.Sorted(maps.Keys(sizes))
	fmt.Fprintf(b, "### %s\n\n| each agent |", name)
	for _, n := range columns {
		fmt.Fprintf(b, " %d |", n)
	}
	b.WriteString(" grows with | slope ± s.e. | at 1,800 (95%) |\n|---|" + strings.Repeat("---|", len(columns)+3) + "\n")
	for _, k := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(b, "| %s |", k)
		for _, n := range columns {
			fmt.Fprintf(b, " %s |", formatRange(rows, k, n))
		}
		if f, ok := fits[name+": "+k]; ok {
			fmt.Fprintf(b, " %s | %s ± %s | %s (%s to %s) |\n", f.Form, formatNumber(f.Slope), formatNumber(f.Error),
				formatNumber(f.At1800), formatNumber(f.Low), formatNumber(f.High))
		} else {
			b.WriteString(" | | |\n")
		}
	}
	for _, n := range columns {
		writeVoid(b, rows, n)
	}
}

// formatRange formats a value's median and range at a size, over the runs that are not void; "-" if all are void.
func formatRange(rows []row, value string, n int) string {
	var list []float64
	for _, r := range rows {
		if v, has := r.Values[value]; has && r.N == n && r.Void == "" {
			list = append(list, v)
		}
	}
	slices.Sort(list)
	switch len(list) {
	case 0:
		return "-"
	case 1:
		return formatNumber(list[0])
	}
	median, minimum, maximum := list[len(list)/2], list[0], list[len(list)-1]
	return fmt.Sprintf("%s (%s to %s)", formatNumber(median), formatNumber(minimum), formatNumber(maximum))
}

// writeVoid writes the number and the reasons of the void runs at a size. It writes nothing if there are none.
func writeVoid(b *strings.Builder, rows []row, n int) {
	var reasons []string
	count := 0
	for _, r := range rows {
		if r.N == n {
			if count++; r.Void != "" {
				reasons = append(reasons, r.Void)
			}
		}
	}
	if len(reasons) > 0 {
		fmt.Fprintf(b, "\nVoid at %d: %d of %d runs (%s).\n", n, len(reasons), count, strings.Join(reasons, "; "))
	}
}
