package agent

// How the event loop performs the balancer's actions.

import (
	"container/heap"
	"context"
	"strconv"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
)

// perform performs one action of the balancer. Timers count from now, the time of the step on the event loop's clock.
func (l *eventLoop) perform(action balancer.Action, now time.Duration) {
	switch action := action.(type) {
	case balancer.Send:
		l.startAttempt(action)
	case balancer.Cancel:
		l.cancelAttempt(action)
	case balancer.Refuse:
		if r := l.requests[action.Request]; r != nil && !r.finished {
			l.counts.rejected++
			l.respond(r, reply{rejected: true, retryAfter: action.RetryAfter, residency: action.NoPermittedZone})
			l.removeIfDone(r)
		}
	case balancer.Fail:
		if r := l.requests[action.Request]; r != nil && !r.finished {
			l.counts.failed++
			l.respond(r, reply{timedOut: r.attemptTimedOut})
			l.removeIfDone(r)
		}
	case balancer.SetTimer:
		heap.Push(&l.timers, timer{now + action.After, action.Token})
	case balancer.Probe:
		l.startProbe(action.Backend)
	case balancer.SendGossip:
		if l.peers != nil {
			l.peers.Send(action.To, action.Data)
		}
	case balancer.Subscribe:
		l.subscribe()
	case balancer.ZoneStateChanged:
		l.logZoneState(action)
	case balancer.OverrideResult:
		l.completeCall(action)
	default:
		l.log.Error("unknown action", "action", action)
	}
}

// cancelAttempt cancels one attempt if the site permits cancellation.
func (l *eventLoop) cancelAttempt(action balancer.Cancel) {
	r := l.requests[action.Request]
	if r != nil && action.Attempt >= 0 && action.Attempt < len(r.cancels) && l.cfg.Settings.CancelAllowed {
		r.cancels[action.Attempt](upstream.ErrCancelled)
	}
}

// startProbe starts a health check of a backend, unless the site forbids health checks or one of this backend is in flight.
// The goroutine of the health check ends within the connect timeout.
func (l *eventLoop) startProbe(backend string) {
	if l.cfg.Settings.ProbingAllowed && !l.probing[backend] {
		l.probing[backend] = true
		go func() { l.post(balancerEvent{l.pool.Probe(backend)}) }()
	}
}

// logZoneState logs that the balancer failed over from a zone, or uses the zone again.
func (l *eventLoop) logZoneState(action balancer.ZoneStateChanged) {
	name := strconv.Itoa(action.Zone)
	if zones := l.cfg.Site.Zones; action.Zone >= 0 && action.Zone < len(zones) {
		name = zones[action.Zone]
	}
	l.log.Warn("zone", "zone", name, "left", action.FailedOver, "told", action.ByGossip)
}

// startAttempt starts an attempt in its own goroutine, which posts attemptEnded. The goroutine ends by the client's
// deadline or, if a body or response is streamed, when the stream ends. Each open request has at most MaxAttempts attempts.
func (l *eventLoop) startAttempt(action balancer.Send) {
	r := l.requests[action.Request]
	if r == nil || r.finished { // no attempt starts after the final reply
		l.pending = append(l.pending, balancer.Outcome{Request: action.Request, Backend: action.Backend,
			Result: balancer.NotSent, Done: true})
		return
	}
	start := time.Now()
	deadline := r.deadline.Add(-l.margin)
	if action.Timeout > 0 && start.Add(action.Timeout).Before(deadline) {
		deadline = start.Add(action.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	index, timer := len(r.cancels), &attemptTimer{cancel: cancel}
	r.cancels, r.attemptTimers = append(r.cancels, cancel), append(r.attemptTimers, timer)
	if !r.upstream.IsStreamed() || r.deadlineFinal {
		timer.arm(deadline)
	}
	releaseMemory := l.reserveAttempt(r)
	r.openAttempts++
	l.counts.attempts++
	endpoint, writeBy := l.pool.Endpoint(action.Backend), time.Time{}
	if action.SendDeadline > 0 {
		writeBy = l.clock.time(action.SendDeadline)
	}
	att := &upstream.Attempt{Cancel: cancel, RequestDone: r.done, Shutdown: l.stopped,
		BackendID: action.Backend, Endpoint: endpoint, WriteBy: writeBy, ResidencyRule: r.residencyRule,
		Request: r.upstream, Memory: r.memory, Start: start, Deadline: deadline}
	go func() {
		defer releaseMemory()
		l.runAttempt(ctx, r, index, timer, att)
	}()
}

// reserveAttempt keeps the memory of a request reserved until the returned function is called: an attempt may last longer than its
// request, whose client has its reply or has left. The request's reservation contains one attempt. The memory of another that is
// open at the same time is counted whether it fits or not.
func (l *eventLoop) reserveAttempt(r *request) (release func()) {
	r.memory.Share()
	if r.openAttempts == 0 {
		return r.memory.Release
	}
	l.pool.Memory.Add(membudget.AttemptMemory)
	return func() {
		l.pool.Memory.Remove(membudget.AttemptMemory)
		r.memory.Release()
	}
}

// runAttempt makes the attempt and posts its events. It runs in the attempt's goroutine, so it reads only those fields of r
// that do not change.
func (l *eventLoop) runAttempt(ctx context.Context, r *request, index int, timer *attemptTimer, att *upstream.Attempt) {
	att.OnNoMemory = func() {
		att.Cancel(upstream.ErrCancelled)
		l.post(responseRefused{r})
	}
	att.OnStreamStart = func(resp *upstream.Response, latency time.Duration) bool {
		if !timer.disarm() {
			return false
		}
		if !r.memory.TryStream() {
			att.OnNoMemory()
			return false
		}
		l.post(responseStarted{r, index, resp})
		return true
	}
	result, resp, load := l.pool.Execute(ctx, att)
	timer.disarm()
	att.Cancel(nil)
	if att.Latency == 0 {
		att.Latency = att.Elapsed()
	}
	l.post(attemptEnded{r, balancer.Outcome{Request: r.id, Attempt: index, Backend: att.BackendID, Result: result,
		Latency: att.Latency, NewConnection: att.NewConn, Load: load}, resp})
}
