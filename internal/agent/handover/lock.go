package handover

// The lock files that the processes of one agent share.

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
	primaryLockName   = "owner"  // locked by the primary process, until it ends
	successorLockName = "second" // locked by a successor, until it ends or becomes the primary process
	recordLockName    = "lock"   // locked while the record is changed

	lockTimeout       = 300 * time.Millisecond // the other process only writes a small file while it holds the lock
	lockRetryInterval = 5 * time.Millisecond
)

var errLocked = errors.New("locked by another process")

func (s *Store) open(name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(s.dir, name), os.O_CREATE|os.O_RDWR, 0o600)
}

// lock opens and locks a lock file. It retries until ctx ends, and no longer than lockTimeout; the error is then an
// *fs.PathError around errLocked. Closing the file unlocks it.
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

// flock locks a file if it is free, and fails with errLocked if it is not.
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
