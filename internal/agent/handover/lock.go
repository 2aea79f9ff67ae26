package handover

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

var errLocked = errors.New("locked by another process")

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
