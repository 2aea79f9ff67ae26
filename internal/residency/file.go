package residency

// The state file, which persists across restarts, and the operator's file at a source.

import (
	"context"
	"log/slog"
	"os"

	"martenbeam/internal/versionedfile"
)

// ReadFile reads and parses a policy file, and also returns its text. Errors are those of the file system or of Parse.
func ReadFile(file string) (*Policy, string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", err
	}
	policy, err := Parse(file, string(text))
	return policy, string(text), err
}

const stateFileName = "policy.json"

// SaveFunc returns a function for NewHolder that stores versions in a folder. They are synced to disk before they are in
// force, so that an older version can't return after a restart.
func SaveFunc(dir string) func(version int64, documents []string) error {
	return versionedfile.SaveFunc(dir, stateFileName)
}

// Load applies the policy that was saved in a folder. It must be called once, before any other policy is applied. If the state
// file can't be read, Load returns an error and no tenant is permitted any zone until a policy arrives.
func (h *Holder) Load(dir string) error {
	version, documents, err := versionedfile.Load(dir, stateFileName)
	if err != nil || version == 0 {
		return err
	}
	if len(documents) == 0 { // all documents of the version were unusable; it is in force nevertheless
		_ = h.Apply(version, "")
	}
	for _, document := range documents {
		_ = h.Apply(version, document) // Apply logs the error
	}
	return nil
}

// Watch applies the operator's file whenever it changes, and returns when ctx ends. A removed or unusable file changes
// nothing: the policy in force stays until a higher version arrives.
func (h *Holder) Watch(ctx context.Context, file string, log *slog.Logger) {
	versionedfile.Watch(ctx, file, func(text string, err error) {
		var policy *Policy
		if err == nil {
			policy, err = Parse(file, text)
		}
		if err != nil {
			log.Error("residency policy file unusable", "error", err)
		} else if err := h.Apply(policy.Version, text); err != nil {
			log.Error("residency policy file rejected", "version", policy.Version, "error", err)
		}
	})
}
