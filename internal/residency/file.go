package residency

// The state file, which outlives the process, and the operator's file at a source.

import (
	"context"
	"log/slog"
	"os"

	"martenbeam/internal/versionedfile"
)

// ReadFile reads and parses a policy's file, and returns its text too. Errors are those of the file system, or of Parse.
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
// force, so that an older version can't come back after a restart.
func SaveFunc(dir string) func(version int64, documents []string) error {
	return versionedfile.SaveFunc(dir, stateFileName)
}

// Load applies what was saved in a folder. It is called once, before anything else is applied. A state file that can't be
// read is an error, and nothing is permitted to any tenant until a policy comes.
func (h *Holder) Load(dir string) error {
	version, documents, err := versionedfile.Load(dir, stateFileName)
	if err != nil || version == 0 {
		return err
	}
	if len(documents) == 0 { // no document of the version could be used; it is in force all the same
		_ = h.Apply(version, "")
	}
	for _, document := range documents {
		_ = h.Apply(version, document) // which logs its error
	}
	return nil
}

// Watch applies the operator's file whenever it changes, and returns when ctx ends. A file that goes away, or can't be used,
// changes nothing: what is in force stays until a higher version comes.
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
