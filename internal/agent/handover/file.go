package handover

// Reading and writing the record's file.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const recordName = "handover.json"

func (s *Store) recordPath() string { return filepath.Join(s.dir, recordName) }

// refresh reads the record if its file has changed. Where that fails the record stays as it was, and the next call tries
// again. The lock is held.
func (s *Store) refresh() {
	info, err := os.Stat(s.recordPath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		s.recordKnown = true
		return
	case err != nil || s.unchanged(info):
		return
	}
	if r, err := s.load(); err == nil {
		s.recordInfo, s.record, s.recordKnown = info, r, true
	}
}

// unchanged reports whether the file is still the one last read or written. The lock is held.
func (s *Store) unchanged(info os.FileInfo) bool {
	last := s.recordInfo
	return last != nil && os.SameFile(info, last) && info.Size() == last.Size() && info.ModTime().Equal(last.ModTime())
}

// update reads the record, changes it and replaces the file, while no other process does. The overrides that are not in the
// record yet go in with it. The lock is held.
func (s *Store) update(ctx context.Context, change func(*Record)) error {
	lock, err := s.lock(ctx, recordLockName)
	if err != nil {
		return err
	}
	defer lock.Close() // which unlocks it
	r, err := s.load()
	if err != nil {
		return err // never replace what could not be read: it may hold what must not be lost
	}
	change(&r)
	clocks := readClocks()
	for _, override := range s.unsaved {
		r.apply(override, clocks)
	}
	r.Format = recordFormat
	if err := s.write(r); err != nil {
		return fmt.Errorf("write handover record: %w", err)
	}
	s.record, s.unsaved, s.recordKnown = r, nil, true
	s.recordInfo, _ = os.Stat(s.recordPath()) // where that fails the next refresh reads the file again
	return nil
}

// write replaces the record's file in one step. A rename without a sync is enough: the record is for processes of one boot.
func (s *Store) write(r Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.recordPath()+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(s.recordPath()+".new", s.recordPath())
}

// load reads the record from its file. A missing or unusable one is replaced by what this process knew before; a file that
// can't be read is an error, since it may hold what must not be lost. The lock is held.
func (s *Store) load() (Record, error) {
	raw, err := os.ReadFile(s.recordPath())
	if errors.Is(err, fs.ErrNotExist) {
		return s.record, nil
	}
	if err != nil {
		return s.record, fmt.Errorf("read handover record: %w", err)
	}
	var r Record
	if err = json.Unmarshal(raw, &r); err == nil {
		err = r.check()
	}
	if err != nil {
		s.log.Warn("handover record unusable", "error", err)
		return s.record, nil
	}
	return r, nil
}
