package handover

import (
	"maps"
	"time"
)

// Override is an operators' call, which holds until it is taken back.
type Override struct {
	Backend  string        // "": the agent itself is drained, or put back to work
	Disabled bool          // detached, or drained
	IssuedAt time.Duration // since the machine's start
}

// apply takes a call into a record, unless a later one of the same backend stands there. Its maps may be in other records
// too, and are not changed.
func (r *Record) apply(override Override, now clockReading) {
	issuedBootUs := override.IssuedAt.Microseconds()
	if override.Backend == "" {
		if r.LameDuckBootUs <= issuedBootUs {
			r.LameDuck, r.LameDuckBootUs = override.Disabled, issuedBootUs
		}
		return
	}
	disabledUnixMs, disabled := r.DisabledUnixMs[override.Backend]
	switch {
	case override.Disabled && !disabled && r.enabledAt(override.Backend, now) <= override.IssuedAt:
		r.DisabledUnixMs, r.DisabledBootUs = with(r.DisabledUnixMs, override.Backend, now.unixMs(override.IssuedAt)), with(r.DisabledBootUs, override.Backend, issuedBootUs)
		r.EnabledUnixMs, r.EnabledBootUs = without(r.EnabledUnixMs, override.Backend), without(r.EnabledBootUs, override.Backend)
	case !override.Disabled && disabled && now.sinceBoot(r.DisabledBootUs[override.Backend], disabledUnixMs) <= override.IssuedAt:
		r.DisabledUnixMs, r.DisabledBootUs = without(r.DisabledUnixMs, override.Backend), without(r.DisabledBootUs, override.Backend)
		r.EnabledUnixMs, r.EnabledBootUs = with(r.EnabledUnixMs, override.Backend, now.unixMs(override.IssuedAt)), with(r.EnabledBootUs, override.Backend, issuedBootUs)
	}
	for id := range r.EnabledUnixMs {
		if override.IssuedAt-r.enabledAt(id, now) > enabledRetention {
			r.EnabledUnixMs, r.EnabledBootUs = without(r.EnabledUnixMs, id), without(r.EnabledBootUs, id)
		}
	}
}

// enabledAt is when a backend was attached again, since the machine's start; 0: it was not.
func (r *Record) enabledAt(id string, now clockReading) time.Duration {
	unixMs, enabled := r.EnabledUnixMs[id]
	if !enabled {
		return 0
	}
	return now.sinceBoot(r.EnabledBootUs[id], unixMs)
}

func with(m map[string]int64, key string, value int64) map[string]int64 {
	changed := map[string]int64{key: value}
	for k, v := range m {
		if k != key {
			changed[k] = v
		}
	}
	return changed
}

func without(m map[string]int64, key string) map[string]int64 {
	changed := maps.Clone(m)
	delete(changed, key)
	return changed
}

// newOverrides are the calls that hold by one record and not by the one before.
func newOverrides(before, after *Record, now clockReading) (overrides []Override) {
	for id, unixMs := range after.DisabledUnixMs {
		if _, disabled := before.DisabledUnixMs[id]; !disabled {
			overrides = append(overrides, Override{Backend: id, Disabled: true, IssuedAt: now.sinceBoot(after.DisabledBootUs[id], unixMs)})
		}
	}
	for id, unixMs := range after.EnabledUnixMs {
		_, disabled := after.DisabledUnixMs[id]
		previousUnixMs, wasEnabled := before.EnabledUnixMs[id]
		if !disabled && (!wasEnabled || previousUnixMs != unixMs || before.EnabledBootUs[id] != after.EnabledBootUs[id]) {
			overrides = append(overrides, Override{Backend: id, IssuedAt: after.enabledAt(id, now)})
		}
	}
	return overrides
}
