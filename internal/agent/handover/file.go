package handover

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

const (
	recordName        = "handover.json"
	primaryLockName   = "owner"  // locked by the process that was there first, until it ends
	successorLockName = "second" // locked by a process that started beside it, until it ends or is the first
	recordLockName    = "lock"   // locked while the record is changed

	lockTimeout       = 300 * time.Millisecond // the other process writes a small file meanwhile
	lockRetryInterval = 5 * time.Millisecond
	saveRetryInterval = 20 * time.Millisecond // a call that could not be recorded
)

// refresh takes a changed record over. The lock is held.
func (s *Store) refresh() {
	info, err := os.Stat(s.recordPath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		s.recordKnown = true
		return
	case err != nil:
		return
	case s.recordInfo != nil && os.SameFile(info, s.recordInfo) && info.Size() == s.recordInfo.Size() && info.ModTime().Equal(s.recordInfo.ModTime()):
		return
	}
	if r, err := s.load(); err == nil {
		s.recordInfo, s.record, s.recordKnown = info, r, true
	}
}

// update reads the record, changes it and writes it whole, while the other process does not. What this process has not
// recorded yet goes in with it. The lock is held.
func (s *Store) update(ctx context.Context, change func(*Record)) error {
	lock, err := s.lock(ctx, recordLockName)
	if err != nil {
		return err
	}
	defer lock.Close() // and with it unlock
	r, err := s.load()
	if err != nil {
		return err // it may hold what must not be lost
	}
	change(&r)
	clocks := readClocks()
	for _, override := range s.unsaved {
		r.apply(override, clocks)
	}
	r.Format = recordFormat
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.recordPath()+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(s.recordPath()+".new", s.recordPath()); err != nil {
		return err
	}
	s.record, s.unsaved, s.recordKnown = r, nil, true
	s.recordInfo, _ = os.Stat(s.recordPath()) // where that fails the next look reads it again
	return nil
}

// load returns the record as it stands. One that makes no sense counts as what was known before; one that can't be read
// may be there and hold what must not be lost.
func (s *Store) load() (Record, error) {
	raw, err := os.ReadFile(s.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return s.record, nil
	}
	if err != nil {
		return s.record, err
	}
	var r Record
	if err = json.Unmarshal(raw, &r); err == nil {
		err = r.check()
	}
	if err != nil {
		s.log.Warn("the record of an earlier process can't be used", "error", err)
		return s.record, nil
	}
	return r, nil
}

func (s *Store) recordPath() string { return filepath.Join(s.dir, recordName) }
