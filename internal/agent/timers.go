package agent

// The event loop's clock, and the balancer's timers.

import "time"

// clock is the agent's monotonic clock. It starts at clockOffset rather than zero, so that the start time of a backend that
// is older than the agent is positive too.
type clock struct{ epoch time.Time }

const clockOffset = time.Hour

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration           { return c.at(time.Now()) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.epoch) + clockOffset }

// time is the inverse of at.
func (c clock) time(at time.Duration) time.Time { return c.epoch.Add(at - clockOffset) }

// timer is a pending timer of the balancer.
type timer struct {
	at    time.Duration
	token int64
}

// timerHeap implements heap.Interface; the timer that is due first is at the root.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
