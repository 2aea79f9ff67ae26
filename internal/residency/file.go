package residency

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

// ReadFile reads a policy's file, and its text.
func ReadFile(file string) (*Policy, string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", err
	}
	p, err := Parse(file, string(text))
	return p, string(text), err
}

// kept is the form on disk.
type kept struct {
	Format  int      `json:"format"`
	Version int64    `json:"version"`
	Texts   []string `json:"texts"`
}

const (
	keptFormat = 1
	keptName   = "policy.json"
)

// Keep returns what keeps versions in a folder, synced before they are in force: an older version never comes back.
func Keep(dir string) func(version int64, texts []string) error {
	return func(version int64, texts []string) error {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		data, err := json.Marshal(kept{keptFormat, version, texts})
		if err != nil {
			return err
		}
		path := filepath.Join(dir, keptName)
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

// Load takes what was kept in a folder. What is there and can't be read permits nothing to anyone until a policy comes.
func (h *Holder) Load(dir string) error {
	data, err := os.ReadFile(filepath.Join(dir, keptName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var k kept
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err == nil && (k.Format != keptFormat || k.Version < 1) {
		err = fmt.Errorf("format %d, version %d", k.Format, k.Version)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", filepath.Join(dir, keptName), err)
	}
	if len(k.Texts) == 0 { // a version that could not be read, and still holds
		_ = h.Take(k.Version, "")
	}
	for _, text := range k.Texts {
		_ = h.Take(k.Version, text) // it logs what is wrong
	}
	return nil
}

const lookEvery = 100 * time.Millisecond

// Follow takes a policy's file whenever it changes, until ctx ends. One that goes away or can't be read changes nothing:
// what was given last holds until a higher version is given.
func (h *Holder) Follow(ctx context.Context, file string, log *slog.Logger) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := ""
	for {
		if p, text, err := ReadFile(file); text != last || err != nil && text == "" && last != "" {
			last = text
			if err != nil {
				log.Error("residency: the policy's file is not used: what was given last holds", "error", err)
			} else if err := h.Take(p.Version, text); err != nil {
				log.Error("residency: the policy's file is not used", "version", p.Version, "error", err)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
