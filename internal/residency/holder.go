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
	zones  []string
	bound  time.Duration
	source bool // this process's operators give the policy: it is never stale
	log    *slog.Logger
	keep   func(version int64, texts []string) error // on disk, before a version is in force; may be nil

	mu        sync.Mutex
	version   int64
	texts     map[string]*Policy // under the version, by digest; a nil one can't be read
	confirmed time.Time          // when the version was the source's latest, as last heard
	heard     bool
	stale     bool
	ids       map[subject]int // of rules, from 1; never given twice
	subjects  []subject
	last      *Policy // the last one that could be read: says who is bound while a later one can't be
	table     *gate.Table
	counts    map[[2]string]int // refused sends, by tenant and zone
}

type subject struct{ tenant, class string }

// mostRules bounds how many tenants and classes are told apart. Beyond, a name shares one rule that permits nothing
// where anyone is bound.
const mostRules = 4096

// NewHolder returns a holder without a policy: until one comes, nothing is permitted to anyone. source says that the
// policy is given here, by a file.
func NewHolder(zones []string, bound time.Duration, source bool, log *slog.Logger, keep func(int64, []string) error) *Holder {
	h := &Holder{zones: zones, bound: bound, source: source, log: log, keep: keep, texts: map[string]*Policy{},
		ids: map[subject]int{}, subjects: []subject{{}}, counts: map[[2]string]int{}}
	h.remake()
	return h
}

var errOld = errors.New("a higher version is in force")

// Take takes a text of a version. A lower version than the one in force is an error; a higher one replaces it; another
// text under the same version holds beside it.
func (h *Holder) Take(version int64, text string) error {
	p, err := Parse("policy", text)
	if err == nil && p.Version != version {
		version = max(version, p.Version)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	digest := Digest(text)
	_, known := h.texts[digest]
	switch {
	case version < h.version:
		return errOld
	case version == h.version && known:
		return nil
	case version > h.version:
		h.version, h.texts = version, map[string]*Policy{}
		h.confirmed, h.heard = time.Time{}, false
	case len(h.texts) >= mostStands:
		return errors.New("too many texts under one version")
	}
	if err != nil {
		h.log.Error("residency: a policy can't be read: bound tenants are refused until a higher version comes", "version", version, "error", err)
		p = nil
	} else {
		h.last = p
	}
	h.texts[digest] = p
	if len(h.texts) > 1 {
		h.log.Error("residency: several texts have one version: what all permit holds until a higher one comes", "version", version, "texts", len(h.texts))
	}
	if h.keep != nil {
		if kept := h.keep(version, h.textsLocked()); kept != nil {
			h.log.Error("residency: the policy is not kept: after a restart an older version may be in force", "error", kept)
		}
	}
	h.log.Info("residency policy", "version", version, "digest", digest)
	h.remake()
	return err
}

func (h *Holder) textsLocked() (list []string) {
	for _, d := range slices.Sorted(maps.Keys(h.texts)) {
		if p := h.texts[d]; p != nil {
			list = append(list, p.text)
		}
	}
	return list
}

// Confirm takes that a source's latest version, as it was an age ago, is this one.
func (h *Holder) Confirm(version int64, digest string, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.texts[digest]; version != h.version || !known {
		return
	}
	if at := time.Now().Add(-age); !h.heard || at.After(h.confirmed) {
		h.confirmed, h.heard = at, true
	}
	h.refresh()
}

// refresh finds out whether the policy has become stale, or is not any more. The lock is held.
func (h *Holder) refresh() {
	if stale := !h.source && (!h.heard || time.Since(h.confirmed) > h.bound); stale != h.stale {
		h.stale = stale
		h.log.Warn("residency: the policy's age", "version", h.version, "stale", stale)
		h.remake()
	}
}

// remake makes the table anew. The lock is held.
func (h *Holder) remake() {
	t := &gate.Table{Gen: 1}
	if h.table != nil {
		t.Gen = h.table.Gen + 1
	}
	for i, s := range h.subjects {
		if i == 0 {
			t.Rules, t.Bound = append(t.Rules, nil), append(t.Bound, false)
			continue
		}
		zones, bound := h.rule(s)
		t.Rules, t.Bound = append(t.Rules, zones), append(t.Bound, bound)
	}
	h.table = t
}

// rule is what a subject is permitted now: by every text that has the version. The lock is held.
func (h *Holder) rule(s subject) (zones []bool, bound bool) {
	nothing := make([]bool, len(h.zones))
	if len(h.texts) == 0 {
		return nothing, true
	}
	for _, p := range h.texts {
		if p == nil { // who was bound stays bound, and nobody knows to what
			if h.last == nil || h.last.permits(h.last.rule(s.tenant, s.class), h.zones) != nil {
				return nothing, true
			}
			continue
		}
		r := p.rule(s.tenant, s.class)
		allowed := p.permits(r, h.zones)
		if allowed == nil {
			continue
		}
		if h.stale && r.WhenStale == refuseStale {
			return nothing, true
		}
		if !bound {
			zones, bound = allowed, true
			continue
		}
		for i := range zones {
			zones[i] = zones[i] && allowed[i]
		}
	}
	return zones, bound
}

// Rule is the number of the rule for a tenant's requests of a class. What it permits may change; the number does not.
func (h *Holder) Rule(tenant, class string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := subject{tenant, class}
	if id, known := h.ids[s]; known {
		return id
	}
	if len(h.subjects) >= mostRules {
		return mostRules // in no table: not permitted
	}
	id := len(h.subjects)
	h.ids[s], h.subjects = id, append(h.subjects, s)
	h.remake()
	return id
}

// Table is what is in force now.
func (h *Holder) Table() *gate.Table {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refresh()
	return h.table
}

// Refused counts a send that the check in front of the network refused. The module should have: it is told as an error.
func (h *Holder) Refused(rule int, zone int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tenant, name := "", "unknown"
	if rule > 0 && rule < len(h.subjects) {
		tenant = h.subjects[rule].tenant
	}
	if zone >= 0 && zone < len(h.zones) {
		name = h.zones[zone]
	}
	h.counts[[2]string{tenant, name}]++
	h.log.Error("residency: an attempt was refused before its first byte", "tenant", tenant, "zone", name, "version", h.version)
}

// State is what is in force, for logs and for others.
type State struct {
	Version int64
	Digests []string
	Stale   bool
	Refused map[[2]string]int
}

func (h *Holder) State() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{h.version, slices.Sorted(maps.Keys(h.texts)), h.stale, maps.Clone(h.counts)}
}

// Text is the text with a digest under the version in force.
func (h *Holder) Text(digest string) (version int64, text string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.texts[digest]
	if p == nil {
		return h.version, "", false
	}
	return h.version, p.text, true
}
