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

type subject struct{ tenant, class string }

// maxRules bounds how many tenants and classes are told apart. Beyond, a name shares one rule that permits nothing
// where anyone is bound.
const maxRules = 4096

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

// rebuildTable makes the table anew. The lock is held.
func (h *Holder) rebuildTable() {
	table := &gate.Table{Generation: 1}
	if h.table != nil {
		table.Generation = h.table.Generation + 1
	}
	for i, s := range h.subjects {
		if i == 0 {
			table.Permitted, table.Restricted = append(table.Permitted, nil), append(table.Restricted, false)
			continue
		}
		zones, bound := h.permittedZones(s)
		table.Permitted, table.Restricted = append(table.Permitted, zones), append(table.Restricted, bound)
	}
	h.table = table
}

// permittedZones is what a subject is permitted now: by every text that has the version. The lock is held.
func (h *Holder) permittedZones(s subject) (zones []bool, restricted bool) {
	none := make([]bool, len(h.zones))
	if len(h.policies) == 0 {
		return none, true
	}
	for _, p := range h.policies {
		if p == nil { // who was bound stays bound, and nobody knows to what
			if h.lastReadable == nil || h.lastReadable.permittedZones(h.lastReadable.ruleFor(s.tenant, s.class), h.zones) != nil {
				return none, true
			}
			continue
		}
		r := p.ruleFor(s.tenant, s.class)
		allowed := p.permittedZones(r, h.zones)
		if allowed == nil {
			continue
		}
		if h.stale && r.WhenStale == refuseWhenStale {
			return none, true
		}
		if !restricted {
			zones, restricted = allowed, true
			continue
		}
		for i := range zones {
			zones[i] = zones[i] && allowed[i]
		}
	}
	return zones, restricted
}

// RuleID is the number of the rule for a tenant's requests of a class. What it permits may change; the number does not.
func (h *Holder) RuleID(tenant, class string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := subject{tenant, class}
	if id, known := h.ruleIDs[s]; known {
		return id
	}
	if len(h.subjects) >= maxRules {
		return maxRules // in no table: not permitted
	}
	id := len(h.subjects)
	h.ruleIDs[s], h.subjects = id, append(h.subjects, s)
	h.rebuildTable()
	return id
}

// Table is what is in force now.
func (h *Holder) Table() *gate.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateStale()
	return h.table
}

// CountRefusal counts a send that the check in front of the network refused. The module should have: it is told as an error.
func (h *Holder) CountRefusal(rule int, zone int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tenant, name := "", "unknown"
	if rule > 0 && rule < len(h.subjects) {
		tenant = h.subjects[rule].tenant
	}
	if zone >= 0 && zone < len(h.zones) {
		name = h.zones[zone]
	}
	h.refusals[[2]string{tenant, name}]++
	h.log.Error("residency: an attempt was refused before its first byte", "tenant", tenant, "zone", name, "version", h.version)
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
