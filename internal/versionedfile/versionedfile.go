// Package versionedfile stores versioned documents on disk, and watches the file in which an operator provides one.
//
// A document is a text with a version: the settings of a fleet, or its residency policy. Versions only grow. Several
// documents may have the same version by mistake, so a stored state consists of one version and all of its documents.
//
// # State and owners
//
// The package has no state in memory. A state file belongs to the one process that is configured with its folder; it is not
// locked. Load checks the format and the version; the caller parses the documents. A state file has no age limit. A watched
// file belongs to the operator; Watch reads it every 100 ms and never writes it.
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

// Digest returns a short non-cryptographic hash, in hexadecimal, that distinguishes documents of one version.
func Digest(text string) string { return strconv.FormatUint(xxhash.Sum64String(text), 16) }

// storedState is the form on disk.
type storedState struct {
	Format    int      `json:"format"`
	Version   int64    `json:"version"`
	Documents []string `json:"texts"`
}

const storedFormat = 1

// SaveFunc returns a function that saves a version and its documents to the file name in the folder dir, which it creates if
// needed. When the function returns without an error, the state is synced to disk; after a crash the file contains either
// the new state or the previous one, never a part. Errors are those of the file system, with the operation and the path. The
// function must not be called concurrently.
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
		return syncDir(dir)
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

// syncDir makes a rename in a folder durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Load reads the state that a function from SaveFunc has saved. Version 0 without an error means that no state is saved. If
// the file can't be read or decoded, the error names the file.
func Load(dir, name string) (version int64, documents []string, err error) {
	path := filepath.Join(dir, name)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	var stored storedState
	if err == nil {
		err = json.Unmarshal(data, &stored)
	}
	if err == nil && (stored.Format != storedFormat || stored.Version < 1) {
		err = fmt.Errorf("format %d and version %d: the format must be 1 and the version above 0", stored.Format, stored.Version)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%s: %w", path, err)
	}
	return stored.Version, stored.Documents, nil
}

const pollInterval = 100 * time.Millisecond

// Watch polls a file until ctx ends. It calls onChange with the first text that is not empty, and whenever the text changes.
// When the file is removed or becomes unreadable, onChange is called once with an empty text and the error. A file that is
// missing, unreadable or empty from the start is not reported. onChange runs in the goroutine of Watch.
func Watch(ctx context.Context, file string, onChange func(text string, err error)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := ""
	for {
		if data, err := os.ReadFile(file); string(data) != last {
			last = string(data)
			onChange(last, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
