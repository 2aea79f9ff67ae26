package handover

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/bootclock"
)

// Record is the content of the file by which the processes of an agent know of each other. Times that count are given
// twice: in microseconds since the machine's start, and, as versions of this program before had it, in Unix milliseconds.
// Those are used where the first are missing: a process of such a version has written the record.
type Record struct {
	Format         int                     `json:"format"`
	Generation     int64                   `json:"turn"`     // of the youngest process
	SavedUnixMs    int64                   `json:"saved"`    // when the process that serves last wrote, Unix ms
	DisabledUnixMs map[string]int64        `json:"detached"` // backends, with when they were detached, Unix ms
	EnabledUnixMs  map[string]int64        `json:"attached"` // and those attached again since
	SavedBootUs    int64                   `json:"saved_us,omitempty"`
	DisabledBootUs map[string]int64        `json:"detached_us,omitempty"`
	EnabledBootUs  map[string]int64        `json:"attached_us,omitempty"`
	LameDuck       bool                    `json:"lame"`
	LameDuckBootUs int64                   `json:"lame_us,omitempty"`
	ListSource     string                  `json:"from"` // the address of discovery, that told the list
	List           *discovery.EndpointList `json:"list"`
	Snapshot       *balancer.Snapshot      `json:"legacy"`
}

const (
	recordFormat     = 1
	maxRecordAge     = 30 * time.Second // a process not heard of for so long left nothing that still counts
	enabledRetention = 2 * time.Minute  // far longer than any backend needs to get warm
)

var errUnknownFormat = errors.New("unknown format")

// check reports why a record can't be used.
func (r *Record) check() error {
	if r.Format != recordFormat {
		return fmt.Errorf("%w: %d", errUnknownFormat, r.Format)
	}
	return nil
}

// Override is an operators' call, which holds until it is taken back.
type Override struct {
	Backend  string        // "": the agent itself is drained, or put back to work
	Disabled bool          // detached, or drained
	IssuedAt time.Duration // since the machine's start
}

// clockReading are the present readings of both clocks that a record's times are given by.
type clockReading struct {
	boot time.Duration
	wall time.Time
}

func readClocks() clockReading { return clockReading{bootclock.SinceBoot(), bootclock.Wall()} }

// sinceBoot is a time of a record, as time since the machine's start; none of the record lies ahead.
func (n clockReading) sinceBoot(bootUs, unixMs int64) time.Duration {
	if bootUs > 0 {
		return min(n.boot, time.Duration(bootUs)*time.Microsecond)
	}
	return n.boot - max(0, n.wall.Sub(time.UnixMilli(unixMs)))
}

// unixMs is a time since the machine's start as versions before had it.
func (n clockReading) unixMs(sinceBoot time.Duration) int64 {
	return n.wall.Add(sinceBoot - n.boot).UnixMilli()
}

// stale reports whether the process that wrote a record has been gone for so long that nothing of it counts. A time that
// lies ahead is another start's of the machine.
func (r *Record) stale(now clockReading) (age time.Duration, stale bool) {
	if r.Generation == 0 {
		return 0, false
	}
	if age = now.boot - time.Duration(r.SavedBootUs)*time.Microsecond; r.SavedBootUs == 0 {
		age = now.wall.Sub(time.UnixMilli(r.SavedUnixMs))
		return age, age > maxRecordAge
	}
	return age, age > maxRecordAge || age < 0
}

// markSaved says that the process that writes is there.
func (r *Record) markSaved(now clockReading) {
	r.SavedUnixMs, r.SavedBootUs = now.wall.UnixMilli(), now.boot.Microseconds()
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
