// Package handover is the hot-restart record: what two processes of one agent tell each other while the platform replaces
// one by the other. The record holds the operators' overrides, the endpoint list and the decision module's snapshot.
//
// # State and owners
//
// The record is the file handover.json in a scratch folder that both processes share; the file, not a process, owns its
// content. It is read and rewritten as one file (to handover.json.new, then renamed) while holding a lock on the file
// "lock". Two more lock files say which processes run: "owner" is locked by the primary process, which serves, and "second"
// by a successor that has started beside it. The kernel releases the locks when a process ends, however it ends.
//
// A Store is one process's view of the record. Its fields belong to Store.mu; all of its methods may be called from any
// goroutine. The agent polls it every 50 ms, so an override taken by one process reaches the other within about that time.
//
// A record is checked for its format when it is read; an unusable one is logged and treated as if it had not changed. How
// old a record may be is checked once, when a process registers and no older one runs: after 30 s without a write, or after
// a reboot, everything but its generation is discarded.
//
// The folder may fail for a while. Nothing is given up for that: what could not be written goes in with the next write that
// succeeds, and what could not be read is read again.
package handover

// The Store, and what a process saves to the record and learns from it.

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

	mu            sync.Mutex
	primaryLock   *os.File    // the open file; locked only while this process is the primary
	successorLock *os.File    // locked; nil: this process is the primary, or has no role yet
	roleKnown     bool        // whether determineRole has succeeded
	startedAlone  bool        // no older process was there when the role was determined
	registered    bool        // the record counts this process
	generation    int64       // of this process; a successor's is higher
	record        Record      // as last read or written by this process; its maps are never changed in place
	recordInfo    os.FileInfo // of the file when it was last read or written
	recordKnown   bool        // the record was read at least once, or is known to be missing
	applied       Record      // the overrides that Poll has returned, or that this process took
	unsaved       []Override  // taken by this process, and not in the record yet
}

// New returns the store of one process in a folder. Register gives the process its role.
func New(dir string, log *slog.Logger) *Store { return &Store{log: log, dir: dir} }

// Close releases the locks, as the end of the process does.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range []*os.File{s.primaryLock, s.successorLock} {
		if f != nil {
			_ = f.Close() // the kernel releases the lock whatever it returns
		}
	}
}

// Poll reads the record if it has changed, and returns the overrides of backends that this process has not applied yet,
// and whether the agent is drained. ok is false until the record could be read once.
func (s *Store) Poll() (overrides []Override, lameDuck, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	clocks := readClocks()
	merged := s.record
	for _, override := range s.unsaved { // they hold here: that the record lacks them does not take them back
		merged.apply(override, clocks)
	}
	overrides = newOverrides(&s.applied, &merged, clocks)
	s.applied = merged
	return overrides, merged.LameDuck, s.recordKnown
}

// LastRecord returns the record as this process last read or wrote it. The caller must not change its maps.
func (s *Store) LastRecord() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// SaveOverride records an override that this process has taken, before the operator gets an answer. It retries until ctx
// ends, and then returns the last error. An override that could not be recorded holds in this process all the same, and is
// recorded with the next write that succeeds.
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

// SaveSnapshot records the decision module's snapshot, and that this process is running. It does nothing before Register
// has succeeded, or once a successor has registered: the record is the successor's from then on.
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

// SaveList records the endpoint list as received from the discovery service at the address source. A process that is not
// the youngest one replaces nothing but an older version from the same source.
func (s *Store) SaveList(source string, list *discovery.EndpointList) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(context.Background(), func(r *Record) {
		isYoungest := s.registered && r.Generation == s.generation
		if isYoungest || r.List == nil || r.ListSource == source && r.List.Version < list.Version {
			r.ListSource, r.List = source, list
		}
	})
}
