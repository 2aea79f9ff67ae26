// The choice of the next hub to attach to, and the wait before the attempt.

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

// preferenceOrder returns the hubs in an agent's order of preference: the hub of its own zone, the other hubs of its
// region, and the hubs of other regions. Within each group the order differs from agent to agent, so that the agents of
// a failed hub spread over the remaining hubs.
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
	initialBackoff                = 2 * time.Second // with full jitter, which spreads the agents of a failed hub over this time
	maxBackoff                    = 8 * time.Second
	stableAfter                   = 10 * time.Second // minimum duration of an attachment that resets the backoff
	maxBusyReplies                = 3                // consecutive busy replies of a hub after which the agent tries another hub
	defaultPreferredCheckInterval = 30 * time.Second // mean; the interval varies at random by up to half of it
)

// hubSelector chooses the next hub to try, and the wait before the attempt, from the outcomes of earlier attempts and
// the current time. It has no lock: only maintainAttachment uses it.
type hubSelector struct {
	random                 *rand.Rand
	current                int           // index of the hub to try, in order of preference
	consecutiveFailures    int           // failed attempts and lost attachments since the last stable attachment
	busyReplies            int           // consecutive busy replies of the current hub
	busyUntil              []time.Time   // by hub: the earliest time of the next attempt that the hub permits
	preferredCheckInterval time.Duration // mean time between attempts to return to the preferred hub
}

func newHubSelector(hubs int, seed uint64) *hubSelector {
	return &hubSelector{random: rand.New(rand.NewPCG(seed, 0)), busyUntil: make([]time.Time, hubs),
		preferredCheckInterval: defaultPreferredCheckInterval}
}

// attachFailed records that an attempt at the current hub failed, selects another hub, and returns the wait before the
// next attempt.
func (s *hubSelector) attachFailed(now time.Time) time.Duration {
	return s.selectFrom((s.current+1)%len(s.busyUntil), now)
}

// attachmentLost records that the attachment to a hub ended after attachedFor, and returns the wait before the next
// attempt. The selection starts at the preferred hub or, if the attachment was to the preferred hub, at the second hub
// in the order of preference. selectFrom skips hubs that are still busy after the wait, if there is another hub.
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

// hubBusy records that the current hub asked the agent to retry after retryAfter, and returns the wait before the next
// attempt. It selects another hub after maxBusyReplies consecutive busy replies, or if retryAfter exceeds
// initialBackoff.
func (s *hubSelector) hubBusy(retryAfter time.Duration, now time.Time) time.Duration {
	s.busyUntil[s.current] = now.Add(retryAfter)
	if s.busyReplies++; s.busyReplies >= maxBusyReplies || retryAfter > initialBackoff {
		return s.attachFailed(now)
	}
	return retryAfter
}

// selectFrom draws a wait with full jitter from a backoff that doubles with each failure, up to maxBackoff. It selects
// the first hub from index first onwards that permits an attempt after this wait, and returns the wait. If no hub
// permits an attempt after the wait, selectFrom selects the hub with the earliest permitted attempt, and returns the
// time until that attempt.
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

// nextPreferredCheck returns the time until an agent that is attached to another hub tries the preferred hub again.
func (s *hubSelector) nextPreferredCheck() time.Duration {
	return s.preferredCheckInterval/2 + time.Duration(s.random.Int64N(int64(s.preferredCheckInterval)))
}
