package discovery

// This file converts the start times of backends' processes from wall clocks to the agent's clock.

import (
	"net/http"
	"time"

	"martenbeam/internal/bootclock"
)

// Discovery gives start times by the wall clocks of the backends' machines, and any machine's wall clock may be
// stepped. A cold backend that is treated as warm is overloaded; a warm one that is treated as cold gets little traffic
// for a while. So a start time is converted with each clock that may be right, and the latest result counts. If lists
// have kept arriving and a new start time is still far in the past, the clock behind it is wrong: the start counts as
// now.
const (
	maxAnnounceDelay = 10 * time.Second // from a start to the list that contains it; usually some seconds
	clockTolerance   = 2 * time.Second  // the HTTP Date header is in whole seconds
)

// processStart is when a backend's process started.
type processStart struct {
	unixMilli int64         // as received from discovery
	at        time.Duration // by the agent's clock
}

// startTimes holds the start times of the backends that lists have contained, by id.
type startTimes struct {
	known map[string]processStart
	// wallOffset is discovery's wall clock minus this machine's at the latest list; 0: within clockTolerance, or
	// unknown.
	wallOffset time.Duration
}

// clockReadings holds readings of this machine's clocks, all taken at the same moment.
type clockReadings struct {
	now  time.Duration // the agent's clock, which is monotonic
	wall time.Time     // the wall clock
	// agentTime converts a wall time with the offset that the two clocks had when the agent's process started.
	agentTime func(wall time.Time) time.Duration
}

// readClocks reads this machine's clocks.
func (t *Translator) readClocks() clockReadings {
	return clockReadings{t.AgentTime(time.Now()), bootclock.Wall(), t.AgentTime}
}

// resolve returns when a backend's process started, by the agent's clock; 0: long ago, or not given. unixMilli is the
// start time from discovery. maxAge bounds the age of a start time that is new for this backend; 0: no bound. A start
// time that is unchanged keeps its earlier result.
func (s *startTimes) resolve(id string, unixMilli int64, readClocks func() clockReadings, maxAge time.Duration) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	previous, known := s.known[id]
	if known && previous.unixMilli == unixMilli {
		return previous.at
	}
	c := readClocks()
	at := s.latestReading(time.UnixMilli(unixMilli), c)
	if maxAge > 0 && at < c.now-maxAge {
		at = c.now
	}
	if known {
		at = max(at, previous.at+1) // a new process, which started after the previous one
	}
	if s.known == nil {
		s.known = map[string]processStart{}
	}
	at = max(at, 0)
	s.known[id] = processStart{unixMilli, at}
	return at
}

// latestReading converts a wall time with each clock and returns the latest result that is not in the future, or now if
// all are.
func (s *startTimes) latestReading(wall time.Time, c clockReadings) time.Duration {
	readings := []time.Duration{c.agentTime(wall), c.now - c.wall.Sub(wall)}
	if s.wallOffset != 0 {
		readings = append(readings, c.now-c.wall.Add(s.wallOffset).Sub(wall))
	}
	latest, found := time.Duration(0), false
	for _, reading := range readings {
		if reading <= c.now+clockTolerance && (!found || reading > latest) {
			latest, found = reading, true
		}
	}
	if !found {
		return c.now
	}
	return min(latest, c.now)
}

// evictUnlisted bounds how many start times are kept of backends that are no longer listed. Some are kept because a
// backend may be listed again with the same process.
func (s *startTimes) evictUnlisted(listed map[string]string) {
	const spare = 100
	if len(s.known) <= 2*len(listed)+spare {
		return
	}
	for id := range s.known {
		if _, isListed := listed[id]; !isListed {
			delete(s.known, id)
		}
	}
}

// measureOffset sets wallOffset from date, the Date header of discovery's response. Without a valid date the offset is
// unchanged.
func (s *startTimes) measureOffset(date string) {
	discoveryTime, err := http.ParseTime(date)
	if err != nil {
		return
	}
	s.wallOffset = discoveryTime.Sub(bootclock.Wall())
	if s.wallOffset.Abs() <= clockTolerance {
		s.wallOffset = 0
	}
}
