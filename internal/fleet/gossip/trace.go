package gossip

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"martenbeam/internal/bootclock"
)

// Trace writes a line for each fact used or told, and what else is to be checked from outside, with the time since the machine's start.
type Trace struct{ W io.Writer } // nil: none

var traceMu sync.Mutex

// Use writes a fact's use, or that it was told.
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

// Line writes a line of names and numbers.
func (t Trace) Line(line map[string]any) {
	if t.W == nil {
		return
	}
	line["at"] = bootclock.SinceBoot().Microseconds()
	data, err := json.Marshal(line)
	if err != nil {
		panic(err) // it holds names and numbers alone
	}
	traceMu.Lock()
	defer traceMu.Unlock()
	_, _ = t.W.Write(append(data, '\n'))
}

// Use is one use of a fact, as told to a trace.
type Use struct {
	Entry
	Published bool          // by this process, rather than used
	AgeAtUse  time.Duration // its age then
}
