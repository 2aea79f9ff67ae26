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
	line := map[string]any{"what": event, "kind": u.Kind.String(), "observer": u.Observer, "subject": u.Subject,
		"incarnation": u.Incarnation, "seq": u.Seq, "age": u.AgeAtUse.Microseconds()}
	if u.At == 0 {
		u.At = bootclock.SinceBoot()
	}
	t.write(line, u.At)
}

// Line adds the time to a line and writes it. The line must consist of strings, numbers and maps of these. Write errors are
// ignored: a trace is only a means of testing.
func (t Trace) Line(line map[string]any) {
	if t.W == nil {
		return
	}
	t.write(line, bootclock.SinceBoot())
}

// write writes a line with the time of its event since the machine's start.
func (t Trace) write(line map[string]any, at time.Duration) {
	line["at"] = at.Microseconds()
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
	At        time.Duration // when AgeAtUse was determined, since the machine's start; 0: when the line is written
}
