package residency

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"martenbeam/internal/residency/gate"
)

// ConfirmedAge is how long ago the version in force was its source's latest for certain, as far as was heard; 0 at a source. It
// reports false where that was never heard.
func (h *Holder) ConfirmedAge() (age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.version == 0:
		return 0, false
	case h.isSource:
		return 0, true
	}
	return time.Since(h.confirmedAt), h.everConfirmed
}

// Holder keeps the policy that is in force at one agent, and answers for it. Its methods may be called from any task.
type Holder struct {
	zones    []string
	maxAge   time.Duration
	isSource bool // this process's operators give the policy: it is never stale
	log      *slog.Logger
	save     func(version int64, texts []string) error // on disk, before a version is in force; may be nil

	mu            sync.Mutex
	version       int64
	policies      map[string]*Policy // under the version, by digest; a nil one can't be read
	confirmedAt   time.Time          // when the version was the source's latest, as last heard
	everConfirmed bool
	stale         bool
	ruleIDs       map[subject]int // of rules, from 1; never given twice
	subjects      []subject
	lastReadable  *Policy // the last one that could be read: says who is bound while a later one can't be
	table         *gate.Table
	refusals      map[[2]string]int // refused sends, by tenant and zone
}

// NewHolder returns a holder without a policy: until one comes, nothing is permitted to anyone. source says that the
// policy is given here, by a file.
func NewHolder(zones []string, maxAge time.Duration, isSource bool, log *slog.Logger, save func(int64, []string) error) *Holder {
	h := &Holder{zones: zones, maxAge: maxAge, isSource: isSource, log: log, save: save, policies: map[string]*Policy{},
		ruleIDs: map[subject]int{}, subjects: []subject{{}}, refusals: map[[2]string]int{}}
	h.rebuildTable()
	return h
}

var errOutdated = errors.New("a higher version is in force")

// Apply takes a text of a version. A lower version than the one in force is an error; a higher one replaces it; another
// text under the same version holds beside it.
func (h *Holder) Apply(version int64, text string) error {
	p, err := Parse("policy", text)
	if err == nil && p.Version != version {
		version = max(version, p.Version)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	digest := Digest(text)
	_, known := h.policies[digest]
	switch {
	case version < h.version:
		return errOutdated
	case version == h.version && known:
		return nil
	case version > h.version:
		h.version, h.policies = version, map[string]*Policy{}
		h.confirmedAt, h.everConfirmed = time.Time{}, false
	case len(h.policies) >= maxDocuments:
		return errors.New("too many texts under one version")
	}
	if err != nil {
		h.log.Error("residency: a policy can't be read: bound tenants are refused until a higher version comes", "version", version, "error", err)
		p = nil
	} else {
		h.lastReadable = p
	}
	h.policies[digest] = p
	if len(h.policies) > 1 {
		h.log.Error("residency: several texts have one version: what all permit holds until a higher one comes", "version", version, "texts", len(h.policies))
	}
	if h.save != nil {
		if kept := h.save(version, h.readableDocuments()); kept != nil {
			h.log.Error("residency: the policy is not kept: after a restart an older version may be in force", "error", kept)
		}
	}
	h.log.Info("residency policy", "version", version, "digest", digest)
	h.rebuildTable()
	return err
}

func (h *Holder) readableDocuments() (documents []string) {
	for _, d := range slices.Sorted(maps.Keys(h.policies)) {
		if p := h.policies[d]; p != nil {
			documents = append(documents, p.text)
		}
	}
	return documents
}

// Confirm takes that a source's latest version, as it was an age ago, is this one.
func (h *Holder) Confirm(version int64, digest string, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.policies[digest]; version != h.version || !known {
		return
	}
	if at := time.Now().Add(-age); !h.everConfirmed || at.After(h.confirmedAt) {
		h.confirmedAt, h.everConfirmed = at, true
	}
	h.updateStale()
}

// updateStale finds out whether the policy has become stale, or is not any more. The lock is held.
func (h *Holder) updateStale() {
	if stale := !h.isSource && (!h.everConfirmed || time.Since(h.confirmedAt) > h.maxAge); stale != h.stale {
		h.stale = stale
		h.log.Warn("residency: the policy's age", "version", h.version, "stale", stale)
		h.rebuildTable()
	}
}

// State is what is in force, for logs and for others.
type State struct {
	Version  int64
	Digests  []string
	Stale    bool
	Refusals map[[2]string]int
}

func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{h.version, slices.Sorted(maps.Keys(h.policies)), h.stale, maps.Clone(h.refusals)}
}

// Text is the text with a digest under the version in force.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.policies[digest]
	if p == nil {
		return h.version, "", false
	}
	return h.version, p.text, true
}
