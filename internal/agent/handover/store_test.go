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

// newRegistered returns the store of a process that has registered.
func newRegistered(dir string, log *slog.Logger) (*Store, error) {
	s := New(dir, log)
	return s, s.Register()
}

// A fresh record of an earlier process is continued; a missing, torn, foreign or old one is ignored without an error.
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
			t.Errorf("%s: %d overrides continued", name, len(calls))
		}
	}
	if _, err := newRegistered(filepath.Join(t.TempDir(), "none"), discardLog); err == nil {
		t.Error("no error without the directory")
	}
}

// An override issued at either process reaches the other, in the order in which they were issued; a process's own overrides
// do not come back to it.
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
	save := func(s *Store, backend string, disabled bool) {
		at += time.Millisecond
		if err := s.SaveOverride(t.Context(), Override{Backend: backend, Disabled: disabled, IssuedAt: at}); err != nil {
			t.Fatal(err)
		}
	}
	poll := func(s *Store) (text string) {
		overrides, lameDuck, _ := s.Poll()
		for _, o := range overrides {
			text += fmt.Sprintf("%s %v ", o.Backend, o.Disabled)
		}
		return text + fmt.Sprint(lameDuck)
	}
	save(older, "s", true)
	save(older, "s", true)
	if got := poll(younger); got != "s true false" {
		t.Errorf("the younger process polled %q", got)
	}
	if got := poll(older); got != "false" {
		t.Errorf("the older process polled its own override: %q", got)
	}
	save(younger, "", true)
	save(younger, "s", false)
	if err := older.SaveSnapshot(balancer.Snapshot{}); err != nil { // reads and writes the record in between
		t.Fatal(err)
	}
	if got := poll(older); got != "s false true" {
		t.Errorf("the older process polled %q", got)
	}
	if got := poll(younger); got != "true" {
		t.Errorf("the younger process polled %q", got)
	}
	older.Close() // as the end of its process does
	if !older.HasSuccessor() || !younger.BecomePrimary() || younger.HasSuccessor() {
		t.Error("the younger process does not become the primary one")
	}
}

// A successor that ends before it has taken over leaves the older process as it was, the one that writes the record; another
// successor may start.
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
			t.Fatalf("round %d: the successor is not noticed", round)
		}
		younger.Close() // killed
		if !older.ReclaimFromSuccessor() || older.HasSuccessor() {
			t.Fatalf("round %d: the end of the successor is not noticed", round)
		}
		if err := older.SaveSnapshot(balancer.Snapshot{Tokens: float64(round + 1)}); err != nil {
			t.Fatal(err)
		}
		if l := older.LastRecord().Snapshot; l == nil || l.Tokens != float64(round+1) {
			t.Fatalf("round %d: the older process no longer saves: %+v", round, l)
		}
	}
	younger := start()
	older.Close()
	if !younger.BecomePrimary() || younger.successorLock != nil {
		t.Error("the younger process is not the primary one now")
	}
	third := start()
	defer third.Close()
	if _, _, _ = younger.Poll(); !younger.HasSuccessor() || younger.ReclaimFromSuccessor() {
		t.Error("the third process is not noticed")
	}
	younger.Close()
}

// A record cut at any byte, or of zeros, or beside a partly written next one, stops no process and is replaced by a complete
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
