// Package settings holds the settings of all agents of a fleet: one text with a version, checked before it counts. Versions
// only grow, also over restarts; a text that can't be used leaves the one before in force, and says why.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"martenbeam/internal/config"
	"martenbeam/internal/versionedfile"
)

// Settings are one text, as read.
type Settings = config.Settings

// MaxText bounds a text, in bytes.
const MaxText = config.MaxSettingsBytes

const (
	maxDocuments          = 8   // under one version, the one in force included
	maxReasonBytes        = 512 // bytes; what a frame takes
	rejectedRetryInterval = 30 * time.Second
)

// Parse reads settings, and checks what can be checked without an agent's file. Errors name file, line and key.
func Parse(file, text string) (*Settings, error) { return config.ParseSettings(file, text) }

// Digest tells texts apart.
func Digest(text string) string { return versionedfile.Digest(text) }

// Config says what settings mean to their holder. Each function may be nil, and is not called twice at a time.
type Config struct {
	Check func(*Settings) error                       // whether they can be used here
	Apply func(*Settings) (later []string, err error) // brings them into force; later: keys that wait for the next start
	Save  func(version int64, texts []string) error   // on disk, before they are in force
	Log   *slog.Logger
}

// Holder keeps the settings in force at one process. Its methods may be called from any task.
type Holder struct {
	cfg Config

	applyMu sync.Mutex // one text at a time, with its checks and its file

	mu             sync.Mutex
	version        int64
	documents      []string // under the version; the first is in force
	minVersion     int64    // a version kept from the process before, in force or not: no lower one is taken
	pendingRestart []string
	rejected       rejection
	saveFailure    string
	applyFailure   string
	changed        chan struct{}
}

// rejection is a text that was not taken, and is newer than the one in force.
type rejection struct {
	version int64
	digest  string
	reason  string
	at      time.Time
}

// NewHolder returns a holder without settings: every agent's own file holds.
func NewHolder(cfg Config) *Holder {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Holder{cfg: cfg, changed: make(chan struct{})}
}

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

// update changes what Standing and State tell.
func (h *Holder) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed is closed at the next change of what Standing or State tell.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ShouldFetch says whether a text that others have is worth asking for. One that was refused is, again after a while: what it
// was checked against, the agent's own file, may have been mended.
func (h *Holder) ShouldFetch(version int64, digest string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.rejected; version < max(h.version, h.minVersion) || version == r.version && digest == r.digest && time.Since(r.at) < rejectedRetryInterval {
		return false
	}
	return version > h.version || len(h.documents) < maxDocuments && !slices.ContainsFunc(h.documents, func(t string) bool { return Digest(t) == digest })
}

// State is what is in force, for others. Of the digests the first is in force; the rest have its version by mistake.
type State struct {
	Version        int64
	Digests        []string
	PendingRestart []string // keys that wait for the next start
}

func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := State{Version: h.version, PendingRestart: slices.Clone(h.pendingRestart)}
	for _, t := range h.documents {
		st.Digests = append(st.Digests, Digest(t))
	}
	return st
}

// Status is what is in force, and what is wrong with it or with a newer text; "": nothing. It has the form of
// frame.Standing.
type Status struct {
	Version int64
	Digest  string
	Reason  string
}

func (h *Holder) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := Status{Version: h.version}
	var reasons []string
	if h.rejected.reason != "" {
		reasons = append(reasons, "not taken: "+h.rejected.reason)
	}
	if len(h.documents) > 1 {
		reasons = append(reasons, fmt.Sprintf("%d texts have version %d: the first stands until a higher version comes", len(h.documents), h.version))
	}
	for _, reason := range []string{h.saveFailure, h.applyFailure} {
		if reason != "" {
			reasons = append(reasons, reason)
		}
	}
	if len(h.documents) > 0 {
		st.Digest = Digest(h.documents[0])
	}
	st.Reason = strings.Join(reasons, "; ")
	st.Reason = strings.ToValidUTF8(st.Reason[:min(len(st.Reason), maxReasonBytes)], "") // a cut may go through a letter
	return st
}

// Text is the text with a digest under the version in force.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.documents {
		if Digest(t) == digest {
			return h.version, t, true
		}
	}
	return h.version, "", false
}
