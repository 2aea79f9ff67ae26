package agent

// The actions of the balancer, carried out by the event loop.

import (
	"container/heap"
	"context"
	"strconv"
	"time"

	"martenbeam/balancer"
)

// perform carries out one action of the balancer.
func (l *eventLoop) perform(action balancer.Action, now time.Duration) {
	switch action := action.(type) {
	case balancer.Send:
		l.startAttempt(action)
	case balancer.Cancel:
		if r := l.requests[action.Request]; r != nil && action.Attempt >= 0 && action.Attempt < len(r.cancels) && l.cfg.Settings.CancelAllowed {
			r.cancels[action.Attempt](errCancelled)
		}
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
		if l.cfg.Settings.ProbingAllowed && !l.probing[action.Backend] {
			l.probing[action.Backend] = true
			go func() { l.post(balancerEvent{l.pool.probe(action.Backend)}) }()
		}
	case balancer.SendGossip:
		if l.peers != nil {
			l.peers.send(action.To, action.Data)
		}
	case balancer.Subscribe:
		l.subscribe()
	case balancer.ZoneStateChanged:
		name := strconv.Itoa(action.Zone)
		if zones := l.cfg.Site.Zones; action.Zone >= 0 && action.Zone < len(zones) {
			name = zones[action.Zone]
		}
		l.log.Warn("zone", "zone", name, "left", action.FailedOver, "told", action.ByGossip)
	case balancer.OverrideResult:
		l.completeCall(action)
	default:
		l.log.Error("unknown action", "action", action)
	}
}

// startAttempt starts an attempt in its own goroutine, which posts attemptEnded. The goroutine ends by the client's
// deadline, or with a streamed body or response. At most MaxAttempts of them exist for each open request.
func (l *eventLoop) startAttempt(action balancer.Send) {
	r := l.requests[action.Request]
	if r == nil || r.finished { // nothing is sent after the final reply
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
	if !r.upstream.isLarge() || r.upstream.upload.complete() {
		timer.arm(deadline)
	}
	r.openAttempts++
	l.counts.attempts++
	endpoint, writeBy := l.pool.endpoint(action.Backend), time.Time{}
	if action.SendDeadline > 0 {
		writeBy = l.clock.epoch.Add(action.SendDeadline - clockOffset)
	}
	go func() {
		att := &attempt{ctx: ctx, cancel: cancel, requestDone: r.done, shutdown: l.stopped, backendID: action.Backend, endpoint: endpoint, writeBy: writeBy, request: r.upstream,
			residencyRule: r.residencyRule, start: start, deadline: deadline}
		att.onStreamStart = func(resp *response, latency time.Duration) bool {
			if !timer.disarm() {
				return false
			}
			l.post(responseStarted{r, index, resp})
			return true
		}
		result, resp, load := l.pool.execute(att)
		timer.disarm()
		cancel(nil)
		if att.latency == 0 {
			att.latency = att.elapsed()
		}
		l.post(attemptEnded{r, balancer.Outcome{Request: r.id, Attempt: index, Backend: action.Backend, Result: result,
			Latency: att.latency, NewConnection: att.newConn, Load: load}, resp})
	}()
}
