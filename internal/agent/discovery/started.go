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
	noticedWithin = 10 * time.Second // discovery tells of a start at the latest; it is seconds late
	clocksAgree   = 2 * time.Second  // HTTP gives discovery's time to the second
)

// start is when a backend's process started.
type start struct {
	unixMilli int64         // as discovery told it
	at        time.Duration // by the agent's clock
}

// startTimes are the start times of the backends that lists have told of.
type startTimes struct {
	known map[string]start
	off   time.Duration // by which discovery's wall clock is ahead of this machine's; 0: it is not
}

// clocks are what start times are read by.
type clocks struct {
	now    time.Duration                      // of the agent's monotonic clock
	wall   time.Time                          // at that moment
	wallAt func(wall time.Time) time.Duration // a wall time, by what the two showed at the process's start
}

func (t *Translator) clocks() clocks { return clocks{t.At(time.Now()), bootclock.Wall(), t.At} }

// at is when a backend started by the agent's clock; 0: long ago. What a list tells anew has happened within a span; 0: that
// is not known.
func (s *startTimes) at(id string, unixMilli int64, read func() clocks, within time.Duration) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	before, met := s.known[id]
	if met && before.unixMilli == unixMilli {
		return before.at
	}
	c := read()
	at := s.read(time.UnixMilli(unixMilli), c)
	if within > 0 && at < c.now-within {
		at = c.now
	}
	if met {
		at = max(at, before.at+1) // another process, which started after that one
	}
	if s.known == nil {
		s.known = map[string]start{}
	}
	at = max(at, 0)
	s.known[id] = start{unixMilli, at}
	return at
}

// read is the latest of a wall time's readings that is not ahead, or now.
func (s *startTimes) read(wall time.Time, c clocks) time.Duration {
	readings := []time.Duration{c.wallAt(wall), c.now - c.wall.Sub(wall)}
	if s.off != 0 {
		readings = append(readings, c.now-c.wall.Add(s.off).Sub(wall))
	}
	latest, found := time.Duration(0), false
	for _, reading := range readings {
		if reading <= c.now+clocksAgree && (!found || reading > latest) {
			latest, found = reading, true
		}
	}
	if !found {
		return c.now
	}
	return min(latest, c.now)
}

// forget keeps the memory of backends that lists no longer name within bounds. They may come back as they were.
func (s *startTimes) forget(listed map[string]string) {
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

// compare takes what discovery's clock shows, by the head of its answer. One that gives none is trusted.
func (s *startTimes) compare(date string) {
	theirs, err := http.ParseTime(date)
	if err != nil {
		return
	}
	if s.off = theirs.Sub(bootclock.Wall()); s.off.Abs() <= clocksAgree {
		s.off = 0
	}
}
