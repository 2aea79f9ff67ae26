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
	recordName = "handover.json"
	ownerName  = "owner"  // locked by the process that was there first, until it ends
	secondName = "second" // locked by a process that started beside it, until it ends or is the first
	lockName   = "lock"   // locked while the record is changed

	lockWithin = 300 * time.Millisecond // the other process writes a small file meanwhile
	lockEvery  = 5 * time.Millisecond
	retryEvery = 20 * time.Millisecond // a call that could not be recorded
)

var errLocked = errors.New("locked by another process")

// Store is a process's side of the record.
type Store struct {
	log *slog.Logger
	dir string

	mu      sync.Mutex
	owner   *os.File
	second  *os.File    // nil: this process is the first, or has no place yet
	placed  bool        // it is known whether an older process was there
	alone   bool        // none was
	begun   bool        // the record names this process
	turn    int64       // of this process; the next one's is higher
	known   Record      // as last read or written here
	seen    os.FileInfo // of that file
	read    bool        // the record was read at least once, or is known not to be there
	applied Record      // the calls in it that hold in this process
	unsaved []Call      // taken here, and not in the record yet
}

// New returns the store of a process in a folder. Begin has it take its place.
func New(dir string, log *slog.Logger) *Store { return &Store{log: log, dir: dir} }

// Begin takes this process's place among those of the agent, and has the record name it. It may be called again where it
// failed.
func (s *Store) Begin() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return nil
	}
	if err := s.place(); err != nil {
		return err
	}
	if err := s.change(context.Background(), s.begin); err != nil {
		return err
	}
	s.begun = true
	return nil
}

// begin has a record name this process.
func (s *Store) begin(r *Record) {
	clocks := readClocks()
	if age, stale := r.stale(clocks); stale && s.alone {
		s.log.Warn("what an earlier process left is not used", "age", age)
		*r = Record{Turn: r.Turn}
	}
	r.Turn++
	s.turn = r.Turn
	r.savedNow(clocks)
}

// place finds out whether an older process is there. The lock is held.
func (s *Store) place() error {
	if s.placed {
		return nil
	}
	if s.owner == nil {
		owner, err := s.open(ownerName)
		if err != nil {
			return err
		}
		s.owner = owner
	}
	err := flock(s.owner)
	if s.alone = err == nil; errors.Is(err, errLocked) { // before the record names it: the older process takes one without a lock for gone
		s.second, err = s.lock(context.Background(), secondName)
	}
	s.placed = err == nil
	return err
}

// Begun reports whether the record names this process.
func (s *Store) Begun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// Alone reports whether no older process was there when this one took its place; false until it has.
func (s *Store) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone
}

// Turn numbers the processes of the agent; 0: this one has no place yet.
func (s *Store) Turn() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turn
}

// Close gives up what this process holds: as its end does.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range []*os.File{s.owner, s.second} {
		if f != nil {
			f.Close()
		}
	}
}

// First reports whether no older process of this agent is there, and from then on is the older one.
func (s *Store) First() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.placed || flock(s.owner) != nil {
		return false
	}
	if s.second != nil {
		s.second.Close() // another may start beside this one
		s.second = nil
	}
	return true
}

// Followed reports whether a younger process has started.
func (s *Store) Followed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followed()
}

// followed is Followed. The lock is held.
func (s *Store) followed() bool { return s.begun && s.known.Turn > s.turn }

// SuccessorEnded reports whether the younger process has ended while this one serves. From then on this one speaks for the
// agent again, in the record too.
func (s *Store) SuccessorEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := s.open(secondName)
	if err != nil {
		return false
	}
	defer f.Close()
	if flock(f) != nil {
		return false
	}
	err = s.change(context.Background(), func(r *Record) {
		r.Turn++
		s.turn = r.Turn
	})
	if err != nil {
		s.log.Warn("the record can't be taken back", "error", err)
	}
	return err == nil
}

