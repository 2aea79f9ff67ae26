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

const keptName = "policy.json"

// Keep returns what keeps versions in a folder, synced before they are in force: an older version never comes back.
func Keep(dir string) func(version int64, texts []string) error {
	return versionedfile.Keep(dir, keptName)
}

// Load takes what was kept in a folder. What is there and can't be read permits nothing to anyone until a policy comes.
func (h *Holder) Load(dir string) error {
	version, texts, err := versionedfile.Load(dir, keptName)
	if err != nil || version == 0 {
		return err
	}
	if len(texts) == 0 { // a version that could not be read, and still holds
		_ = h.Take(version, "")
	}
	for _, text := range texts {
		_ = h.Take(version, text) // it logs what is wrong
	}
	return nil
}

// Follow takes a policy's file whenever it changes, until ctx ends. One that goes away or can't be read changes nothing:
// what was given last holds until a higher version is given.
func (h *Holder) Follow(ctx context.Context, file string, log *slog.Logger) {
	versionedfile.Follow(ctx, file, func(text string, err error) {
		var p *Policy
		if err == nil {
			p, err = Parse(file, text)
		}
		if err != nil {
			log.Error("residency: the policy's file is not used: what was given last holds", "error", err)
		} else if err := h.Take(p.Version, text); err != nil {
			log.Error("residency: the policy's file is not used", "version", p.Version, "error", err)
		}
	})
}
