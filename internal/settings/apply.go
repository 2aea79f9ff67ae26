package settings

// Bringing a version into force: check, save, then apply.

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

var (
	errOutdated        = errors.New("a higher version is in force")
	errConflictingText = errors.New(
		"another text has this version: the first one received stays in force until a higher version arrives")
)

// Apply brings a document into force, if its version is higher than the one in force. After an error the previous document
// stays in force; the error is logged and reported by Status, unless the version is outdated.
func (h *Holder) Apply(version int64, text string) error {
	return h.apply(fmt.Sprintf("settings, version %d", version), version, text)
}

// apply brings a document into force. file names it in errors. Version 0 means the version in the document.
func (h *Holder) apply(file string, version int64, text string) error {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	parsed, err := Parse(file, text)
	if err == nil && version != 0 && parsed.Version != version {
		err = fmt.Errorf("%s: version: the text has version %d", file, parsed.Version)
	}
	if err == nil {
		version = parsed.Version
	}
	if isNew, err := h.compare(version, text); !isNew {
		return err
	}
	if err == nil && h.cfg.Check != nil {
		err = h.cfg.Check(parsed)
	}
	if err != nil {
		digest := Digest(text)
		h.cfg.Log.Error("settings rejected", "version", version, "digest", digest, "error", err)
		h.update(func() { h.rejected = rejection{version, digest, err.Error(), time.Now()} })
		return err
	}
	h.bringIntoForce(version, text, parsed)
	return nil
}

// compare handles a document whose version is not higher than the one in force. For any other document isNew is true. The
// caller holds applyMu.
func (h *Holder) compare(version int64, text string) (isNew bool, err error) {
	h.mu.Lock()
	inForce, documents, minVersion := h.version, h.documents, max(h.version, h.minVersion)
	h.mu.Unlock()
	switch {
	case version != 0 && version < minVersion:
		return false, errOutdated
	case version == inForce && slices.Contains(documents, text):
		if text != documents[0] {
			return false, errConflictingText
		}
		h.update(func() { h.rejected = rejection{} }) // the source has withdrawn the higher version
		return false, nil
	case version == inForce && version != 0:
		return false, h.addConflictingText(version, text)
	}
	return true, nil
}

// addConflictingText records and saves another document of the version in force, unless maxDocuments are recorded already, and
// returns errConflictingText. All documents are saved in order, so that the first one stays in force after a restart. The
// caller holds applyMu.
func (h *Holder) addConflictingText(version int64, text string) error {
	h.cfg.Log.Error("settings version conflict", "version", version, "digest", Digest(text))
	if documents := append(slices.Clone(h.documents), text); len(documents) <= maxDocuments {
		saveFailure := h.save(version, documents)
		h.update(func() { h.documents, h.saveFailure = documents, saveFailure })
	}
	return errConflictingText
}

// bringIntoForce saves and applies a document that was checked. If saving or applying fails, the document is in force
// nevertheless. The next start applies the last version that was saved. The caller holds applyMu.
func (h *Holder) bringIntoForce(version int64, text string, parsed *Settings) {
	saveFailure, applyFailure := h.save(version, []string{text}), ""
	var pendingRestart []string
	if h.cfg.Apply != nil {
		var err error
		if pendingRestart, err = h.cfg.Apply(parsed); err != nil {
			h.cfg.Log.Error("applying settings failed", "version", version, "error", err)
			applyFailure = "not all is in force before the next start: " + err.Error()
		}
	}
	h.cfg.Log.Info("settings", "version", version, "digest", Digest(text), "later", pendingRestart)
	h.update(func() {
		h.version, h.documents, h.pendingRestart = version, []string{text}, pendingRestart
		h.saveFailure, h.applyFailure = saveFailure, applyFailure
		if h.rejected.version <= version {
			h.rejected = rejection{}
		}
	})
}

// save stores documents if Config.Save is set. It returns the reason of a failure, or "".
func (h *Holder) save(version int64, documents []string) (failure string) {
	if h.cfg.Save == nil {
		return ""
	}
	if err := h.cfg.Save(version, documents); err != nil {
		h.cfg.Log.Error("saving settings failed", "version", version, "error", err)
		return "not kept over a restart: " + err.Error()
	}
	return ""
}
