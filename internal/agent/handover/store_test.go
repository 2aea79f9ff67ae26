package handover

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/bootclock"
)

var quiet = slog.New(slog.DiscardHandler)

// begin is a process's store that has taken its place.
func begin(dir string, log *slog.Logger) (*Store, error) {
	s := New(dir, log)
	return s, s.Begin()
}

// What an earlier process left is gone on from; what can't be used is worked around.
func TestRecordsThatCannotBeUsed(t *testing.T) {
	now := time.Now().UnixMilli()
	for name, row := range map[string]struct {
		text string
		used bool
	}{
		"missing":      {"", false},
		"torn":         {`{"format":1,"turn":3,"saved":`, false},
		"no record":    {`[1,2]`, false},
		"other format": {fmt.Sprintf(`{"format":2,"turn":3,"saved":%d,"detached":{"s":1}}`, now), false},
		"long gone":    {fmt.Sprintf(`{"format":1,"turn":3,"saved":%d,"detached":{"s":1}}`, now-time.Hour.Milliseconds()), false},
		"fresh":        {fmt.Sprintf(`{"format":1,"turn":3,"saved":%d,"detached":{"s":1}}`, now), true},
	} {
		dir := t.TempDir()
		if row.text != "" {
			if err := os.WriteFile(filepath.Join(dir, recordName), []byte(row.text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		h, err := begin(dir, quiet)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if calls, _, _ := h.Look(); len(calls) == 1 != row.used {
			t.Errorf("%s: %d calls are gone on from", name, len(calls))
		}
	}
	if _, err := begin(filepath.Join(t.TempDir(), "none"), quiet); err == nil {
		t.Error("no directory, and no error")
	}
}

// A call to either process is known to both, in the order in which they were taken; a process's own
// calls don't come back to it.
func TestCallsReachBothProcesses(t *testing.T) {
	dir := t.TempDir()
	older, err := begin(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	younger, err := begin(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if !older.Alone() || younger.Alone() {
		t.Errorf("alone: %v and %v", older.Alone(), younger.Alone())
	}
	at := bootclock.SinceBoot()
	keep := func(h *Store, backend string, out bool) {
		at += time.Millisecond
		if err := h.Keep(t.Context(), Call{Backend: backend, Out: out, At: at}); err != nil {
			t.Fatal(err)
		}
	}
	told := func(h *Store) (text string) {
		calls, lame, _ := h.Look()
		for _, c := range calls {
			text += fmt.Sprintf("%s %v ", c.Backend, c.Out)
		}
		return text + fmt.Sprint(lame)
	}
	keep(older, "s", true)
	keep(older, "s", true)
	if got := told(younger); got != "s true false" {
		t.Errorf("the younger hears %q", got)
	}
	if got := told(older); got != "false" {
		t.Errorf("the older hears %q of its own call", got)
	}
	keep(younger, "", true)
	keep(younger, "s", false)
	if err := older.Save(balancer.Snapshot{}); err != nil {
		t.Fatal(err)
	} // reads and writes the record in between
	if got := told(older); got != "s false true" {
		t.Errorf("the older hears %q", got)
	}
	if got := told(younger); got != "true" {
		t.Errorf("the younger hears %q", got)
	}
	older.Close() // as its end does
	if !older.Followed() || !younger.First() || younger.Followed() {
		t.Error("the younger does not know that it is alone")
	}
}

// A successor that ends before it has taken the clients leaves the older process as it was: with the whole limits, and the one
// that the record is by; and another may start.
func TestSuccessorThatEnds(t *testing.T) {
	dir := t.TempDir()
	begin := func() *Store {
		h, err := begin(dir, quiet)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	older := begin()
	defer older.Close()
	for round := range 3 {
		younger := begin()
		if _, _, _ = older.Look(); !older.Followed() || older.SuccessorEnded() {
			t.Fatalf("round %d: the younger one is not seen", round)
		}
		younger.Close() // killed
		if !older.SuccessorEnded() || older.Followed() {
			t.Fatalf("round %d: its end is not seen", round)
		}
		older.Save(balancer.Snapshot{Tokens: float64(round + 1)})
		if l := older.Known().Snapshot; l == nil || l.Tokens != float64(round+1) {
			t.Fatalf("round %d: the older one no longer records: %+v", round, l)
		}
	}
	younger := begin()
	older.Close()
	if !younger.First() || younger.second != nil {
		t.Error("the younger one is not the first now")
	}
	third := begin()
	defer third.Close()
	if _, _, _ = younger.Look(); !younger.Followed() || younger.SuccessorEnded() {
		t.Error("a third process is not seen")
	}
	younger.Close()
}

// A record cut at any byte, or of zeros, or beside what a kill left of the next one, ends nothing and is replaced by a whole
// one.
func TestTornRecords(t *testing.T) {
	dir := t.TempDir()
	older, err := begin(dir, quiet)
	if err != nil {
		t.Fatal(err)
	}
	if err := older.Keep(t.Context(), Call{Backend: "s", Out: true, At: bootclock.SinceBoot()}); err != nil {
		t.Fatal(err)
	}
	older.Close()
	whole, err := os.ReadFile(filepath.Join(dir, recordName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(whole) + 1 {
		for _, next := range []string{"", "{", string(whole)} {
			dir := t.TempDir()
			text := whole[:cut]
			if cut == 0 {
				text = make([]byte, len(whole))
			}
			if err := os.WriteFile(filepath.Join(dir, recordName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, recordName+".new"), []byte(next), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := begin(dir, quiet)
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			calls, _, ok := s.Look()
			if s.Close(); !ok || len(calls) == 1 != (cut == len(whole)) {
				t.Fatalf("cut at %d, with %q beside it: %v, %v", cut, next, calls, ok)
			}
			again, err := begin(dir, quiet)
			known := again.Known()
			if err != nil || known.check() != nil || again.Turn() < 2 {
				t.Fatalf("after one cut at %d: %v, turn %d", cut, err, again.Turn())
			}
			again.Close()
		}
	}
}

// A version of the program before this one gives times by the wall clock alone, and drops what it doesn't know. What it writes
// counts, and so does what this one writes, wherever the wall clock has been stepped to since.
func TestRecordsOfAnEarlierVersion(t *testing.T) {
	clocks := now{boot: time.Hour, wall: time.UnixMilli(1e12)}
	unix := func(ago time.Duration) int64 { return clocks.wall.Add(-ago).UnixMilli() }
	earlier := Record{Format: 1, Turn: 1, Saved: unix(time.Second), Detached: map[string]int64{"out": unix(time.Minute)},
		Attached: map[string]int64{"back": unix(10 * time.Second)}}
	if _, stale := earlier.stale(clocks); stale {
		t.Error("a record of a second ago is stale")
	}
	list := changes(&Record{}, &earlier, clocks)
	if len(list) != 2 || list[0] != (Call{Backend: "out", Out: true, At: time.Hour - time.Minute}) || list[1] != (Call{Backend: "back", At: time.Hour - 10*time.Second}) {
		t.Errorf("%+v", list)
	}
	earlier.note(Call{Backend: "out", At: time.Hour}, clocks)
	if at := earlier.attachedAt("out", clocks); at != time.Hour || len(earlier.Detached) != 0 {
		t.Errorf("attached again at %v, detached %v", at, earlier.Detached)
	}
	for _, step := range []time.Duration{time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		later := now{boot: clocks.boot + time.Second, wall: clocks.wall.Add(step)}
		r := Record{Format: 1, Turn: 1, Saved: unix(0), SavedAt: clocks.boot.Microseconds()}
		r.note(Call{Backend: "out", Out: true, At: clocks.boot}, clocks)
		r.note(Call{Backend: "out", At: clocks.boot + time.Millisecond}, later)
		if _, stale := r.stale(later); stale || r.attachedAt("out", later) != clocks.boot+time.Millisecond {
			t.Errorf("after a step of %v: stale %v, attached at %v", step, stale, r.attachedAt("out", later))
		}
		if earlier.attachedAt("back", later) > later.boot {
			t.Errorf("after a step of %v a time lies ahead", step)
		}
	}
}

// What a process left is stale once it has not been heard of for long, by real time, and after a restart of the machine.
func TestStaleRecords(t *testing.T) {
	clocks := now{boot: time.Hour, wall: time.UnixMilli(1e12)}
	at := func(boot time.Duration, wall time.Duration) Record {
		return Record{Turn: 1, SavedAt: boot.Microseconds(), Saved: clocks.wall.Add(wall).UnixMilli()}
	}
	for name, c := range map[string]struct {
		record Record
		stale  bool
	}{
		"fresh":                          {at(time.Hour-time.Second, -time.Second), false},
		"at the bound":                   {at(time.Hour-longGone, -longGone), false},
		"past it":                        {at(time.Hour-longGone-time.Second, -longGone-time.Second), true},
		"fresh, the wall an hour on":     {at(time.Hour-time.Second, -time.Hour), false},
		"past it, the wall set back":     {at(time.Hour-longGone-time.Second, time.Hour), true},
		"of another start":               {at(2*time.Hour, -time.Second), true},
		"of a version before, fresh":     {at(0, -time.Second), false},
		"of a version before, long gone": {at(0, -time.Hour), true},
		"none":                           {Record{}, false},
	} {
		if _, stale := c.record.stale(clocks); stale != c.stale {
			t.Errorf("%s: stale %v", name, stale)
		}
	}
}

// A call that is recorded late does not undo one that came after it.
func TestCallsRecordedLate(t *testing.T) {
	clocks := now{boot: time.Hour, wall: time.UnixMilli(1e12)}
	var r Record
	r.note(Call{Backend: "s", Out: true, At: 10 * time.Second}, clocks)
	r.note(Call{Backend: "s", At: 20 * time.Second}, clocks)
	r.note(Call{Backend: "s", Out: true, At: 15 * time.Second}, clocks)
	if len(r.Detached) != 0 {
		t.Errorf("detached again by a call before the attach: %+v", r)
	}
	r.note(Call{Out: true, At: 20 * time.Second}, clocks)
	r.note(Call{At: 10 * time.Second}, clocks)
	if !r.Lame {
		t.Error("put back to work by a call before the drain")
	}
}
