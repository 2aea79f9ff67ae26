package residency

import (
	"context"
	"log/slog"
	"os"

	"martenbeam/internal/versionedfile"
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

const stateFileName = "policy.json"

// SaveFunc returns what keeps versions in a folder, synced before they are in force: an older version never comes back.
func SaveFunc(dir string) func(version int64, texts []string) error {
	return versionedfile.SaveFunc(dir, stateFileName)
}

// Load takes what was kept in a folder. What is there and can't be read permits nothing to anyone until a policy comes.
func (h *Holder) Load(dir string) error {
	version, documents, err := versionedfile.Load(dir, stateFileName)
	if err != nil || version == 0 {
		return err
	}
	if len(documents) == 0 { // a version that could not be read, and still holds
		_ = h.Apply(version, "")
	}
	for _, text := range documents {
		_ = h.Apply(version, text) // it logs what is wrong
	}
	return nil
}

// Watch takes a policy's file whenever it changes, until ctx ends. One that goes away or can't be read changes nothing:
// what was given last holds until a higher version is given.
func (h *Holder) Watch(ctx context.Context, file string, log *slog.Logger) {
	versionedfile.Watch(ctx, file, func(text string, err error) {
		var policy *Policy
		if err == nil {
			policy, err = Parse(file, text)
		}
		if err != nil {
			log.Error("residency: the policy's file is not used: what was given last holds", "error", err)
		} else if err := h.Apply(policy.Version, text); err != nil {
			log.Error("residency: the policy's file is not used", "version", policy.Version, "error", err)
		}
	})
}
