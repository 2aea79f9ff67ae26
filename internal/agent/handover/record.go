package handover

// This file has the stored record, the clocks for its times, and the check for a stale record.

import (
	"errors"
	"fmt"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/bootclock"
)

// Record is the content of handover.json, which the processes of an agent share. The JSON keys are a stored form that other
// versions of the program read and write.
//
// Each time is stored twice: in microseconds since the machine's boot, and in Unix milliseconds for earlier versions, which
// use only the wall clock. The Unix time is used only if the boot time is missing because an earlier version wrote the
// record.
type Record struct {
	Format         int              `json:"format"`
	Generation     int64            `json:"turn"`     // of the newest process
	SavedUnixMs    int64            `json:"saved"`    // when the serving process last wrote the record
	DisabledUnixMs map[string]int64 `json:"detached"` // when each disabled backend was disabled, by backend id
	EnabledUnixMs  map[string]int64 `json:"attached"` // when each backend was enabled again, by backend id
	SavedBootUs    int64            `json:"saved_us,omitempty"`
	DisabledBootUs map[string]int64 `json:"detached_us,omitempty"`
	EnabledBootUs  map[string]int64 `json:"attached_us,omitempty"`
	LameDuck       bool             `json:"lame"` // whether an operator is draining the agent
	LameDuckBootUs int64            `json:"lame_us,omitempty"`

	ListSource string                  `json:"from"` // address of the discovery service that List came from
	List       *discovery.EndpointList `json:"list"`
	Snapshot   *balancer.Snapshot      `json:"legacy"`
}

const (
	recordFormat     = 1
	maxRecordAge     = 30 * time.Second // an older record is stale
	enabledRetention = 2 * time.Minute  // how long an enabling is kept; far longer than any backend's slow start
)

var errUnknownFormat = errors.New("unknown format")

// check returns an error that wraps errUnknownFormat if this program can't use the record.
func (r *Record) check() error {
	if r.Format != recordFormat {
		return fmt.Errorf("%w: %d", errUnknownFormat, r.Format)
	}
	return nil
}

// clockReading is one reading of the two clocks that a record's times refer to.
type clockReading struct {
	boot time.Duration // since the machine's boot
	wall time.Time
}

func readClocks() clockReading { return clockReading{bootclock.SinceBoot(), bootclock.Wall()} }

// sinceBoot converts a time of a record to time since boot. The result is never later than the reading, because no time in
// a record is in the future.
func (c clockReading) sinceBoot(bootUs, unixMs int64) time.Duration {
	if bootUs > 0 {
		return min(c.boot, time.Duration(bootUs)*time.Microsecond)
	}
	return c.boot - max(0, c.wall.Sub(time.UnixMilli(unixMs)))
}

// unixMs converts a time since boot to Unix milliseconds, for earlier versions of the program.
func (c clockReading) unixMs(sinceBoot time.Duration) int64 {
	return c.wall.Add(sinceBoot - c.boot).UnixMilli()
}

// stale returns the record's age, and whether the record is stale: only its generation is still valid then. A record is
// stale if its age exceeds maxRecordAge, or is negative because the machine has been rebooted since the last write.
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

// markSaved sets the time at which the serving process last wrote the record.
func (r *Record) markSaved(now clockReading) {
	r.SavedUnixMs, r.SavedBootUs = now.wall.UnixMilli(), now.boot.Microseconds()
}
