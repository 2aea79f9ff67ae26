package handover

// This file implements the lock files that the processes of one agent share.

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	primaryLockName   = "owner"  // locked by the primary process until it exits
	successorLockName = "second" // locked by a successor until it exits or becomes the primary process
	recordLockName    = "lock"   // locked while a process changes the record

	lockTimeout       = 300 * time.Millisecond // the record's lock is held only while a small file is read and written
	lockRetryInterval = 5 * time.Millisecond
)

var errLocked = errors.New("locked by another process")

func (s *Store) open(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// lock opens and locks a lock file. It retries until ctx is done, for up to lockTimeout, and then returns an *fs.PathError,
// which wraps errLocked if another process still holds the lock. Closing the file unlocks it.
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
			_ = f.Close()
			return nil, &fs.PathError{Op: "lock", Path: f.Name(), Err: err}
		}
	}
}

// flock locks a file without waiting. It returns errLocked if the file is locked already.
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
