package handover

// The stored record, the clocks that its times are read by, and when it is too old to use.

import (
	"errors"
	"fmt"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/bootclock"
)

// Record is the content of handover.json, by which the processes of an agent know of each other. The JSON keys are a stored
// form that other versions of the program read and write.
//
// Each time that matters is stored twice: in microseconds since the machine's boot, and in Unix milliseconds for versions
// that know the wall clock alone. The Unix time is used only where the boot time is missing, because such a version wrote
// the record.
type Record struct {
	Format         int              `json:"format"`
	Generation     int64            `json:"turn"`     // of the youngest process
	SavedUnixMs    int64            `json:"saved"`    // when the serving process last wrote
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
	maxRecordAge     = 30 * time.Second // older than this, nothing in a record is still valid
	enabledRetention = 2 * time.Minute  // how long an enabling is remembered; far longer than any backend's slow start
)

var errUnknownFormat = errors.New("unknown format")

// check returns errUnknownFormat, wrapped, if this program can't use the record.
func (r *Record) check() error {
	if r.Format != recordFormat {
		return fmt.Errorf("%w: %d", errUnknownFormat, r.Format)
	}
	return nil
}

// clockReading is one reading of both clocks that a record's times are given by.
type clockReading struct {
	boot time.Duration // since the machine's boot
	wall time.Time
}

func readClocks() clockReading { return clockReading{bootclock.SinceBoot(), bootclock.Wall()} }

// sinceBoot converts a time of a record to time since boot. The result is never later than the reading, because no time in
// a record lies in the future.
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

// stale returns the record's age, and whether it exceeds maxRecordAge, so that nothing in it is valid any more. A negative
// age means that the machine has been rebooted since, which makes the record stale too.
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

// markSaved sets when the serving process last wrote.
func (r *Record) markSaved(now clockReading) {
	r.SavedUnixMs, r.SavedBootUs = now.wall.UnixMilli(), now.boot.Microseconds()
}
