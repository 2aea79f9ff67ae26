package scale

// The flags, and the test that makes all tables.

import (
	"flag"
	"strconv"
	"strings"
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

// fleetSizes returns the sizes to measure at: small, but with -scale.full those of -scale.sizes.
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

// runNumbers returns the numbers of the runs.
func runNumbers() (list []int) {
	if !*full {
		return []int{0}
	}
	for i := range *runs {
		list = append(list, *first+i)
	}
	return list
}

// fleetModes returns the modes to measure, in turns.
func fleetModes() (list []simagent.Mode) {
	for _, m := range strings.Split(*modes, ",") {
		list = append(list, simagent.Mode(m))
	}
	return list
}

// TestTables makes the tables. Without -scale.full it only shows that everything arrives and that they can be made.
func TestTables(t *testing.T) {
	tables := map[string]func(*testing.T){
		"idle": idleTable, "start": startTable, "change": changeTable, "real": realTable, "load": loadTable}
	for _, name := range strings.Split(*only, ",") {
		table := tables[name]
		if table == nil {
			t.Errorf("there is no table %q", name)
			continue
		}
		t.Run(name, func(t *testing.T) {
			if !*full {
				t.Parallel() // the figures of small runs don't count
			}
			table(t)
		})
	}
}
