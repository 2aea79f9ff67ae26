package handover

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/bootclock"
)

// Record is the content of the file by which the processes of an agent know of each other. Times that count are given
// twice: in microseconds since the machine's start, and, as versions of this program before had it, in Unix milliseconds.
// Those are used where the first are missing: a process of such a version has written the record.
type Record struct {
	Format     int                     `json:"format"`
	Turn       int64                   `json:"turn"`     // of the youngest process
	Saved      int64                   `json:"saved"`    // when the process that serves last wrote, Unix ms
	Detached   map[string]int64        `json:"detached"` // backends, with when they were detached, Unix ms
	Attached   map[string]int64        `json:"attached"` // and those attached again since
	SavedAt    int64                   `json:"saved_us,omitempty"`
	DetachedAt map[string]int64        `json:"detached_us,omitempty"`
	AttachedAt map[string]int64        `json:"attached_us,omitempty"`
	Lame       bool                    `json:"lame"`
	LameAt     int64                   `json:"lame_us,omitempty"`
	From       string                  `json:"from"` // the address of discovery, that told the list
	List       *discovery.EndpointList `json:"list"`
	Snapshot   *balancer.Snapshot      `json:"legacy"`
}

const (
	recordFormat = 1
	longGone     = 30 * time.Second // a process not heard of for so long left nothing that still counts
	attachedKept = 2 * time.Minute  // far longer than any backend needs to get warm
)

var errFormat = errors.New("unknown format")

// check reports why a record can't be used.
func (r *Record) check() error {
	if r.Format != recordFormat {
		return fmt.Errorf("%w: %d", errFormat, r.Format)
	}
	return nil
}

// Call is an operators' call, which holds until it is taken back.
type Call struct {
	Backend string        // "": the agent itself is drained, or put back to work
	Out     bool          // detached, or drained
	At      time.Duration // since the machine's start
}

// now are the present readings of both clocks that a record's times are given by.
type now struct {
	boot time.Duration
	wall time.Time
}

func readClocks() now { return now{bootclock.SinceBoot(), bootclock.Wall()} }

// at is a time of a record, as time since the machine's start; none of the record lies ahead.
func (n now) at(us, unixMilli int64) time.Duration {
	if us > 0 {
		return min(n.boot, time.Duration(us)*time.Microsecond)
	}
	return n.boot - max(0, n.wall.Sub(time.UnixMilli(unixMilli)))
}

// unixMilli is a time since the machine's start as versions before had it.
func (n now) unixMilli(at time.Duration) int64 { return n.wall.Add(at - n.boot).UnixMilli() }

// stale reports whether the process that wrote a record has been gone for so long that nothing of it counts. A time that
// lies ahead is another start's of the machine.
func (r *Record) stale(n now) (age time.Duration, stale bool) {
	if r.Turn == 0 {
		return 0, false
	}
	if age = n.boot - time.Duration(r.SavedAt)*time.Microsecond; r.SavedAt == 0 {
		age = n.wall.Sub(time.UnixMilli(r.Saved))
		return age, age > longGone
	}
	return age, age > longGone || age < 0
}

// savedNow says that the process that writes is there.
func (r *Record) savedNow(n now) { r.Saved, r.SavedAt = n.wall.UnixMilli(), n.boot.Microseconds() }

// note takes a call into a record, unless a later one of the same backend stands there. Its maps may be in other records
// too, and are not changed.
func (r *Record) note(c Call, n now) {
	us := c.At.Microseconds()
	if c.Backend == "" {
		if r.LameAt <= us {
			r.Lame, r.LameAt = c.Out, us
		}
		return
	}
	at, out := r.Detached[c.Backend]
	switch {
	case c.Out && !out && r.attachedAt(c.Backend, n) <= c.At:
		r.Detached, r.DetachedAt = with(r.Detached, c.Backend, n.unixMilli(c.At)), with(r.DetachedAt, c.Backend, us)
		r.Attached, r.AttachedAt = without(r.Attached, c.Backend), without(r.AttachedAt, c.Backend)
	case !c.Out && out && n.at(r.DetachedAt[c.Backend], at) <= c.At:
		r.Detached, r.DetachedAt = without(r.Detached, c.Backend), without(r.DetachedAt, c.Backend)
		r.Attached, r.AttachedAt = with(r.Attached, c.Backend, n.unixMilli(c.At)), with(r.AttachedAt, c.Backend, us)
	}
	for id := range r.Attached {
		if c.At-r.attachedAt(id, n) > attachedKept {
			r.Attached, r.AttachedAt = without(r.Attached, id), without(r.AttachedAt, id)
		}
	}
}

// attachedAt is when a backend was attached again, since the machine's start; 0: it was not.
func (r *Record) attachedAt(id string, n now) time.Duration {
	at, back := r.Attached[id]
	if !back {
		return 0
	}
	return n.at(r.AttachedAt[id], at)
}

func with(m map[string]int64, key string, value int64) map[string]int64 {
	changed := map[string]int64{key: value}
	for k, v := range m {
		if k != key {
			changed[k] = v
		}
	}
	return changed
}

func without(m map[string]int64, key string) map[string]int64 {
	changed := maps.Clone(m)
	delete(changed, key)
	return changed
}

// changes are the calls that hold by one record and not by the one before.
func changes(before, by *Record, n now) (list []Call) {
	for id, at := range by.Detached {
		if _, out := before.Detached[id]; !out {
			list = append(list, Call{Backend: id, Out: true, At: n.at(by.DetachedAt[id], at)})
		}
	}
	for id, at := range by.Attached {
		_, out := by.Detached[id]
		was, back := before.Attached[id]
		if !out && (!back || was != at || before.AttachedAt[id] != by.AttachedAt[id]) {
			list = append(list, Call{Backend: id, At: by.attachedAt(id, n)})
		}
	}
	return list
}
