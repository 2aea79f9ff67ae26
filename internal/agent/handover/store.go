// Package handover is what two processes of one agent know of each other while the platform replaces one by the other:
// the operators' calls, the list, and what the decision module has learned. It stands in a folder that both have.
//
// The folder may fail for a while. Nothing is given up for that: what could not be written is written with the next write
// that succeeds, and what could not be read is read again.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
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

var errLocked = errors.New("locked by another process")

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

// Register takes this process's place among those of the agent, and has the record name it. It may be called again where it
// failed.
func (s *Store) Register() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered {
		return nil
	}
	if err := s.determineRole(); err != nil {
		return err
	}
	if err := s.update(context.Background(), s.register); err != nil {
		return err
	}
	s.registered = true
	return nil
}

// register has a record name this process.
func (s *Store) register(r *Record) {
	clocks := readClocks()
	if age, stale := r.stale(clocks); stale && s.startedAlone {
		s.log.Warn("what an earlier process left is not used", "age", age)
		*r = Record{Generation: r.Generation}
	}
	r.Generation++
	s.generation = r.Generation
	r.markSaved(clocks)
}

// determineRole finds out whether an older process is there. The lock is held.
func (s *Store) determineRole() error {
	if s.roleKnown {
		return nil
	}
	if s.primaryLock == nil {
		file, err := s.open(primaryLockName)
		if err != nil {
			return err
		}
		s.primaryLock = file
	}
	err := flock(s.primaryLock)
	if s.startedAlone = err == nil; errors.Is(err, errLocked) { // before the record names it: the older process takes one without a lock for gone
		s.successorLock, err = s.lock(context.Background(), successorLockName)
	}
	s.roleKnown = err == nil
	return err
}

// Registered reports whether the record names this process.
func (s *Store) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered
}

// StartedAlone reports whether no older process was there when this one took its place; false until it has.
func (s *Store) StartedAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAlone
}

// Generation numbers the processes of the agent; 0: this one has no place yet.
func (s *Store) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
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

// BecomePrimary reports whether no older process of this agent is there, and from then on is the older one.
func (s *Store) BecomePrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roleKnown || flock(s.primaryLock) != nil {
		return false
	}
	if s.successorLock != nil {
		s.successorLock.Close() // another may start beside this one
		s.successorLock = nil
	}
	return true
}

// HasSuccessor reports whether a younger process has started.
func (s *Store) HasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasSuccessor()
}

// hasSuccessor is Followed. The lock is held.
func (s *Store) hasSuccessor() bool { return s.registered && s.record.Generation > s.generation }

// ReclaimFromSuccessor reports whether the younger process has ended while this one serves. From then on this one speaks for the
// agent again, in the record too.
func (s *Store) ReclaimFromSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := s.open(successorLockName)
	if err != nil {
		return false
	}
	defer f.Close()
	if flock(f) != nil {
		return false
	}
	err = s.update(context.Background(), func(r *Record) {
		r.Generation++
		s.generation = r.Generation
	})
	if err != nil {
		s.log.Warn("the record can't be taken back", "error", err)
	}
	return err == nil
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

func (s *Store) open(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// lock takes one of the locks that the processes share, while nobody else has it for long.
func (s *Store) lock(ctx context.Context, name string) (*os.File, error) {
	f, err := s.open(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	for {
		if err = flock(f); err == nil {
			return f, nil
		}
		select {
		case <-time.After(lockRetryInterval):
		case <-ctx.Done():
			f.Close()
			return nil, &fs.PathError{Op: "lock", Path: f.Name(), Err: err}
		}
	}
}

// flock takes a file's lock if it is free, and fails with errLocked if it is not.
func flock(f *os.File) error {
	for {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EWOULDBLOCK):
			return errLocked
		default:
			return err
		}
	}
}
