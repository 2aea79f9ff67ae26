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
	maxAnnounceDelay = 10 * time.Second // from the start of a process to the list that contains the start time; usually some seconds
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
	// wallOffset is the Date header of the response that carried the latest list, minus this machine's wall clock when
	// the list was applied; 0: within clockTolerance, or unknown.
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
// start time from discovery. An unchanged start time keeps its earlier result. A start time that is new for this
// backend counts as now if it is more than maxAge ago (maxAge 0: no bound), and its result is always later than the
// previous one.
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

// latestReading converts a wall time with each clock and returns the latest result that is not in the future. A result
// up to clockTolerance in the future counts as now. If all results are further in the future, latestReading returns
// now.
func (s *startTimes) latestReading(wall time.Time, c clockReadings) time.Duration {
	results := []time.Duration{c.agentTime(wall), c.now - c.wall.Sub(wall)}
	if s.wallOffset != 0 {
		results = append(results, c.now-c.wall.Add(s.wallOffset).Sub(wall))
	}
	latest, found := time.Duration(0), false
	for _, result := range results {
		if result <= c.now+clockTolerance && (!found || result > latest) {
			latest, found = result, true
		}
	}
	if !found {
		return c.now
	}
	return min(latest, c.now)
}

// evictUnlisted deletes the start times of backends that are no longer listed, once more than twice the number of
// listed backends plus spare are kept. Until then they are kept because a backend may be listed again with the same
// process.
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

// measureOffset sets wallOffset to date, the Date header of a stream's response, minus this machine's wall clock. If
// date is invalid, wallOffset stays unchanged.
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
