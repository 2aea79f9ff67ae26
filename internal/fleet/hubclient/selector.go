package hubclient

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"martenbeam/internal/fleet/member"
)

// Hub is one that an agent may attach to.
type Hub struct{ Zone, Region, Addr string }

// preferenceOrder is the hubs in the order in which an agent wants them: its own zone's, the others of its region, the rest. Within
// a region it is another at every agent, so that those of a dead hub spread.
func preferenceOrder(name, site, region string, hubs []Hub) []Hub {
	proximity := func(h Hub) int {
		switch {
		case h.Zone == site:
			return 0
		case h.Region == region:
			return 1
		}
		return 2
	}
	list := slices.Clone(hubs)
	slices.SortFunc(list, func(a, b Hub) int {
		return cmp.Or(cmp.Compare(proximity(a), proximity(b)), cmp.Compare(member.RendezvousScore(name, a.Zone), member.RendezvousScore(name, b.Zone)))
	})
	return list
}

const (
	initialBackoff                = 2 * time.Second // full jitter: within it the agents of a dead hub come to the others
	maxBackoff                    = 8 * time.Second
	stableAfter                   = 10 * time.Second // a stream that held so long was a working one
	maxBusyReplies                = 3                // in a row, before another hub is tried
	defaultPreferredCheckInterval = 30 * time.Second // plus or minus half
)

// hubSelector says which hub is tried next and after how long. It is told what happened, and what time it is.
type hubSelector struct {
	random                 *rand.Rand
	current                int         // the hub to try, in the agent's order
	consecutiveFailures    int         // in a row, since a stream was steady
	busyReplies            int         // in a row, at this hub
	busyUntil              []time.Time // until then each hub asked not to be tried
	preferredCheckInterval time.Duration
}

func newHubSelector(hubs int, seed uint64) *hubSelector {
	return &hubSelector{random: rand.New(rand.NewPCG(seed, 0)), busyUntil: make([]time.Time, hubs), preferredCheckInterval: defaultPreferredCheckInterval}
}

// attachFailed takes that the hub could not be attached to.
func (s *hubSelector) attachFailed(now time.Time) time.Duration {
	return s.selectFrom((s.current+1)%len(s.busyUntil), now)
}

// attachmentLost takes that the stream to a hub has ended after so long: another is next, the agent's own if it is not that one.
func (s *hubSelector) attachmentLost(hub int, attachedFor time.Duration, now time.Time) time.Duration {
	if attachedFor >= stableAfter {
		s.consecutiveFailures = 0
	}
	next := 0
	if hub == 0 {
		next = 1 % len(s.busyUntil)
	}
	return s.selectFrom(next, now)
}

// hubBusy takes that the hub is busy: it is asked again when it said, a few times.
func (s *hubSelector) hubBusy(retryAfter time.Duration, now time.Time) time.Duration {
	s.busyUntil[s.current] = now.Add(retryAfter)
	if s.busyReplies++; s.busyReplies >= maxBusyReplies || retryAfter > initialBackoff {
		return s.attachFailed(now)
	}
	return retryAfter
}

// selectFrom has a hub be tried next, or the first after it that did not ask for time, after full jitter that grows from try to
// try.
func (s *hubSelector) selectFrom(first int, now time.Time) time.Duration {
	maxWait := min(initialBackoff<<min(s.consecutiveFailures, 8), maxBackoff)
	wait := time.Duration(s.random.Int64N(int64(maxWait)))
	s.busyReplies = 0
	s.consecutiveFailures++
	earliest := first
	for i := range s.busyUntil {
		s.current = (first + i) % len(s.busyUntil)
		if s.busyUntil[s.current].Sub(now) <= wait {
			return wait
		}
		if s.busyUntil[s.current].Before(s.busyUntil[earliest]) {
			earliest = s.current
		}
	}
	s.current = earliest
	return s.busyUntil[earliest].Sub(now)
}

// nextPreferredCheck is how long an agent stays elsewhere before it looks for its own hub.
func (s *hubSelector) nextPreferredCheck() time.Duration {
	return s.preferredCheckInterval/2 + time.Duration(s.random.Int64N(int64(s.preferredCheckInterval)))
}
