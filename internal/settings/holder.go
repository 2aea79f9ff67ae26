// Package settings holds the settings of all agents of a fleet: one text with a version, checked before it counts. Versions
// only grow, also over restarts; a text that can't be used leaves the one before in force, and says why.
package settings

import (
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
