package handover

// Which processes of the agent run, and which of them is the primary one.

import (
	"context"
	"errors"
)

// Register determines this process's role among those of the agent, and has the record count it. After an error it may be
// called again; once it has succeeded it does nothing.
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

// register counts this process in a record, and discards what is stale. The lock is held.
func (s *Store) register(r *Record) {
	clocks := readClocks()
	if age, stale := r.stale(clocks); stale && s.startedAlone {
		s.log.Warn("stale handover record discarded", "age", age)
		*r = Record{Generation: r.Generation}
	}
	r.Generation++
	s.generation = r.Generation
	r.markSaved(clocks)
}

// determineRole finds out whether an older process runs. The lock is held.
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
	s.startedAlone = err == nil
	if errors.Is(err, errLocked) {
		// The successor's lock comes before its registration: the primary process takes a registered successor that holds no
		// lock for one that has ended.
		s.successorLock, err = s.lock(context.Background(), successorLockName)
	}
	s.roleKnown = err == nil
	return err
}

// StartedAlone reports whether no older process ran when this one determined its role; false until it has.
func (s *Store) StartedAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAlone
}

// Generation numbers the processes of the agent from 1; 0 until this one has registered.
func (s *Store) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// BecomePrimary makes this process the primary one if no older process runs, and reports whether it is.
func (s *Store) BecomePrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roleKnown || flock(s.primaryLock) != nil {
		return false
	}
	if s.successorLock != nil {
		_ = s.successorLock.Close() // the next successor needs it
		s.successorLock = nil
	}
	return true
}

// HasSuccessor reports whether a younger process has registered, as of the record last read or written.
func (s *Store) HasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasSuccessor()
}

// hasSuccessor is HasSuccessor for callers that hold the lock.
func (s *Store) hasSuccessor() bool { return s.registered && s.record.Generation > s.generation }

// ReclaimFromSuccessor reports whether the successor has ended while this process serves. If so, the record counts this
// process as the youngest again.
func (s *Store) ReclaimFromSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	successorLock, err := s.open(successorLockName)
	if err != nil {
		return false
	}
	defer successorLock.Close()
	if flock(successorLock) != nil {
		return false
	}
	err = s.update(context.Background(), func(r *Record) {
		r.Generation++
		s.generation = r.Generation
	})
	if err != nil {
		s.log.Warn("reclaiming handover record failed", "error", err)
	}
	return err == nil
}
