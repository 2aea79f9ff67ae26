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

// order is the hubs in the order in which an agent wants them: its own zone's, the others of its region, the rest. Within
// a region it is another at every agent, so that those of a dead hub spread.
func order(name, site, region string, hubs []Hub) []Hub {
	far := func(h Hub) int {
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
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(member.Score(name, a.Zone), member.Score(name, b.Zone)))
	})
	return list
}

const (
	waitFirst = 2 * time.Second // full jitter: within it the agents of a dead hub come to the others
	waitMost  = 8 * time.Second
	steady    = 10 * time.Second // a stream that held so long was a working one
	mostBusy  = 3                // in a row, before another hub is tried
	homeEvery = 30 * time.Second // plus or minus half
)

// chooser says which hub is tried next and after how long. It is told what happened, and what time it is.
type chooser struct {
	random *rand.Rand
	at     int         // the hub to try, in the agent's order
	fails  int         // in a row, since a stream was steady
	busy   int         // in a row, at this hub
	closed []time.Time // until then each hub asked not to be tried
	homing time.Duration
}

func newChooser(hubs int, seed uint64) *chooser {
	return &chooser{random: rand.New(rand.NewPCG(seed, 0)), closed: make([]time.Time, hubs), homing: homeEvery}
}

// failed takes that the hub could not be attached to.
func (c *chooser) failed(now time.Time) time.Duration {
	return c.move((c.at+1)%len(c.closed), now)
}

// lost takes that the stream to a hub has ended after so long: another is next, the agent's own if it is not that one.
func (c *chooser) lost(hub int, held time.Duration, now time.Time) time.Duration {
	if held >= steady {
		c.fails = 0
	}
	next := 0
	if hub == 0 {
		next = 1 % len(c.closed)
	}
	return c.move(next, now)
}

// refused takes that the hub is busy: it is asked again when it said, a few times.
func (c *chooser) refused(after time.Duration, now time.Time) time.Duration {
	c.closed[c.at] = now.Add(after)
	if c.busy++; c.busy >= mostBusy || after > waitFirst {
		return c.failed(now)
	}
	return after
}

// move has a hub be tried next, or the first after it that did not ask for time, after full jitter that grows from try to
// try.
func (c *chooser) move(to int, now time.Time) time.Duration {
	within := min(waitFirst<<min(c.fails, 8), waitMost)
	wait := time.Duration(c.random.Int64N(int64(within)))
	c.busy = 0
	c.fails++
	soonest := to
	for i := range c.closed {
		c.at = (to + i) % len(c.closed)
		if c.closed[c.at].Sub(now) <= wait {
			return wait
		}
		if c.closed[c.at].Before(c.closed[soonest]) {
			soonest = c.at
		}
	}
	c.at = soonest
	return c.closed[soonest].Sub(now)
}

// home is how long an agent stays elsewhere before it looks for its own hub.
func (c *chooser) home() time.Duration {
	return c.homing/2 + time.Duration(c.random.Int64N(int64(c.homing)))
}
