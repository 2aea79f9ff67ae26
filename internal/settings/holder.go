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
const MaxText = config.MaxSettings

const (
	mostTexts    = 8   // under one version, the one in force included
	mostWhy      = 512 // bytes; what a frame takes
	refusedAgain = 30 * time.Second
)

// Parse reads settings, and checks what can be checked without an agent's file. Errors name file, line and key.
func Parse(file, text string) (*Settings, error) { return config.ParseSettings(file, text) }

// Digest tells texts apart.
func Digest(text string) string { return versionedfile.Digest(text) }

// Config says what settings mean to their holder. Each function may be nil, and is not called twice at a time.
type Config struct {
	Check func(*Settings) error                       // whether they can be used here
	Apply func(*Settings) (later []string, err error) // brings them into force; later: keys that wait for the next start
	Keep  func(version int64, texts []string) error   // on disk, before they are in force
	Log   *slog.Logger
}

// Holder keeps the settings in force at one process. Its methods may be called from any task.
type Holder struct {
	cfg Config

	taking sync.Mutex // one text at a time, with its checks and its file

	mu      sync.Mutex
	version int64
	texts   []string // under the version; the first is in force
	floor   int64    // a version kept from the process before, in force or not: no lower one is taken
	later   []string
	refused refusal
	unkept  string
	unwhole string
	changed chan struct{}
}

// refusal is a text that was not taken, and is newer than the one in force.
type refusal struct {
	version int64
	digest  string
	why     string
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
	errOld   = errors.New("a higher version is in force")
	errOther = errors.New("another text has this version: the first stands until a higher version comes")
)

// Take takes a text of a version: checked, kept, then in force. After an error the text before is in force.
func (h *Holder) Take(version int64, text string) error {
	return h.take(fmt.Sprintf("settings, version %d", version), version, text)
}

// take takes a text; version 0: the one that it says.
func (h *Holder) take(file string, version int64, text string) error {
	h.taking.Lock()
	defer h.taking.Unlock()
	s, err := Parse(file, text)
	if err == nil && version != 0 && s.Version != version {
		err = fmt.Errorf("%s: version: the text says %d", file, s.Version)
	}
	if err == nil {
		version = s.Version
	}
	h.mu.Lock()
	inForce, texts, floor := h.version, h.texts, max(h.version, h.floor)
	h.mu.Unlock()
	digest := Digest(text)
	switch {
	case version != 0 && version < floor:
		return errOld
	case version == inForce && slices.Contains(texts, text):
		if text != texts[0] {
			return errOther
		}
		h.change(func() { h.refused = refusal{} }) // whoever gave a newer one has gone back to this
		return nil
	case version == inForce && version != 0:
		return h.other(version, text)
	}
	if err == nil && h.cfg.Check != nil {
		err = h.cfg.Check(s)
	}
	if err != nil {
		h.cfg.Log.Error("settings: a text is not used: what is in force stays", "version", version, "digest", digest, "error", err)
		h.change(func() { h.refused = refusal{version, digest, err.Error(), time.Now()} })
		return err
	}
	unkept := h.keep(version, []string{text})
	var later []string
	unwhole := ""
	if h.cfg.Apply != nil {
		if later, err = h.cfg.Apply(s); err != nil { // it was checked, and is kept: the next start has it
			h.cfg.Log.Error("settings: not all of a text is in force before the next start", "version", version, "error", err)
			unwhole = "not all is in force before the next start: " + err.Error()
		}
	}
	h.cfg.Log.Info("settings", "version", version, "digest", digest, "later", later)
	h.change(func() {
		h.version, h.texts, h.later, h.unkept, h.unwhole = version, []string{text}, later, unkept, unwhole
		if h.refused.version <= version {
			h.refused = refusal{}
		}
	})
	return nil
}

// other takes note of another text under the version in force. It is kept too, so that the same one stands after a restart.
func (h *Holder) other(version int64, text string) error {
	h.cfg.Log.Error("settings: several texts have one version: the first stands until a higher one comes", "version", version, "digest", Digest(text))
	if texts := append(slices.Clone(h.texts), text); len(texts) <= mostTexts {
		unkept := h.keep(version, texts)
		h.change(func() { h.texts, h.unkept = texts, unkept })
	}
	return errOther
}

func (h *Holder) keep(version int64, texts []string) (why string) {
	if h.cfg.Keep == nil {
		return ""
	}
	if err := h.cfg.Keep(version, texts); err != nil {
		h.cfg.Log.Error("settings: they are not kept: after a restart older ones may be in force", "version", version, "error", err)
		return "not kept over a restart: " + err.Error()
	}
	return ""
}

// change changes what Standing and State tell.
func (h *Holder) change(what func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	what()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed is closed at the next change of what Standing or State tell.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Wants says whether a text that others have is worth asking for. One that was refused is, again after a while: what it
// was checked against, the agent's own file, may have been mended.
func (h *Holder) Wants(version int64, digest string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.refused; version < max(h.version, h.floor) || version == r.version && digest == r.digest && time.Since(r.at) < refusedAgain {
		return false
	}
	return version > h.version || len(h.texts) < mostTexts && !slices.ContainsFunc(h.texts, func(t string) bool { return Digest(t) == digest })
}

// State is what is in force, for others. Of the digests the first is in force; the rest have its version by mistake.
type State struct {
	Version int64
	Digests []string
	Later   []string // keys that wait for the next start
}

func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := State{Version: h.version, Later: slices.Clone(h.later)}
	for _, t := range h.texts {
		st.Digests = append(st.Digests, Digest(t))
	}
	return st
}

// Standing is what is in force, and what is wrong with it or with a newer text; "": nothing. It has the form of
// frame.Standing.
type Standing struct {
	Version int64
	Digest  string
	Why     string
}

func (h *Holder) Standing() Standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := Standing{Version: h.version}
	var whys []string
	if h.refused.why != "" {
		whys = append(whys, "not taken: "+h.refused.why)
	}
	if len(h.texts) > 1 {
		whys = append(whys, fmt.Sprintf("%d texts have version %d: the first stands until a higher version comes", len(h.texts), h.version))
	}
	for _, why := range []string{h.unkept, h.unwhole} {
		if why != "" {
			whys = append(whys, why)
		}
	}
	if len(h.texts) > 0 {
		st.Digest = Digest(h.texts[0])
	}
	st.Why = strings.Join(whys, "; ")
	st.Why = strings.ToValidUTF8(st.Why[:min(len(st.Why), mostWhy)], "") // a cut may go through a letter
	return st
}

// Text is the text with a digest under the version in force.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.texts {
		if Digest(t) == digest {
			return h.version, t, true
		}
	}
	return h.version, "", false
}
