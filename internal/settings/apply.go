package settings

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

var (
	errOutdated        = errors.New("a higher version is in force")
	errConflictingText = errors.New("another text has this version: the first stands until a higher version comes")
)

// Apply takes a text of a version: checked, kept, then in force. After an error the text before is in force.
func (h *Holder) Apply(version int64, text string) error {
	return h.apply(fmt.Sprintf("settings, version %d", version), version, text)
}

// apply takes a text; version 0: the one that it says.
func (h *Holder) apply(file string, version int64, text string) error {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	parsed, err := Parse(file, text)
	if err == nil && version != 0 && parsed.Version != version {
		err = fmt.Errorf("%s: version: the text says %d", file, parsed.Version)
	}
	if err == nil {
		version = parsed.Version
	}
	h.mu.Lock()
	inForce, documents, minVersion := h.version, h.documents, max(h.version, h.minVersion)
	h.mu.Unlock()
	digest := Digest(text)
	switch {
	case version != 0 && version < minVersion:
		return errOutdated
	case version == inForce && slices.Contains(documents, text):
		if text != documents[0] {
			return errConflictingText
		}
		h.update(func() { h.rejected = rejection{} }) // whoever gave a newer one has gone back to this
		return nil
	case version == inForce && version != 0:
		return h.addConflictingText(version, text)
	}
	if err == nil && h.cfg.Check != nil {
		err = h.cfg.Check(parsed)
	}
	if err != nil {
		h.cfg.Log.Error("settings: a text is not used: what is in force stays", "version", version, "digest", digest, "error", err)
		h.update(func() { h.rejected = rejection{version, digest, err.Error(), time.Now()} })
		return err
	}
	saveFailure := h.save(version, []string{text})
	var pendingRestart []string
	applyFailure := ""
	if h.cfg.Apply != nil {
		if pendingRestart, err = h.cfg.Apply(parsed); err != nil { // it was checked, and is kept: the next start has it
			h.cfg.Log.Error("settings: not all of a text is in force before the next start", "version", version, "error", err)
			applyFailure = "not all is in force before the next start: " + err.Error()
		}
	}
	h.cfg.Log.Info("settings", "version", version, "digest", digest, "later", pendingRestart)
	h.update(func() {
		h.version, h.documents, h.pendingRestart, h.saveFailure, h.applyFailure = version, []string{text}, pendingRestart, saveFailure, applyFailure
		if h.rejected.version <= version {
			h.rejected = rejection{}
		}
	})
	return nil
}

// addConflictingText takes note of another text under the version in force. It is kept too, so that the same one stands after a restart.
func (h *Holder) addConflictingText(version int64, text string) error {
	h.cfg.Log.Error("settings: several texts have one version: the first stands until a higher one comes", "version", version, "digest", Digest(text))
	if documents := append(slices.Clone(h.documents), text); len(documents) <= maxDocuments {
		saveFailure := h.save(version, documents)
		h.update(func() { h.documents, h.saveFailure = documents, saveFailure })
	}
	return errConflictingText
}

func (h *Holder) save(version int64, texts []string) (failure string) {
	if h.cfg.Save == nil {
		return ""
	}
	if err := h.cfg.Save(version, texts); err != nil {
		h.cfg.Log.Error("settings: they are not kept: after a restart older ones may be in force", "version", version, "error", err)
		return "not kept over a restart: " + err.Error()
	}
	return ""
}
