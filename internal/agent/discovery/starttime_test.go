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
	unix := func(ago time.Duration) int64 { return wall.Add(-ago).UnixMilli() }
	for name, c := range map[string]struct {
		step   time.Duration // of this machine's wall clock since the agent's start
		off    time.Duration // of discovery's wall clock, ahead of this machine's
		before time.Duration // a known earlier start, so long ago; 0: none
		told   int64
		within time.Duration
		want   time.Duration
	}{
		"long ago":                       {told: 0, want: 0},
		"as it reads":                    {told: unix(5 * second), want: now - 5*second},
		"ahead":                          {told: unix(-time.Hour), want: now},
		"stepped back 2 s with all":      {step: -2 * second, told: unix(3 * second), want: now - 3*second},
		"stepped back 2 s alone":         {step: -2 * second, told: unix(5 * second), want: now - 5*second},
		"stepped ahead an hour alone":    {step: time.Hour, told: unix(time.Hour + 5*second), want: now - 5*second},
		"discovery is an hour behind":    {off: -time.Hour, told: unix(time.Hour + 5*second), want: now - 5*second},
		"old, in a first list":           {told: unix(time.Minute), want: now - time.Minute},
		"old, told anew":                 {told: unix(time.Minute), within: 10 * second, want: now},
		"another start, set back":        {before: 3 * second, told: unix(5 * second), within: 10 * second, want: now - 3*second + 1},
		"another start":                  {before: time.Minute, told: unix(5 * second), within: 10 * second, want: now - 5*second},
		"before the agent's clock began": {told: unix(3 * time.Hour), want: 0},
	} {
		readings := steppedReadings(now, wall, c.step)
		s := startTimes{wallOffset: c.off}
		if c.before > 0 {
			s.known = map[string]processStart{"b": {unix(c.before), now - c.before}}
		}
		got := s.resolve("b", c.told, func() clockReadings { return readings }, c.within)
		if got != c.want {
			t.Errorf("%s: %v before now, want %v", name, now-got, now-c.want)
		}
		if again := s.resolve("b", c.told, nil, c.within); c.told > 0 && again != got {
			t.Errorf("%s: the same start is another a moment later", name)
		}
	}
}

// steppedReadings are clocks of which the wall clock has been stepped since the agent took its offset.
func steppedReadings(now time.Duration, wall time.Time, step time.Duration) clockReadings {
	return clockReadings{now: now, wall: wall,
		agentTime: func(at time.Time) time.Duration { return now - wall.Add(-step).Sub(at) }}
}
