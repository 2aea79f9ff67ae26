// Package handover is what two processes of one agent know of each other while the platform replaces one by the other:
// the operators' calls, the list, and what the decision module has learned. It stands in a folder that both have.
//
// The folder may fail for a while. Nothing is given up for that: what could not be written is written with the next write
// that succeeds, and what could not be read is read again.
package handover

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
)

// Store is a process's side of the record.
type Store struct {
	log *slog.Logger
	dir string

	mu            sync.Mutex
	primaryLock   *os.File
	successorLock *os.File    // nil: this process is the first, or has no place yet
	roleKnown     bool        // it is known whether an older process was there
	startedAlone  bool        // none was
	registered    bool        // the record names this process
	generation    int64       // of this process; the next one's is higher
	record        Record      // as last read or written here
	recordInfo    os.FileInfo // of that file
	recordKnown   bool        // the record was read at least once, or is known not to be there
	applied       Record      // the calls in it that hold in this process
	unsaved       []Override  // taken here, and not in the record yet
}

// New returns the store of a process in a folder. Begin has it take its place.
func New(dir string, log *slog.Logger) *Store { return &Store{log: log, dir: dir} }

// Registered reports whether the record names this process.
func (s *Store) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered
}

// Close gives up what this process holds: as its end does.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range []*os.File{s.primaryLock, s.successorLock} {
		if f != nil {
			f.Close()
		}
	}
}

// Poll reads the record if it has changed, and returns the calls that hold by it and not here yet. It reports false until
// the record could be read once.
func (s *Store) Poll() (overrides []Override, lameDuck, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	clocks := readClocks()
	merged := s.record
	for _, override := range s.unsaved { // it holds here, and is not taken back since the record lacks it
		merged.apply(override, clocks)
	}
	overrides = newOverrides(&s.applied, &merged, clocks)
	s.applied = merged
	return overrides, merged.LameDuck, s.recordKnown
}

// LastRecord is the record as last read or written here.
func (s *Store) LastRecord() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// SaveOverride records a call that holds here, before its yes. It tries until ctx ends. A call that could not be recorded by then
// holds here all the same, and is recorded with the next write that succeeds.
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

// Flush writes the calls that are not in the record yet.
func (s *Store) Flush(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsaved) == 0 {
		return nil
	}
	return s.update(ctx, func(*Record) {})
}

// SaveSnapshot records what the decision module has learned, and that this process is there. Once a younger one has started it is
// that one's to say.
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

// SaveList records the list as discovery at an address has told it by now.
func (s *Store) SaveList(source string, list *discovery.EndpointList) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.update(context.Background(), func(r *Record) {
		if s.registered && r.Generation == s.generation || r.List == nil || r.ListSource == source && r.List.Version < list.Version {
			r.ListSource, r.List = source, list
		}
	})
}
