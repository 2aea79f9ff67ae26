package lab

import (
	"net/http"
	"time"
)

// listServiceQueue is the list service's capacity, where lists are asked for: calls wait in turn, and fail when they would wait too
// long. What an open watch is told costs nothing. The lab's lock guards it.
type listServiceQueue struct {
	idleAt   time.Duration // the queue is empty then
	seconds  []int         // calls by second
	calls    int
	rejected int
	bytes    int
	maxWait  time.Duration // that a call waited
}

// Lists is what the list service saw, where it is asked.
type Lists struct {
	Calls    int     `json:"calls"`
	PerAgent float64 `json:"calls_per_start"` // for each start of an agent
	Refused  int     `json:"refused"`
	Peak     int     `json:"calls_worst_second"`
	Longest  float64 `json:"longest_wait_s"`
	Bytes    int     `json:"bytes"`
}

// awaitTurn lets a call wait for its turn, and reports false where it fails: it is refused, or nobody waits for it any more.
func (d *fakeDiscovery) awaitTurn(w http.ResponseWriter, r *http.Request, whole bool) bool {
	l := d.lab
	s := &l.Scenario.Discovery
	if !s.Polled {
		return true
	}
	l.mu.Lock()
	now := l.now()
	q := &d.listService
	q.calls++
	for sec := int(max(0, now) / time.Second); sec >= len(q.seconds); {
		q.seconds = append(q.seconds, 0)
	}
	q.seconds[int(max(0, now)/time.Second)]++
	cost := seconds(1 / s.Rate)
	if !whole {
		cost = time.Duration(float64(cost) * s.DeltaCost)
	}
	q.idleAt = max(q.idleAt, now)
	wait := q.idleAt - now
	if wait > seconds(s.MaxQueueSeconds) {
		q.rejected++
		l.mu.Unlock()
		http.Error(w, "overbooked", http.StatusServiceUnavailable)
		return false
	}
	q.idleAt += cost
	q.maxWait = max(q.maxWait, wait)
	l.mu.Unlock()
	return waitFor(r.Context(), wait+cost, nil)
}

// listsReport sums up. The lock is held.
func (l *Lab) listsReport() *Lists {
	if !l.Scenario.Discovery.Polled {
		return nil
	}
	q, starts := &l.discovery.listService, 0
	for _, a := range l.agents {
		starts += a.starts
	}
	r := &Lists{Calls: q.calls, PerAgent: share(float64(q.calls), float64(starts)), Refused: q.rejected, Longest: q.maxWait.Seconds(), Bytes: q.bytes}
	for _, n := range q.seconds {
		r.Peak = max(r.Peak, n)
	}
	return r
}
