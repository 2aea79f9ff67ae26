package settings

import (
	"context"
	"log/slog"

	"martenbeam/internal/versionedfile"
)

const stateFileName = "settings.json"

// SaveFunc returns what keeps versions in a folder, synced before they are in force: an older version never comes back.
func SaveFunc(dir string) func(version int64, texts []string) error {
	return versionedfile.SaveFunc(dir, stateFileName)
}

// Load takes what was kept in a folder. What is there and can't be read is an error: the process starts without settings,
// and takes the first that come. What can be read and not be used, since the agent's own file is another now, is not in
// force, and still no lower version is taken.
func (h *Holder) Load(dir string) error {
	version, documents, err := versionedfile.Load(dir, stateFileName)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.minVersion = version
	h.mu.Unlock()
	for i, text := range documents {
		if err := h.Apply(version, text); err != nil && i == 0 { // it is logged, and told
			break // no other text may stand in its place
		}
	}
	return nil
}

// Watch takes the file in which settings are given whenever it changes, until ctx ends. One that goes away or can't be
// read changes nothing: what was given last stays in force until a higher version is given.
func (h *Holder) Watch(ctx context.Context, file string, log *slog.Logger) {
	versionedfile.Watch(ctx, file, func(text string, err error) {
		if err != nil {
			log.Error("settings: the file can't be read: what was given last stays", "error", err)
			return
		}
		if err := h.apply(file, 0, text); err != nil {
			log.Error("settings: the file is not used: what was given last stays", "error", err)
		}
	})
}
