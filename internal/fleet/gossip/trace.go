package gossip

// This file writes the trace from which the lab checks ages from outside of the process.

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"martenbeam/internal/bootclock"
)

// Trace writes JSON lines, each with the time since the machine's start in us as "at", by which the lines of all
// processes of one machine can be compared. A Trace whose W is nil writes nothing. Its methods may be called from any goroutine.
type Trace struct{ W io.Writer }

// traceMu keeps the lines of this process's traces from being interleaved: several traces may share a file.
var traceMu sync.Mutex

// Use writes a line for an entry that was used or published.
func (t Trace) Use(u Use) {
	if t.W == nil {
		return
	}
	event := "use"
	if u.Published {
		event = "tell"
	}
	t.Line(map[string]any{"what": event, "kind": u.Kind.String(), "observer": u.Observer, "subject": u.Subject,
		"incarnation": u.Incarnation, "seq": u.Seq, "age": u.AgeAtUse.Microseconds()})
}

// Line adds the time to a line and writes it. The line must consist of strings, numbers and maps of these. Write errors are
// ignored: a trace is only a means of testing.
func (t Trace) Line(line map[string]any) {
	if t.W == nil {
		return
	}
	line["at"] = bootclock.SinceBoot().Microseconds()
	data, err := json.Marshal(line)
	if err != nil {
		panic(err) // a line consists of strings and numbers, which always encode
	}
	traceMu.Lock()
	defer traceMu.Unlock()
	_, _ = t.W.Write(append(data, '\n'))
}

// Use is one use or publication of an entry by this process.
type Use struct {
	Entry
	Published bool          // this process published the entry; false: it used it
	AgeAtUse  time.Duration // age when it was used or published
}
