package main

// The progress display of a run.

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"martenbeam/internal/lab"
)

// isTerminal reports whether a writer is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progressTable displays the progress of a run: either a line each second or, with inPlace, a table that overwrites the previous
// one on a terminal.
type progressTable struct {
	mu          sync.Mutex
	w           io.Writer
	inPlace     bool
	drawnLines  int // of the previous table, with inPlace
	printedRows int // lines printed so far, without inPlace
}

func newProgressTable(w io.Writer, inPlace bool) *progressTable {
	return &progressTable{w: w, inPlace: inPlace}
}

// header prints a text above the table. It must be called before the first update.
func (t *progressTable) header(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintln(t.w, text)
}

const progressHeading = "  time  agents backends  offered/s  in aim  refused  failed    p50    p99  attempts/r  used  broken  faults"

// progressRow returns the line for a view.
func progressRow(view lab.View) string {
	window := view.Last
	ratio := func(dividend, divisor float64) float64 {
		if divisor == 0 {
			return 0
		}
		return dividend / divisor
	}
	n := float64(window.Offered)
	return fmt.Sprintf("%5.0fs  %6d %8d  %9d  %5.1f%%  %6.1f%%  %5.1f%%  %3.0f ms %4.0f ms  %10.2f  %3.0f%%  %6d  %s",
		view.At.Seconds(), view.Agents, view.Backends, window.Offered, 100*ratio(window.WeightInObjective, window.Weight),
		100*ratio(float64(window.Rejected), n), 100*ratio(float64(window.Failed+window.Lost), n), window.P50, window.P99,
		ratio(float64(window.Attempts), n), 100*window.Used, view.Violations, strings.Join(view.Faults, ", "))
}

// update displays the state of a run. The lab calls update each second.
func (t *progressTable) update(_ *lab.Lab, view lab.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.inPlace {
		if t.printedRows%20 == 0 {
			fmt.Fprintln(t.w, progressHeading+"  (requests of 3 s before)")
		}
		t.printedRows++
		fmt.Fprintln(t.w, progressRow(view))
		return
	}
	text := progressHeading + "\n" + progressRow(view) + "\n\n  zone                 agents  backends  requests held\n"
	for _, zone := range view.Zones {
		text += fmt.Sprintf("  %-20s %6d  %8d  %13d\n", zone.Name, zone.Agents, zone.Backends, zone.Requests)
	}
	text += "  requests are those of 3 s before: most have ended by then\n"
	if t.drawnLines > 0 {
		fmt.Fprintf(t.w, "\x1b[%dA\x1b[J", t.drawnLines)
	}
	fmt.Fprint(t.w, text)
	t.drawnLines = strings.Count(text, "\n")
}
