package residency

// The policy in force at one process: its version, and the age of its last confirmation.

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"martenbeam/internal/residency/gate"
)

// Holder holds the policy in force at one process, and decides which zones it permits. It implements gate.Enforcer. Its
// methods may be called from any goroutine.
type Holder struct {
	zones    []string // by number
	maxAge   time.Duration
	isSource bool // operators set the policy at this process, where it is never stale
	log      *slog.Logger
	save     func(version int64, documents []string) error // nil: versions are not saved

	mu            sync.Mutex
	version       int64              // 0: no policy
	policies      map[string]*Policy // of version, by digest; nil: the document is unusable
	lastUsable    *Policy            // determines the restricted tenants while a later policy is unusable
	confirmedAt   time.Time          // when the version was the source's latest, according to the last confirmation
	everConfirmed bool
	stale         bool
	ruleIDs       map[subject]int // from 1; an id is never reused
	subjects      []subject       // by rule id
	table         *gate.Table     // replaced, never changed
	refusals      map[[2]string]int
}

// NewHolder returns a holder without a policy: until the first version arrives, no tenant is permitted any zone. zones are the
// zones' names by number. maxAge is the age of a confirmation at which the policy becomes stale. isSource means that operators
// set the policy at this process. save stores a version and its documents before they are in force; it may be nil.
func NewHolder(zones []string, maxAge time.Duration, isSource bool, log *slog.Logger, save func(int64, []string) error) *Holder {
	h := &Holder{zones: zones, maxAge: maxAge, isSource: isSource, log: log, save: save, policies: map[string]*Policy{},
		ruleIDs: map[subject]int{}, subjects: []subject{{}}, refusals: map[[2]string]int{}}
	h.rebuildTable()
	return h
}

var (
	errOutdated         = errors.New("a higher version is in force")
	errTooManyDocuments = errors.New("too many policy documents have this version")
)

// Apply brings a document into force. Its version is the higher one of version and the version in the text. A higher version
// replaces the one in force. Another document of the same version is in force as well: only zones that both permit are
// permitted. A lower version is an error. An unusable document is in force too, and Apply returns the error of Parse:
// restricted tenants are refused until a higher version arrives.
func (h *Holder) Apply(version int64, text string) error {
	policy, err := Parse("policy", text)
	if err == nil && policy.Version != version {
		version = max(version, policy.Version)
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
		return errTooManyDocuments
	}
	if err != nil {
		h.log.Error("residency policy unusable, restricted tenants refused", "version", version, "error", err)
		policy = nil
	} else {
		h.lastUsable = policy
	}
	h.policies[digest] = policy
	if len(h.policies) > 1 {
		h.log.Error("residency policy version conflict", "version", version, "texts", len(h.policies))
	}
	h.saveDocuments()
	h.log.Info("residency policy", "version", version, "digest", digest)
	h.rebuildTable()
	return err
}

// saveDocuments saves the version and its usable documents. If saving fails, they are in force nevertheless, but an older
// version may be in force after a restart. The caller holds the lock.
func (h *Holder) saveDocuments() {
	if h.save == nil {
		return
	}
	var documents []string
	for _, digest := range slices.Sorted(maps.Keys(h.policies)) {
		if policy := h.policies[digest]; policy != nil {
			documents = append(documents, policy.text)
		}
	}
	if err := h.save(h.version, documents); err != nil {
		h.log.Error("saving residency policy failed", "error", err)
	}
}

// Confirm records that a document was the latest of the source at the time now minus age. A confirmation of another version or
// of an unknown document, or one older than the last confirmation, has no effect.
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

// ConfirmedAge returns the time since the version in force was the source's latest, according to the last confirmation; 0 at a
// source. ok is false without a policy or a confirmation.
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

// updateStale compares the age of the last confirmation with maxAge, and rebuilds the table if staleness has changed. The
// caller holds the lock.
func (h *Holder) updateStale() {
	if stale := !h.isSource && (!h.everConfirmed || time.Since(h.confirmedAt) > h.maxAge); stale != h.stale {
		h.stale = stale
		h.log.Warn("residency policy staleness changed", "version", h.version, "stale", stale)
		h.rebuildTable()
	}
}

// State describes the policy in force, for logs and for other processes of the fleet.
type State struct {
	Version  int64    // 0: no policy
	Digests  []string // sorted; more than one: a conflict
	Stale    bool
	Refusals map[[2]string]int // by tenant and zone
}

// State returns a description of the policy in force, and the attempts counted by CountRefusal.
func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{h.version, slices.Sorted(maps.Keys(h.policies)), h.stale, maps.Clone(h.refusals)}
}

// Text returns the document of the version in force that has the digest. ok is false if no document has the digest, or if the
// document is unusable.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	policy := h.policies[digest]
	if policy == nil {
		return h.version, "", false
	}
	return h.version, policy.text, true
}
