package settings

// The state file, which persists across restarts, and the operator's file at a source.

import (
	"context"
	"log/slog"

	"martenbeam/internal/versionedfile"
)

const stateFileName = "settings.json"

// SaveFunc returns a function for Config.Save that stores versions in a folder. They are synced to disk before they are in
// force, so that an older version can't return after a restart.
func SaveFunc(dir string) func(version int64, documents []string) error {
	return versionedfile.SaveFunc(dir, stateFileName)
}

// Load applies the settings that were saved in a folder. It must be called once, before any other settings are applied.
//
// A state file that can't be read is an error: the process starts without settings, and applies the first version that
// arrives. If the file can be read, but its settings no longer fit the agent's own file, Load logs and reports the problem and
// returns no error: the settings are not in force, and lower versions are still rejected.
func (h *Holder) Load(dir string) error {
	version, documents, err := versionedfile.Load(dir, stateFileName)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.minVersion = version
	h.mu.Unlock()
	for i, document := range documents {
		if err := h.Apply(version, document); err != nil && i == 0 {
			break // no other document may take the place of the first one
		}
	}
	return nil
}

// Watch applies the operator's file whenever it changes, and returns when ctx ends. A removed or unusable file changes
// nothing: the settings in force stay until a higher version arrives.
func (h *Holder) Watch(ctx context.Context, file string, log *slog.Logger) {
	versionedfile.Watch(ctx, file, func(text string, err error) {
		if err != nil {
			log.Error("reading settings file failed", "error", err)
			return
		}
		if err := h.apply(file, 0, text); err != nil {
			log.Error("settings file rejected", "error", err)
		}
	})
}
