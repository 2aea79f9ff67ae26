package lab

// The queue of timed events of the run.

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	run func(now time.Duration)
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventQueue) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// now returns the time of the run. Before startClock sets time 0, now counts from createdAt.
func (l *Lab) now() time.Duration {
	return time.Since(l.createdAt) - time.Duration(l.startOffset.Load())
}

// wallTime returns a time of the run as a reading of the wall clock.
func (l *Lab) wallTime(t time.Duration) time.Time {
	return l.createdAt.Add(time.Duration(l.startOffset.Load()) + t)
}

// traceTime returns a time of the run as agents and hubs trace it: in microseconds since the machine's boot.
func (l *Lab) traceTime(t time.Duration) int64 {
	return (l.createdSinceBoot + time.Duration(l.startOffset.Load()) + t).Microseconds()
}

// scheduleAt adds an event to the queue. Lab.mu is held.
func (l *Lab) scheduleAt(at time.Duration, run func(now time.Duration)) {
	l.lastSeq++
	heap.Push(&l.schedule, event{at, l.lastSeq, run})
	if l.schedule[0].seq == l.lastSeq {
		l.interruptSchedule()
	}
}

func (l *Lab) interruptSchedule() {
	select {
	case l.scheduleChanged <- struct{}{}:
	default:
	}
}

// runPending runs all events that are due, in order of time, and returns the time of the next event. Each event receives the
// time at which it was due. Lab.mu is held.
func (l *Lab) runPending(now time.Duration) (next time.Duration) {
	for {
		nextAt, host := time.Duration(1<<62), (*host)(nil)
		if len(l.schedule) > 0 {
			nextAt = l.schedule[0].at
		}
		for _, h := range l.hosts {
			if t := h.machine.NextEvent(); t < nextAt {
				nextAt, host = t, h
			}
		}
		if nextAt > now {
			return nextAt
		}
		l.recordLateness(now - nextAt)
		if host != nil {
			l.completeJobs(host, host.machine.Advance(nextAt))
			continue
		}
		heap.Pop(&l.schedule).(event).run(nextAt)
	}
}

func (l *Lab) recordLateness(d time.Duration) {
	_ = l.lateness.RecordValue(min(max(1, d.Microseconds()), maxLateness)) // fails only outside the histogram's range
}

const maxLateness = int64(time.Minute / time.Microsecond) // in microseconds

// runSchedule runs events when they are due until the run ends.
func (l *Lab) runSchedule() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for l.ctx.Err() == nil {
		l.mu.Lock()
		next := l.runPending(l.now())
		l.mu.Unlock()
		timer.Reset(max(0, next-l.now()))
		select {
		case <-timer.C:
		case <-l.scheduleChanged:
		case <-l.ctx.Done():
		}
	}
}
