package discovery

import (
	"testing"
	"time"
)

// The latest reading that is not in the future counts, a new start is a recent one, and a further start of a backend is
// later than the one before.
func TestStartTimeIsTheLatestPlausibleReading(t *testing.T) {
	const now, second = 2 * time.Hour, time.Second
	wall := time.UnixMilli(1e12)
	unixMilliAgo := func(ago time.Duration) int64 { return wall.Add(-ago).UnixMilli() }
	for name, c := range map[string]struct {
		wallStep        time.Duration // of this machine's wall clock since the agent's start
		discoveryOffset time.Duration // of discovery's wall clock, ahead of this machine's
		previousAge     time.Duration // a known earlier start, so long ago; 0: none
		unixMilli       int64
		maxAge          time.Duration
		want            time.Duration
	}{
		"long ago":                       {unixMilli: 0, want: 0},
		"as it reads":                    {unixMilli: unixMilliAgo(5 * second), want: now - 5*second},
		"ahead":                          {unixMilli: unixMilliAgo(-time.Hour), want: now},
		"stepped back 2 s with all":      {wallStep: -2 * second, unixMilli: unixMilliAgo(3 * second), want: now - 3*second},
		"stepped back 2 s alone":         {wallStep: -2 * second, unixMilli: unixMilliAgo(5 * second), want: now - 5*second},
		"stepped ahead an hour alone":    {wallStep: time.Hour, unixMilli: unixMilliAgo(time.Hour + 5*second), want: now - 5*second},
		"discovery is an hour behind":    {discoveryOffset: -time.Hour, unixMilli: unixMilliAgo(time.Hour + 5*second), want: now - 5*second},
		"old, in a first list":           {unixMilli: unixMilliAgo(time.Minute), want: now - time.Minute},
		"old, told anew":                 {unixMilli: unixMilliAgo(time.Minute), maxAge: 10 * second, want: now},
		"another start, set back":        {previousAge: 3 * second, unixMilli: unixMilliAgo(5 * second), maxAge: 10 * second, want: now - 3*second + 1},
		"another start":                  {previousAge: time.Minute, unixMilli: unixMilliAgo(5 * second), maxAge: 10 * second, want: now - 5*second},
		"before the agent's clock began": {unixMilli: unixMilliAgo(3 * time.Hour), want: 0},
	} {
		readings := steppedReadings(now, wall, c.wallStep)
		s := startTimes{wallOffset: c.discoveryOffset}
		if c.previousAge > 0 {
			s.known = map[string]processStart{"b": {unixMilliAgo(c.previousAge), now - c.previousAge}}
		}
		got := s.resolve("b", c.unixMilli, func() clockReadings { return readings }, c.maxAge)
		if got != c.want {
			t.Errorf("%s: %v before now, want %v", name, now-got, now-c.want)
		}
		if again := s.resolve("b", c.unixMilli, nil, c.maxAge); c.unixMilli > 0 && again != got {
			t.Errorf("%s: the same start is another a moment later", name)
		}
	}
}

// steppedReadings are clocks of which the wall clock has been stepped since the agent took its offset.
func steppedReadings(now time.Duration, wall time.Time, step time.Duration) clockReadings {
	return clockReadings{now: now, wall: wall,
		agentTime: func(at time.Time) time.Duration { return now - wall.Add(-step).Sub(at) }}
}
