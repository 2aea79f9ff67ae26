package discovery

import (
	"testing"
	"time"
)

// A start time is the latest result of the clocks that is not in the future. A new start time counts as now if it is more
// than maxAge ago, and its result is later than that of the backend's previous start time.
func TestStartTimeIsTheLatestPlausibleReading(t *testing.T) {
	const now, second = 2 * time.Hour, time.Second
	wall := time.UnixMilli(1e12)
	unixMilliAgo := func(ago time.Duration) int64 { return wall.Add(-ago).UnixMilli() }
	for name, c := range map[string]struct {
		wallStep        time.Duration // step of this machine's wall clock since the agent's start
		discoveryOffset time.Duration // lead of discovery's wall clock over this machine's
		previousAge     time.Duration // age of a recorded earlier start; 0: none
		unixMilli       int64
		maxAge          time.Duration
		want            time.Duration
	}{
		"long ago":                       {unixMilli: 0, want: 0},
		"clocks agree":                   {unixMilli: unixMilliAgo(5 * second), want: now - 5*second},
		"in the future":                  {unixMilli: unixMilliAgo(-time.Hour), want: now},
		"all clocks stepped back 2 s":    {wallStep: -2 * second, unixMilli: unixMilliAgo(3 * second), want: now - 3*second},
		"own clock stepped back 2 s":     {wallStep: -2 * second, unixMilli: unixMilliAgo(5 * second), want: now - 5*second},
		"own clock stepped ahead 1 h":    {wallStep: time.Hour, unixMilli: unixMilliAgo(time.Hour + 5*second), want: now - 5*second},
		"discovery is 1 h behind":        {discoveryOffset: -time.Hour, unixMilli: unixMilliAgo(time.Hour + 5*second), want: now - 5*second},
		"old, in a first list":           {unixMilli: unixMilliAgo(time.Minute), want: now - time.Minute},
		"old, new in a later list":       {unixMilli: unixMilliAgo(time.Minute), maxAge: 10 * second, want: now},
		"later start with earlier time":  {previousAge: 3 * second, unixMilli: unixMilliAgo(5 * second), maxAge: 10 * second, want: now - 3*second + 1},
		"later start":                    {previousAge: time.Minute, unixMilli: unixMilliAgo(5 * second), maxAge: 10 * second, want: now - 5*second},
		"before the agent's clock began": {unixMilli: unixMilliAgo(3 * time.Hour), want: 0},
	} {
		readings := steppedReadings(now, wall, c.wallStep)
		s := startTimes{wallOffset: c.discoveryOffset}
		if c.previousAge > 0 {
			s.known = map[string]processStart{"b": {unixMilliAgo(c.previousAge), now - c.previousAge}}
		}
		got := s.resolve("b", c.unixMilli, func() clockReadings { return readings }, c.maxAge)
		if got != c.want {
			t.Errorf("%s: got a start %v ago, want %v", name, now-got, now-c.want)
		}
		if again := s.resolve("b", c.unixMilli, nil, c.maxAge); c.unixMilli > 0 && again != got {
			t.Errorf("%s: the unchanged start time got a start %v ago the second time, want %v as before", name, now-again, now-got)
		}
	}
}

// steppedReadings returns clocks whose wall clock has been stepped since the agent's start.
func steppedReadings(now time.Duration, wall time.Time, step time.Duration) clockReadings {
	return clockReadings{now: now, wall: wall,
		agentTime: func(at time.Time) time.Duration { return now - wall.Add(-step).Sub(at) }}
}
