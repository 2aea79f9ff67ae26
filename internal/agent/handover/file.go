package handover

// This file reads and writes the record's file.

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

// refresh reads the record if its file has changed. If the read fails, the record in memory stays unchanged, and the next
// call retries.
// The caller holds mu.
func (s *Store) refresh() {
	info, err := os.Stat(s.recordPath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		s.recordRead = true
		return
	case err != nil || s.unchanged(info):
		return
	}
	if r, err := s.load(); err == nil {
		s.recordInfo, s.record, s.recordRead = info, r, true
	}
}

// unchanged reports whether the file is still the one that was last read or written. The caller holds mu.
func (s *Store) unchanged(info os.FileInfo) bool {
	last := s.recordInfo
	return last != nil && os.SameFile(info, last) && info.Size() == last.Size() && info.ModTime().Equal(last.ModTime())
}

// update reads the record, changes it, adds the unsaved overrides, and replaces the file. A lock file keeps other processes
// from changing the record at the same time. The caller holds mu.
func (s *Store) update(ctx context.Context, change func(*Record)) error {
	lock, err := s.lock(ctx, recordLockName)
	if err != nil {
		return err
	}
	defer lock.Close() // closing the file unlocks it
	r, err := s.load()
	if err != nil {
		return err // an unreadable file is not replaced: it may have data that must not be lost
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
	s.record, s.unsaved, s.recordRead = r, nil, true
	s.recordInfo, _ = os.Stat(s.recordPath()) // if this fails, the next refresh reads the file again
	return nil
}

// write replaces the record's file atomically. A rename without a sync is enough, because the record is only used until the
// machine reboots.
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

// load reads the record from its file. If the file is missing or unusable, load returns the record that this process last
// read or wrote. A file that can't be read is an error, because it may have data that must not be lost. The caller holds mu.
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
