// Package versionedfile keeps texts that have versions over restarts, and follows the file in which they are given.
package versionedfile

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Digest tells texts apart.
func Digest(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }

// storedState is the form on disk.
type storedState struct {
	Format    int      `json:"format"`
	Version   int64    `json:"version"`
	Documents []string `json:"texts"`
}

const storedFormat = 1

// SaveFunc returns what keeps versions under a name in a folder, synced when it returns: after a crash either the last
// version or the one before is there, whole.
func SaveFunc(dir, name string) func(version int64, documents []string) error {
	return func(version int64, documents []string) error {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		data, err := json.Marshal(storedState{storedFormat, version, documents})
		if err != nil {
			return err
		}
		path := filepath.Join(dir, name)
		if err := writeSynced(path+".new", data); err != nil {
			return err
		}
		if err := os.Rename(path+".new", path); err != nil {
			return err
		}
		d, err := os.Open(dir)
		if err != nil {
			return err
		}
		defer d.Close()
		return d.Sync()
	}
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}

// Load reads what Keep kept; version 0: nothing was.
func Load(dir, name string) (version int64, documents []string, err error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	var stored storedState
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err == nil && (stored.Format != storedFormat || stored.Version < 1) {
		err = fmt.Errorf("format %d, version %d", stored.Format, stored.Version)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", filepath.Join(dir, name), err)
	}
	return stored.Version, stored.Documents, nil
}

const pollInterval = 100 * time.Millisecond

// Watch tells of a file's text at once and whenever it changes, until ctx ends. A file that goes away, or can't be read,
// is told once, as an error; one that was never there is not.
func Watch(ctx context.Context, file string, onChange func(text string, err error)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	last := ""
	for {
		if data, err := os.ReadFile(file); string(data) != last {
			last = string(data)
			onChange(last, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