// Look reads the record if it has changed, and returns the calls that hold by it and not here yet. It reports false until
// the record could be read once.
func (s *Store) Look() (calls []Call, lame, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	clocks := readClocks()
	by := s.known
	for _, c := range s.unsaved { // it holds here, and is not taken back since the record lacks it
		by.note(c, clocks)
	}
	calls = changes(&s.applied, &by, clocks)
	s.applied = by
	return calls, by.Lame, s.read
}

// refresh takes a changed record over. The lock is held.
func (s *Store) refresh() {
	info, err := os.Stat(s.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		s.read = true
		return
	case err != nil:
		return
	case s.seen != nil && os.SameFile(info, s.seen) && info.Size() == s.seen.Size() && info.ModTime().Equal(s.seen.ModTime()):
		return
	}
	if r, err := s.load(); err == nil {
		s.seen, s.known, s.read = info, r, true
	}
}

// Known is the record as last read or written here.
func (s *Store) Known() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// Keep records a call that holds here, before its yes. It tries until ctx ends. A call that could not be recorded by then
// holds here all the same, and is recorded with the next write that succeeds.
func (s *Store) Keep(ctx context.Context, c Call) error {
	s.mu.Lock()
	s.unsaved = append(s.unsaved, c)
	s.applied.note(c, readClocks())
	s.mu.Unlock()
	for {
		err := s.Flush(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryEvery):
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
	return s.change(ctx, func(*Record) {})
}

// Save records what the decision module has learned, and that this process is there. Once a younger one has started it is
// that one's to say.
func (s *Store) Save(snapshot balancer.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun || s.followed() {
		return nil
	}
	return s.change(context.Background(), func(r *Record) {
		if r.Turn == s.turn {
			r.Snapshot = &snapshot
			r.savedNow(readClocks())
		}
	})
}

// SaveList records the list as discovery at an address has told it by now.
func (s *Store) SaveList(from string, list *discovery.EndpointList) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(context.Background(), func(r *Record) {
		if s.begun && r.Turn == s.turn || r.List == nil || r.From == from && r.List.Version < list.Version {
			r.From, r.List = from, list
		}
	})
}

// change reads the record, changes it and writes it whole, while the other process does not. What this process has not
// recorded yet goes in with it. The lock is held.
func (s *Store) change(ctx context.Context, by func(*Record)) error {
	lock, err := s.lock(ctx, lockName)
	if err != nil {
		return err
	}
	defer lock.Close() // and with it unlock
	r, err := s.load()
	if err != nil {
		return err // it may hold what must not be lost
	}
	by(&r)
	clocks := readClocks()
	for _, c := range s.unsaved {
		r.note(c, clocks)
	}
	r.Format = recordFormat
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path()+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(s.path()+".new", s.path()); err != nil {
		return err
	}
	s.known, s.unsaved, s.read = r, nil, true
	s.seen, _ = os.Stat(s.path()) // where that fails the next look reads it again
	return nil
}

// load returns the record as it stands. One that makes no sense counts as what was known before; one that can't be read
// may be there and hold what must not be lost.
func (s *Store) load() (Record, error) {
	raw, err := os.ReadFile(s.path())
	if errors.Is(err, fs.ErrNotExist) {
		return s.known, nil
	}
	if err != nil {
		return s.known, err
	}
	var r Record
	if err = json.Unmarshal(raw, &r); err == nil {
		err = r.check()
	}
	if err != nil {
		s.log.Warn("the record of an earlier process can't be used", "error", err)
		return s.known, nil
	}
	return r, nil
}

func (s *Store) path() string { return filepath.Join(s.dir, recordName) }

func (s *Store) open(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// lock takes one of the locks that the processes share, while nobody else has it for long.
func (s *Store) lock(ctx context.Context, name string) (*os.File, error) {
	f, err := s.open(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, lockWithin)
	defer cancel()
	for {
		if err = flock(f); err == nil {
			return f, nil
		}
		select {
		case <-time.After(lockEvery):
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
