// Package settings manages the settings that operators set for all agents of a fleet: one TOML document with a version.
//
// A version is checked and saved before it is in force, and versions only grow, also across restarts. After an unusable
// document the previous one stays in force, and the reason is reported to the hubs.
//
// # State and owners
//
// The file that Watch reads belongs to the operator; it exists only at a source, which is a hub. A Holder owns the settings in
// force at one process, and the state file settings.json in its folder, if it has one. The fields of a Holder are guarded by
// Holder.mu, and after Load change only while Holder.applyMu is also held. At an agent an AgentConfig owns the running
// configuration: the agent's own file, overridden by the settings.
//
// Settings are checked on arrival: against the defaults (Parse), and at an agent against its own file (Config.Check). They
// have no age limit: the version in force stays until a higher one arrives, even if no hub can be reached.
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

// Settings is a parsed settings document.
type Settings = config.Settings

// MaxText is the maximum size of a settings document, in bytes.
const MaxText = config.MaxSettingsBytes

const (
	maxDocuments          = 8                // of one version, including the one in force
	maxReasonBytes        = 512              // of Status.Reason; the limit in a frame to a hub
	rejectedRetryInterval = 30 * time.Second // minimum time until a rejected document is fetched again
)

// Parse parses settings, and checks what can be checked without an agent's file. Errors name file, line and key.
func Parse(file, text string) (*Settings, error) { return config.ParseSettings(file, text) }

// Digest returns a hash that distinguishes documents of one version.
func Digest(text string) string { return versionedfile.Digest(text) }

// Config configures the Holder of a process. Each function may be nil. The Holder calls the functions one at a time.
type Config struct {
	// Check returns an error if the settings can't be used by this process.
	Check func(*Settings) error
	// Apply brings settings into force, and returns the keys that take effect only at the next start of the process.
	Apply func(*Settings) (pendingRestart []string, err error)
	// Save stores a version and all documents known under it, the one in force first. It is called before Apply.
	Save func(version int64, documents []string) error
	Log  *slog.Logger // nil: nothing is logged
}

// Holder holds the settings in force at one process. Its methods may be called from any goroutine.
type Holder struct {
	cfg Config

	applyMu sync.Mutex // held while a document is checked, saved and applied: one at a time

	mu             sync.Mutex
	version        int64
	documents      []string // of version; the first is in force
	minVersion     int64    // saved by the previous process, in force or not: lower versions are rejected
	pendingRestart []string // keys
	rejected       rejection
	saveFailure    string        // "": none
	applyFailure   string        // "": none
	changed        chan struct{} // closed and replaced at each change
}

// rejection describes the last rejected document, as long as its version is higher than the one in force.
type rejection struct {
	version int64
	digest  string
	reason  string
	at      time.Time // of the rejection
}

// NewHolder returns a holder without settings: the agent's own file applies until the first version arrives.
func NewHolder(cfg Config) *Holder {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Holder{cfg: cfg, changed: make(chan struct{})}
}

// update calls change with the lock held, to modify the fields that Status and State report, and notifies the callers of
// Changed.
func (h *Holder) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the result of Status or State next changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ShouldFetch reports whether to fetch a document that another process offers. A rejected document is fetched again after
// rejectedRetryInterval, because the agent's own file, against which it was checked, may have been corrected.
func (h *Holder) ShouldFetch(version int64, digest string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rejected
	rejectedRecently := version == r.version && digest == r.digest && time.Since(r.at) < rejectedRetryInterval
	if version < max(h.version, h.minVersion) || rejectedRecently {
		return false
	}
	hasDigest := func(document string) bool { return Digest(document) == digest }
	return version > h.version || len(h.documents) < maxDocuments && !slices.ContainsFunc(h.documents, hasDigest)
}

// State describes the settings in force, for other processes of the fleet. Version 0 means no settings.
type State struct {
	Version        int64
	Digests        []string // the first is in force; the others have the same version by mistake
	PendingRestart []string // keys that take effect only at the next start of the process
}

// State returns a description of the settings in force.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := State{Version: h.version, PendingRestart: slices.Clone(h.pendingRestart)}
	for _, document := range h.documents {
		state.Digests = append(state.Digests, Digest(document))
	}
	return state
}

// Status describes the settings in force in reports to the hubs. It converts to frame.AppliedVersion.
type Status struct {
	Version int64  // 0: none
	Digest  string // "": none
	Reason  string // the problem with this version or a higher one; "": none
}

// Status returns the version in force, and any problem with it or with a higher version.
func (h *Holder) Status() Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	status := Status{Version: h.version}
	var reasons []string
	if h.rejected.reason != "" {
		reasons = append(reasons, "not taken: "+h.rejected.reason)
	}
	if len(h.documents) > 1 {
		conflict := fmt.Sprintf("%d texts have version %d: the first stands until a higher version comes", len(h.documents), h.version)
		reasons = append(reasons, conflict)
	}
	for _, reason := range []string{h.saveFailure, h.applyFailure} {
		if reason != "" {
			reasons = append(reasons, reason)
		}
	}
	if len(h.documents) > 0 {
		status.Digest = Digest(h.documents[0])
	}
	status.Reason = strings.Join(reasons, "; ")
	status.Reason = strings.ToValidUTF8(status.Reason[:min(len(status.Reason), maxReasonBytes)], "") // truncation may split a character
	return status
}

// Text returns the document of the version in force that has the digest. ok is false if no document has the digest.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, document := range h.documents {
		if Digest(document) == digest {
			return h.version, document, true
		}
	}
	return h.version, "", false
}
