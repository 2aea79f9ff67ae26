// Which hub is tried next, and when.

package hubclient

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"martenbeam/internal/fleet/member"
)

// Hub is a hub that an agent may attach to: its zone, the zone's region, and its address as IP:port.
type Hub struct{ Zone, Region, Addr string }

// preferredHub is the index of an agent's preferred hub in its order of preference.
const preferredHub = 0

// preferenceOrder returns the hubs in an agent's order of preference: the hub of its own zone, the others of its
// region, the rest. Within each group the order differs from agent to agent, so that the agents of a dead hub spread
// over the others.
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
		return cmp.Or(cmp.Compare(proximity(a), proximity(b)),
			cmp.Compare(member.RendezvousScore(name, a.Zone), member.RendezvousScore(name, b.Zone)))
	})
	return list
}

const (
	initialBackoff                = 2 * time.Second // with full jitter: the agents of a dead hub reach the others spread over it
	maxBackoff                    = 8 * time.Second
	stableAfter                   = 10 * time.Second // an attachment that lasted so long resets the backoff
	maxBusyReplies                = 3                // consecutive ones from a hub, before another is tried
	defaultPreferredCheckInterval = 30 * time.Second // plus or minus half at random
)

// hubSelector decides which hub is tried next and after what wait, from the outcomes of earlier attempts and the
// current time. It has no lock: maintainAttachment owns it.
type hubSelector struct {
	random                 *rand.Rand
	current                int           // index of the hub to try, in order of preference
	consecutiveFailures    int           // failed attempts and lost attachments since one was stable
	busyReplies            int           // consecutive ones from the current hub
	busyUntil              []time.Time   // by hub: it asked not to be tried before
	preferredCheckInterval time.Duration // mean time between attempts to return to the preferred hub
}

func newHubSelector(hubs int, seed uint64) *hubSelector {
	return &hubSelector{random: rand.New(rand.NewPCG(seed, 0)), busyUntil: make([]time.Time, hubs),
		preferredCheckInterval: defaultPreferredCheckInterval}
}

// attachFailed records that an attempt at the current hub failed, and returns the wait before the next attempt.
func (s *hubSelector) attachFailed(now time.Time) time.Duration {
	return s.selectFrom((s.current+1)%len(s.busyUntil), now)
}

// attachmentLost records that the attachment to a hub ended after attachedFor, and returns the wait before the next
// attempt. Next is the preferred hub, or, if that is the one that was lost, the second.
func (s *hubSelector) attachmentLost(hub int, attachedFor time.Duration, now time.Time) time.Duration {
	if attachedFor >= stableAfter {
		s.consecutiveFailures = 0
	}
	next := preferredHub
	if hub == preferredHub {
		next = 1 % len(s.busyUntil) // the second, if there is one
	}
	return s.selectFrom(next, now)
}

// hubBusy records that the current hub asked to be tried again after retryAfter, and returns the wait before the next
// attempt: at the same hub for a few times and short waits, otherwise at another.
func (s *hubSelector) hubBusy(retryAfter time.Duration, now time.Time) time.Duration {
	s.busyUntil[s.current] = now.Add(retryAfter)
	if s.busyReplies++; s.busyReplies >= maxBusyReplies || retryAfter > initialBackoff {
		return s.attachFailed(now)
	}
	return retryAfter
}

// selectFrom selects hub first, or the next one after it that may be tried by then, and returns the wait: full jitter
// within a backoff that doubles from attempt to attempt. If every hub asked for more time, it selects the one that
// may be tried first.
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

// nextPreferredCheck returns how long an agent stays at another hub before it tries the preferred one.
func (s *hubSelector) nextPreferredCheck() time.Duration {
	return s.preferredCheckInterval/2 + time.Duration(s.random.Int64N(int64(s.preferredCheckInterval)))
}
