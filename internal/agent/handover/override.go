package handover

// This file has the operators' overrides, and merges them into a record by the time at which they were issued.

import (
	"maps"
	"time"
)

// Override is an operator's command that stays in effect until the opposite command is issued.
type Override struct {
	Backend  string        // the backend's id; "": the agent itself
	Disabled bool          // true: disable the backend or drain the agent; false: enable the backend or end the draining
	IssuedAt time.Duration // since the machine's boot
}

// apply merges an override into the record, unless the record has a later override for the same backend. An override of a
// backend also removes the enablings that are older than enabledRetention. apply replaces the maps instead of changing them,
// because copies of the record share the maps.
func (r *Record) apply(override Override, now clockReading) {
	id, issuedBootUs := override.Backend, override.IssuedAt.Microseconds()
	if id == "" {
		if r.LameDuckBootUs <= issuedBootUs {
			r.LameDuck, r.LameDuckBootUs = override.Disabled, issuedBootUs
		}
		return
	}
	disabledUnixMs, disabled := r.DisabledUnixMs[id]
	switch {
	case override.Disabled && !disabled && r.enabledAt(id, now) <= override.IssuedAt:
		r.DisabledUnixMs = with(r.DisabledUnixMs, id, now.unixMs(override.IssuedAt))
		r.DisabledBootUs = with(r.DisabledBootUs, id, issuedBootUs)
		r.removeEnabled(id)
	case !override.Disabled && disabled && now.sinceBoot(r.DisabledBootUs[id], disabledUnixMs) <= override.IssuedAt:
		r.DisabledUnixMs, r.DisabledBootUs = without(r.DisabledUnixMs, id), without(r.DisabledBootUs, id)
		r.EnabledUnixMs = with(r.EnabledUnixMs, id, now.unixMs(override.IssuedAt))
		r.EnabledBootUs = with(r.EnabledBootUs, id, issuedBootUs)
	}
	for id := range r.EnabledUnixMs {
		if override.IssuedAt-r.enabledAt(id, now) > enabledRetention {
			r.removeEnabled(id)
		}
	}
}

// enabledAt returns when a backend was enabled again, as time since boot; 0 if it was not.
func (r *Record) enabledAt(id string, now clockReading) time.Duration {
	unixMs, enabled := r.EnabledUnixMs[id]
	if !enabled {
		return 0
	}
	return now.sinceBoot(r.EnabledBootUs[id], unixMs)
}

func (r *Record) removeEnabled(id string) {
	r.EnabledUnixMs, r.EnabledBootUs = without(r.EnabledUnixMs, id), without(r.EnabledBootUs, id)
}

// with returns a copy of m with a key set.
func with(m map[string]int64, key string, value int64) map[string]int64 {
	changed := map[string]int64{key: value}
	for k, v := range m {
		if k != key {
			changed[k] = v
		}
	}
	return changed
}

// without returns a copy of m without a key.
func without(m map[string]int64, key string) map[string]int64 {
	changed := maps.Clone(m)
	delete(changed, key)
	return changed
}

// newOverrides returns the overrides of backends that are in effect in the record after, but not in the record before.
func newOverrides(before, after *Record, now clockReading) (overrides []Override) {
	for id, unixMs := range after.DisabledUnixMs {
		if _, disabled := before.DisabledUnixMs[id]; !disabled {
			disabledAt := now.sinceBoot(after.DisabledBootUs[id], unixMs)
			overrides = append(overrides, Override{Backend: id, Disabled: true, IssuedAt: disabledAt})
		}
	}
	for id, unixMs := range after.EnabledUnixMs {
		_, disabled := after.DisabledUnixMs[id]
		previousUnixMs, wasEnabled := before.EnabledUnixMs[id]
		unchanged := wasEnabled && previousUnixMs == unixMs && before.EnabledBootUs[id] == after.EnabledBootUs[id]
		if !disabled && !unchanged {
			overrides = append(overrides, Override{Backend: id, IssuedAt: after.enabledAt(id, now)})
		}
	}
	return overrides
}
