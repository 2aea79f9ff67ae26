package discovery

import (
	"net/http"
	"time"

	"martenbeam/internal/bootclock"
)

// Discovery gives the start times of backends by the wall clock of their machines, and any machine's wall clock may be
// stepped. A backend that is taken for warm while it is cold falls over, one that is taken for cold gets little for a while.
// So a start time is read by each clock that may be the right one, and the latest reading counts. A start that is told for the
// first time while lists are being heard, and reads as if it were long past, was given by a clock that is off: it counts as now.
const (
	maxAnnounceDelay = 10 * time.Second // discovery tells of a start at the latest; it is seconds late
	clockTolerance   = 2 * time.Second  // HTTP gives discovery's time to the second
)

// processStart is when a backend's process started.
type processStart struct {
	unixMilli int64         // as discovery told it
	at        time.Duration // by the agent's clock
}

// startTimes are the start times of the backends that lists have told of.
type startTimes struct {
	known      map[string]processStart
	wallOffset time.Duration // by which discovery's wall clock is ahead of this machine's; 0: it is not
}

// clockReadings are what start times are read by.
type clockReadings struct {
	now       time.Duration                      // of the agent's monotonic clock
	wall      time.Time                          // at that moment
	agentTime func(wall time.Time) time.Duration // a wall time, by what the two showed at the process's start
}

func (t *Translator) readClocks() clockReadings {
	return clockReadings{t.AgentTime(time.Now()), bootclock.Wall(), t.AgentTime}
}

// resolve is when a backend started by the agent's clock; 0: long ago. What a list tells anew has happened within a span; 0: that
// is not known.
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
		at = max(at, previous.at+1) // another process, which started after that one
	}
	if s.known == nil {
		s.known = map[string]processStart{}
	}
	at = max(at, 0)
	s.known[id] = processStart{unixMilli, at}
	return at
}

// latestReading is the latest of a wall time's readings that is not ahead, or now.
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

// evictUnlisted keeps the memory of backends that lists no longer name within bounds. They may come back as they were.
func (s *startTimes) evictUnlisted(listed map[string]string) {
	const spare = 100
	if len(s.known) <= 2*len(listed)+spare {
		return
	}
	for id := range s.known {
		if _, still := listed[id]; !still {
			delete(s.known, id)
		}
	}
}

// measureOffset takes what discovery's clock shows, by the head of its answer. One that gives none is trusted.
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
