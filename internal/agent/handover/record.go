package handover

import (
	"errors"
	"fmt"
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
