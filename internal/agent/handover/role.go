package handover

import (
	"context"
	"errors"
)

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
