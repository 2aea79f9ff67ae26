package lab

import (
	"net/http"
	"time"
)

// listServiceQueue models the limited capacity of a polled list service. It queues calls, and rejects a call that would wait too
// long. Changes sent on an open watch cost nothing. Lab.mu guards it.
type listServiceQueue struct {
	idleAt   time.Duration // when the queue will be empty
	seconds  []int         // calls, by second of the run
	calls    int
	rejected int
	bytes    int
	maxWait  time.Duration // longest wait of a call
}

// Lists reports the calls to a polled list service.
type Lists struct {
	Calls        int     `json:"calls"`
	PerAgent     float64 `json:"calls_per_start"` // calls for each start of an agent
	Rejected     int     `json:"refused"`
	MaxPerSecond int     `json:"calls_worst_second"`
	MaxWait      float64 `json:"longest_wait_s"`
	Bytes        int     `json:"bytes"`
}

// awaitTurn queues a call until its turn. It reports false if the call was rejected or its caller has disconnected.
func (d *fakeDiscovery) awaitTurn(w http.ResponseWriter, r *http.Request, full bool) bool {
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
	if !full {
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

// listsReport returns the calls to the list service, or nil if the list service is not polled. Lab.mu is held.
func (l *Lab) listsReport() *Lists {
	if !l.Scenario.Discovery.Polled {
		return nil
	}
	q, starts := &l.discovery.listService, 0
	for _, a := range l.agents {
		starts += a.starts
	}
	r := &Lists{Calls: q.calls, PerAgent: share(float64(q.calls), float64(starts)), Rejected: q.rejected, MaxWait: q.maxWait.Seconds(), Bytes: q.bytes}
	for _, n := range q.seconds {
		r.MaxPerSecond = max(r.MaxPerSecond, n)
	}
	return r
}
