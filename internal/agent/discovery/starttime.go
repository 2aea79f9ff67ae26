package discovery

// This file converts the start times of backends' processes, given by wall clocks, to the agent's clock.

import (
	"net/http"
	"time"

	"martenbeam/internal/bootclock"
)

// Discovery gives start times by the wall clocks of the backends' machines, and any machine's wall clock may be
// stepped. A backend that is taken for warm while it is cold is overloaded; one that is taken for cold gets little
// traffic for a while. So a start time is read by each clock that may be the right one, and the latest reading counts.
// A start that is new while lists keep arriving, and reads as long past, was given by a clock that is wrong: it counts
// as now.
const (
	maxAnnounceDelay = 10 * time.Second // between a start and the list that names it; usually some seconds
	clockTolerance   = 2 * time.Second  // the HTTP Date header is in whole seconds
)

// processStart is when a backend's process started.
type processStart struct {
	unixMilli int64         // as discovery gave it
	at        time.Duration // by the agent's clock
}

// startTimes are the start times of the backends that lists have named, by id.
type startTimes struct {
	byID map[string]processStart
	// wallOffset is discovery's wall clock less this machine's, as of the latest list; 0: within clockTolerance, or
	// unknown.
	wallOffset time.Duration
}

// clockReadings are the clocks of this machine at one moment.
type clockReadings struct {
	now  time.Duration // the agent's clock, which is monotonic
	wall time.Time     // the wall clock
	// agentTime converts a wall time by the offset of the two clocks at the process's start.
	agentTime func(wall time.Time) time.Duration
}

// readClocks reads this machine's clocks.
func (t *Translator) readClocks() clockReadings {
	return clockReadings{t.AgentTime(time.Now()), bootclock.Wall(), t.AgentTime}
}

// resolve returns when a backend's process started, by the agent's clock; 0: long ago, or not given. unixMilli is the
// time that discovery gives. A start that is new has happened at most maxAge ago; 0: at any time. The same start is
// resolved once.
func (s *startTimes) resolve(id string, unixMilli int64, readClocks func() clockReadings, maxAge time.Duration) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	previous, recorded := s.byID[id]
	if recorded && previous.unixMilli == unixMilli {
		return previous.at
	}
	c := readClocks()
	at := s.latestReading(time.UnixMilli(unixMilli), c)
	if maxAge > 0 && at < c.now-maxAge {
		at = c.now
	}
	if recorded {
		at = max(at, previous.at+1) // another process, which has started after the previous one
	}
	if s.byID == nil {
		s.byID = map[string]processStart{}
	}
	at = max(at, 0)
	s.byID[id] = processStart{unixMilli, at}
	return at
}

// latestReading returns the latest reading of a wall time that is not in the future, or now if all are.
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

// evictUnlisted bounds the memory of backends that are not listed any more. Some are kept, since they may come back
// unchanged.
func (s *startTimes) evictUnlisted(listed map[string]string) {
	const spare = 100
	if len(s.byID) <= 2*len(listed)+spare {
		return
	}
	for id := range s.byID {
		if _, isListed := listed[id]; !isListed {
			delete(s.byID, id)
		}
	}
}

// measureOffset compares discovery's wall clock with this machine's, by the Date header of its response. Without one
// the offset stays as it was.
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
