// Package handover implements the hot-restart record, which the processes of one agent share while the platform replaces
// one process by another. The record has the operators' overrides, the endpoint list and the decision module's snapshot.
//
// # State and owners
//
// The record is the file handover.json in a scratch folder that both processes share; the file, not a process, owns its
// content. A change reads the file and replaces it as a whole (writes handover.json.new, then renames it) while holding a
// lock on the file "lock". Two more lock files show which processes run: "owner" is locked by the primary process, which
// serves, and "second" by a successor that has started beside it. The kernel releases the locks when a process exits, also
// after a crash.
//
// A Store is one process's view of the record. Store.mu guards its fields; all methods may be called from any goroutine. The
// agent polls the Store every 50 ms, so an override that one process accepts reaches the other within about 50 ms.
//
// The format of a record is checked when the record is read; an unusable record is logged and treated as unchanged. The age
// of a record is checked once, when a process registers and no older process runs: after 30 s without a write, or after a
// reboot, everything but its generation is discarded.
//
// Reads and writes in the folder may fail temporarily. Overrides that could not be written are added by the next write that
// succeeds, and a record that could not be read is read again.
package handover

// This file implements the Store, and how a process saves to the record and polls it.

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
)

const saveRetryInterval = 20 * time.Millisecond // between attempts to save an override

// Store is one process's view of the record.
type Store struct {
	log *slog.Logger
	dir string

	mu             sync.Mutex
	primaryLock    *os.File    // open file; locked only while this process is the primary process
	successorLock  *os.File    // open and locked file; nil: this process is primary, or has no role yet
	roleDetermined bool        // whether determineRole has succeeded
	startedAlone   bool        // no older process ran when the role was determined
	registered     bool        // Register has added this process to the record
	generation     int64       // number of this process; a successor has a higher one
	record         Record      // as last read or written by this process; its maps are never changed in place
	recordInfo     os.FileInfo // state of the file when it was last read or written
	recordRead     bool        // the record was read at least once, or its file was missing
	applied        Record      // has the overrides that Poll has returned or this process has accepted
	unsaved        []Override  // accepted by this process, and not in the record yet
}

// New returns the store of one process in the folder dir. Register determines the role of the process.
func New(dir string, log *slog.Logger) *Store { return &Store{log: log, dir: dir} }

// Close releases the locks, as the exit of the process does.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range []*os.File{s.primaryLock, s.successorLock} {
		if f != nil {
			_ = f.Close() // the kernel releases the lock even if Close fails
		}
	}
}

// Poll reads the record if it has changed. It returns the overrides of backends that this process has not applied yet, and
// whether the agent is a lame duck. ok is false until the record has been read once, or its file has been found missing.
func (s *Store) Poll() (overrides []Override, lameDuck, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	clocks := readClocks()
	merged := s.record
	for _, override := range s.unsaved { // in effect in this process, even while the record lacks them
		merged.apply(override, clocks)
	}
	overrides = newOverrides(&s.applied, &merged, clocks)
	s.applied = merged
	return overrides, merged.LameDuck, s.recordRead
}

// LastRecord returns the record as this process last read or wrote it. The caller must not change its maps.
func (s *Store) LastRecord() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// SaveOverride records an override that this process has accepted. It is called before the response to the operator. It
// retries until ctx is done, and then returns the last error. An override that could not be recorded stays in effect in this
// process, and is recorded by the next write that succeeds.
func (s *Store) SaveOverride(ctx context.Context, override Override) error {
	s.mu.Lock()
	s.unsaved = append(s.unsaved, override)
	s.applied.apply(override, readClocks())
	s.mu.Unlock()
	for {
		err := s.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(saveRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// Flush writes the overrides that are not in the record yet.
func (s *Store) Flush(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) == 0 {
		return nil
	}
	return s.update(ctx, func(*Record) {})
}

// SaveSnapshot records the decision module's snapshot and the time of the write. It does nothing before Register has
// succeeded, or once a successor has registered, because the successor writes the record from then on.
func (s *Store) SaveSnapshot(snapshot balancer.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registered || s.hasSuccessor() {
		return nil
	}
	return s.update(context.Background(), func(r *Record) {
		if r.Generation == s.generation {
			r.Snapshot = &snapshot
			r.markSaved(readClocks())
		}
	})
}

// SaveList records the endpoint list as received from the discovery service at the address source. A process that is not the
// newest one records it only if the record has no list, or an older version from the same source.
func (s *Store) SaveList(source string, list *discovery.EndpointList) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(context.Background(), func(r *Record) {
		isNewest := s.registered && r.Generation == s.generation
		if isNewest || r.List == nil || r.ListSource == source && r.List.Version < list.Version {
			r.ListSource, r.List = source, list
		}
	})
}
