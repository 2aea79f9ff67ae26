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

var discardLog = slog.New(slog.DiscardHandler)

// newRegistered is a process's store that has taken its place.
func newRegistered(dir string, log *slog.Logger) (*Store, error) {
	s := New(dir, log)
	return s, s.Register()
}

// What an earlier process left is gone on from; what can't be used is worked around.
func TestUnusableRecordIsIgnored(t *testing.T) {
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
		store, err := newRegistered(dir, discardLog)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if calls, _, _ := store.Poll(); len(calls) == 1 != row.used {
			t.Errorf("%s: %d calls are gone on from", name, len(calls))
		}
	}
	if _, err := newRegistered(filepath.Join(t.TempDir(), "none"), discardLog); err == nil {
		t.Error("no directory, and no error")
	}
}

// A call to either process is known to both, in the order in which they were taken; a process's own
// calls don't come back to it.
func TestOverridesReachBothProcesses(t *testing.T) {
	dir := t.TempDir()
	older, err := newRegistered(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	younger, err := newRegistered(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if !older.StartedAlone() || younger.StartedAlone() {
		t.Errorf("alone: %v and %v", older.StartedAlone(), younger.StartedAlone())
	}
	at := bootclock.SinceBoot()
	save := func(h *Store, backend string, out bool) {
		at += time.Millisecond
		if err := h.SaveOverride(t.Context(), Override{Backend: backend, Disabled: out, IssuedAt: at}); err != nil {
			t.Fatal(err)
		}
	}
	poll := func(h *Store) (text string) {
		calls, lame, _ := h.Poll()
		for _, c := range calls {
			text += fmt.Sprintf("%s %v ", c.Backend, c.Disabled)
		}
		return text + fmt.Sprint(lame)
	}
	save(older, "s", true)
	save(older, "s", true)
	if got := poll(younger); got != "s true false" {
		t.Errorf("the younger hears %q", got)
	}
	if got := poll(older); got != "false" {
		t.Errorf("the older hears %q of its own call", got)
	}
	save(younger, "", true)
	save(younger, "s", false)
	if err := older.SaveSnapshot(balancer.Snapshot{}); err != nil {
		t.Fatal(err)
	} // reads and writes the record in between
	if got := poll(older); got != "s false true" {
		t.Errorf("the older hears %q", got)
	}
	if got := poll(younger); got != "true" {
		t.Errorf("the younger hears %q", got)
	}
	older.Close() // as its end does
	if !older.HasSuccessor() || !younger.BecomePrimary() || younger.HasSuccessor() {
		t.Error("the younger does not know that it is alone")
	}
}

// A successor that ends before it has taken the clients leaves the older process as it was: with the whole limits, and the one
// that the record is by; and another may start.
func TestProcessReclaimsRecordWhenSuccessorExits(t *testing.T) {
	dir := t.TempDir()
	start := func() *Store {
		h, err := newRegistered(dir, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return h
	}
	older := start()
	defer older.Close()
	for round := range 3 {
		younger := start()
		if _, _, _ = older.Poll(); !older.HasSuccessor() || older.ReclaimFromSuccessor() {
			t.Fatalf("round %d: the younger one is not seen", round)
		}
		younger.Close() // killed
		if !older.ReclaimFromSuccessor() || older.HasSuccessor() {
			t.Fatalf("round %d: its end is not seen", round)
		}
		older.SaveSnapshot(balancer.Snapshot{Tokens: float64(round + 1)})
		if l := older.LastRecord().Snapshot; l == nil || l.Tokens != float64(round+1) {
			t.Fatalf("round %d: the older one no longer records: %+v", round, l)
		}
	}
	younger := start()
	older.Close()
	if !younger.BecomePrimary() || younger.successorLock != nil {
		t.Error("the younger one is not the first now")
	}
	third := start()
	defer third.Close()
	if _, _, _ = younger.Poll(); !younger.HasSuccessor() || younger.ReclaimFromSuccessor() {
		t.Error("a third process is not seen")
	}
	younger.Close()
}

// A record cut at any byte, or of zeros, or beside what a kill left of the next one, ends nothing and is replaced by a whole
// one.
func TestTornRecordIsIgnoredAndReplaced(t *testing.T) {
	dir := t.TempDir()
	older, err := newRegistered(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if err := older.SaveOverride(t.Context(), Override{Backend: "s", Disabled: true, IssuedAt: bootclock.SinceBoot()}); err != nil {
		t.Fatal(err)
	}
	older.Close()
	complete, err := os.ReadFile(filepath.Join(dir, recordName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(complete) + 1 {
		for _, next := range []string{"", "{", string(complete)} {
			dir := t.TempDir()
			text := complete[:cut]
			if cut == 0 {
				text = make([]byte, len(complete))
			}
			if err := os.WriteFile(filepath.Join(dir, recordName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, recordName+".new"), []byte(next), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := newRegistered(dir, discardLog)
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			calls, _, ok := s.Poll()
			if s.Close(); !ok || len(calls) == 1 != (cut == len(complete)) {
				t.Fatalf("cut at %d, with %q beside it: %v, %v", cut, next, calls, ok)
			}
			again, err := newRegistered(dir, discardLog)
			known := again.LastRecord()
			if err != nil || known.check() != nil || again.Generation() < 2 {
				t.Fatalf("after one cut at %d: %v, turn %d", cut, err, again.Generation())
			}
			again.Close()
		}
	}
}
