package handover

// This file determines which processes of the agent run, and which of them is the primary process.

import (
	"context"
	"errors"
)

// Register determines this process's role among the agent's processes, and adds the process to the record. After an error
// it may be called again; after it has succeeded, further calls do nothing.
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

// register gives this process the record's next generation, and discards a stale record. The caller holds mu.
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

// determineRole locks the file of the primary process, or, if an older process holds that lock, the file of the successor.
// It records whether an older process runs. The caller holds mu.
func (s *Store) determineRole() error {
	if s.roleDetermined {
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
		// A successor locks the file before it registers, because the primary process treats a registered successor without a
		// lock as one that has exited.
		s.successorLock, err = s.lock(context.Background(), successorLockName)
	}
	s.roleDetermined = err == nil
	return err
}

// StartedAlone reports whether no older process ran when this one determined its role; false until the role is determined.
func (s *Store) StartedAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAlone
}

// Generation returns the number of this process among the agent's processes, in the order of registration from 1; 0 until
// this process has registered.
func (s *Store) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// BecomePrimary makes this process the primary process if no older process runs. It reports whether this process is primary.
func (s *Store) BecomePrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roleDetermined || flock(s.primaryLock) != nil {
		return false
	}
	if s.successorLock != nil {
		_ = s.successorLock.Close() // unlocks the file for the next successor
		s.successorLock = nil
	}
	return true
}

// HasSuccessor reports whether a newer process has registered, according to the record as this process last read or wrote
// it.
func (s *Store) HasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasSuccessor()
}

// hasSuccessor is HasSuccessor for callers that hold mu.
func (s *Store) hasSuccessor() bool { return s.registered && s.record.Generation > s.generation }

// ReclaimFromSuccessor checks whether the successor has exited while this process serves. If so, it makes this process the
// newest one in the record again. It returns false while the successor runs, and if the record can't be written.
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
