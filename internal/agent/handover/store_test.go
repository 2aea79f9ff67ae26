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

// A process uses the fresh record of an earlier process. A missing, truncated or old record, or one in another format, is
// ignored without an error.
func TestUnusableRecordIsIgnored(t *testing.T) {
	now := time.Now().UnixMilli()
	for name, row := range map[string]struct {
		text string
		used bool
	}{
		"missing":      {"", false},
		"truncated":    {`{"format":1,"turn":3,"saved":`, false},
		"JSON array":   {`[1,2]`, false},
		"other format": {fmt.Sprintf(`{"format":2,"turn":3,"saved":%d,"detached":{"s":1}}`, now), false},
		"an hour old":  {fmt.Sprintf(`{"format":1,"turn":3,"saved":%d,"detached":{"s":1}}`, now-time.Hour.Milliseconds()), false},
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
		if overrides, _, _ := store.Poll(); len(overrides) == 1 != row.used {
			t.Errorf("%s: %d overrides read, want 1 if the record is fresh and 0 otherwise", name, len(overrides))
		}
	}
	if _, err := newRegistered(filepath.Join(t.TempDir(), "none"), discardLog); err == nil {
		t.Error("missing directory: no error")
	}
}

// Poll returns the overrides that the other process has accepted since the last Poll, but no override that the polling
// process has accepted itself.
func TestOverridesReachBothProcesses(t *testing.T) {
	dir := t.TempDir()
	older, err := newRegistered(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	newer, err := newRegistered(dir, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	if !older.StartedAlone() || newer.StartedAlone() {
		t.Errorf("started alone: older process %v, want true; newer process %v, want false", older.StartedAlone(), newer.StartedAlone())
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
	if got := poll(newer); got != "s true false" {
		t.Errorf("the newer process polled %q, want \"s true false\"", got)
	}
	if got := poll(older); got != "false" {
		t.Errorf("the older process polled %q, want \"false\" without its own override", got)
	}
	save(newer, "", true)
	save(newer, "s", false)
	if err := older.SaveSnapshot(balancer.Snapshot{}); err != nil { // reads and writes the record in between
		t.Fatal(err)
	}
	if got := poll(older); got != "s false true" {
		t.Errorf("the older process polled %q, want \"s false true\"", got)
	}
	if got := poll(newer); got != "true" {
		t.Errorf("the newer process polled %q, want \"true\"", got)
	}
	older.Close() // as the exit of its process does
	if !older.HasSuccessor() || !newer.BecomePrimary() || newer.HasSuccessor() {
		t.Error("the newer process does not become primary after the older one has ended")
	}
}

// If a successor exits before it has taken over, the older process writes the record again, and another successor may start.
func TestProcessReclaimsRecordWhenSuccessorExits(t *testing.T) {
	dir := t.TempDir()
	start := func() *Store {
		s, err := newRegistered(dir, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	older := start()
	defer older.Close()
	for round := range 3 {
		newer := start()
		if _, _, _ = older.Poll(); !older.HasSuccessor() || older.ReclaimFromSuccessor() {
			t.Fatalf("round %d: running successor not detected", round)
		}
		newer.Close() // as if the successor was killed
		if !older.ReclaimFromSuccessor() || older.HasSuccessor() {
			t.Fatalf("round %d: exit of the successor not detected", round)
		}
		if err := older.SaveSnapshot(balancer.Snapshot{Tokens: float64(round + 1)}); err != nil {
			t.Fatal(err)
		}
		if snapshot := older.LastRecord().Snapshot; snapshot == nil || snapshot.Tokens != float64(round+1) {
			t.Fatalf("round %d: snapshot %+v, want the one that the older process saved", round, snapshot)
		}
	}
	newer := start()
	older.Close()
	if !newer.BecomePrimary() || newer.successorLock != nil {
		t.Error("the newer process is not primary after the older one has ended")
	}
	third := start()
	defer third.Close()
	if _, _, _ = newer.Poll(); !newer.HasSuccessor() || newer.ReclaimFromSuccessor() {
		t.Error("third process not detected as the running successor")
	}
	newer.Close()
}

// A process starts although the record is truncated at any byte, or consists of zeros, or a new file is left partly written
// beside it. The process replaces the record with a complete one.
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
	intact, err := os.ReadFile(filepath.Join(dir, recordName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := len(intact); cut >= 0; cut-- { // the intact record first: it is stale once it is maxRecordAge old
		for _, newFileText := range []string{"", "{", string(intact)} {
			dir := t.TempDir()
			text := intact[:cut]
			if cut == 0 {
				text = make([]byte, len(intact))
			}
			if err := os.WriteFile(filepath.Join(dir, recordName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(dir, recordName+".new"), []byte(newFileText), 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := newRegistered(dir, discardLog)
			if err != nil {
				t.Fatalf("record truncated to %d bytes: %v", cut, err)
			}
			overrides, _, ok := s.Poll()
			if s.Close(); !ok || len(overrides) == 1 != (cut == len(intact)) {
				t.Fatalf("record truncated to %d bytes, %q in the new file: overrides %v, want one only at full length; record read: %v, want true", cut, newFileText, overrides, ok)
			}
			restarted, err := newRegistered(dir, discardLog)
			record := restarted.LastRecord()
			if err != nil || record.check() != nil || restarted.Generation() < 2 {
				t.Fatalf("after a record truncated to %d bytes: error %v, generation %d; want no error and a valid record of generation 2 or later", cut, err, restarted.Generation())
			}
			restarted.Close()
		}
	}
}
