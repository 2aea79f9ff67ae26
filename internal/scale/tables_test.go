package scale

// Flags, and the test that makes all tables.

import (
	"flag"
	"strconv"
	"strings"
	"testing"
	"time"

	"martenbeam/internal/scale/simagent"
)

var (
	full   = flag.Bool("scale.full", false, "measure at the sizes in -scale.sizes, for as long as the tables need")
	sizes  = flag.String("scale.sizes", "30,100,300,600", "sizes of the fleets, with scale.full")
	runs   = flag.Int("scale.runs", 3, "runs at each size, with scale.full")
	out    = flag.String("scale.out", "", "JSON file to which rows are added; the tables are written beside it, as .md")
	only   = flag.String("scale.only", "idle,start,change,real,load", "which tables to make")
	modes  = flag.String("scale.modes", "flat,hubs", "topologies of the fleet; the modes alternate at each size")
	first  = flag.Int("scale.first", 0, "number of the first run, with scale.full, for adding runs to those in the file")
	matrix = flag.String("scale.matrix", "on,off", "whether idle agents measure round trips")
	pace   = flag.Duration("scale.pace", 10*time.Millisecond, "time between two starts, except where the start is measured")
	warm   = flag.Duration("scale.warm", 5*time.Second, "time before the measurement of idle agents, with scale.full")
	window = flag.Duration("scale.window", 5*time.Second, "duration of the measurement of idle agents, with scale.full")
)

// fleetSizes returns the sizes to measure at: small, or the sizes in -scale.sizes with -scale.full.
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

// fleetModes returns the modes to measure, in the order of -scale.modes.
func fleetModes() (list []simagent.Mode) {
	for _, m := range strings.Split(*modes, ",") {
		list = append(list, simagent.Mode(m))
	}
	return list
}

// TestTables makes the tables. Without -scale.full it only checks that all changes arrive and that the tables can be made.
func TestTables(t *testing.T) {
	tables := map[string]func(*testing.T){
		"idle": idleTable, "start": startTable, "change": changeTable, "real": realTable, "load": loadTable}
	for _, name := range strings.Split(*only, ",") {
		table := tables[name]
		if table == nil {
			t.Errorf("-scale.only: unknown table %q", name)
			continue
		}
		t.Run(name, func(t *testing.T) {
			if !*full {
				t.Parallel() // the figures of small runs are not used
			}
			table(t)
		})
	}
}
