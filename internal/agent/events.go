package agent

// The events that other goroutines post to the event loop, and their effects.

import (
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/upstream"
)

// event is an event that another goroutine posts to the event loop.
type event interface {
	// applyTo updates the loop's state and queues the balancer's events for the next step. It runs on the loop's goroutine.
	applyTo(l *eventLoop)
}

type (
	requestArrived     struct{ *request }
	clientDisconnected struct{ *request } // the client closed or reset its connection, or cancelled the request
	deadlineExceeded   struct{ *request } // no reply by the deadline plus half of the answer grace
	uploadExpired      struct{ *request } // a streamed body that has not arrived completely can't be forwarded any more
	bodyComplete       struct {           // the last byte of a streamed body has arrived, read or unread
		*request
		deadline time.Time // of the client
	}
	responseStarted struct { // the first bytes of an attempt's streaming response have arrived
		*request
		attempt  int
		response *upstream.Response
	}
	responseRefused struct{ *request } // no memory is left for an attempt's response
	attemptEnded    struct {           // an attempt's outcome, and its response if there is one
		*request
		outcome  balancer.Outcome
		response *upstream.Response
	}
	endpointsUpdated struct{ discovery.Update }
	// balancerEvent is an event that passes to the balancer unchanged: from a health check, a peer or the fleet.
	balancerEvent struct{ balancer.Event }
)

func (e requestArrived) applyTo(l *eventLoop) {
	if l.requests[e.id] != nil {
		e.reply <- reply{duplicate: true} // the table keeps the other request with this id
		return
	}
	l.counts.requests++
	l.requests[e.id] = e.request
	l.pending = append(l.pending, balancer.Request{ID: e.id, Class: e.class, Work: e.sizeHint,
		ClientRetry: e.clientRetry, AffinityKey: e.affinityKey, ResidencyRule: e.residencyRule, Streaming: e.upstream.IsStreamed()})
}

func (e bodyComplete) applyTo(l *eventLoop) {
	l.setDeadline(e.request, e.deadline)
	l.pending = append(l.pending, balancer.BodyComplete{Request: e.id})
}

// setDeadline sets the final deadline of a request whose body is streamed, and starts the timers of its attempts.
func (l *eventLoop) setDeadline(r *request, deadline time.Time) {
	r.deadline, r.deadlineFinal = deadline, true
	for _, timer := range r.attemptTimers {
		timer.arm(deadline.Add(-l.margin))
	}
}

// applyTo ends the attempts as timed out, after which the balancer answers the request. Without an attempt, nothing could
// forward the body, and the loop answers.
func (e uploadExpired) applyTo(l *eventLoop) {
	if e.finished {
		return
	}
	if e.openAttempts == 0 {
		l.failUnanswered(e.request)
		return
	}
	l.setDeadline(e.request, time.Now())
}

func (e responseStarted) applyTo(l *eventLoop) {
	if e.finished {
		e.response.Release()
		e.response.Stream.Finish(upstream.ErrRequestEnded)
		return
	}
	l.counts.served++
	l.streamedShares.record(e.class, true)
	l.respond(e.request, reply{response: e.response})
	l.pending = append(l.pending, balancer.ResponseStarted{Request: e.id, Attempt: e.attempt})
}

// applyTo answers the request as failed. Another attempt would have no memory either.
func (e responseRefused) applyTo(l *eventLoop) {
	if e.finished {
		return
	}
	l.counts.failed++
	l.answerRefusals.Add(1)
	l.streamedShares.record(e.class, true)
	l.respond(e.request, reply{})
	l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
	l.removeIfDone(e.request)
}

// applyTo passes a successful response to the client at once, before the balancer's step.
func (e attemptEnded) applyTo(l *eventLoop) {
	e.openAttempts--
	e.attemptTimedOut = e.attemptTimedOut || e.outcome.Result == balancer.TimedOut
	if e.outcome.Result == balancer.OK && !e.finished {
		l.respond(e.request, reply{response: e.response})
		l.counts.served++
		l.streamedShares.record(e.class, false)
	} else if e.response != nil && e.response.Stream == nil {
		e.response.Release() // no client gets it
	}
	e.outcome.Done = e.finished
	if e.response != nil && e.response.Stream != nil && e.outcome.Result != balancer.OK {
		l.counts.truncated++
	}
	if !e.finished && e.upstream.UploadStarted() {
		l.pending = append(l.pending, balancer.BodyConsumed{Request: e.id})
	}
	l.pending = append(l.pending, e.outcome)
	l.removeIfDone(e.request)
}

func (e clientDisconnected) applyTo(l *eventLoop) {
	if e.finished {
		return
	}
	l.counts.disconnected++
	l.respond(e.request, reply{})
	if e.upstream.IsStreamed() && !e.upstream.Upload.IsComplete() { // the upload can't continue, which is not a failure of the backend
		for _, cancel := range e.cancels {
			cancel(upstream.ErrCancelled)
		}
	}
	l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
	l.removeIfDone(e.request)
}

// applyTo answers a request that the balancer has not answered by the request's deadline. The balancer should never miss a
// deadline; if it does, the client still gets a reply, and the loop logs an error.
func (e deadlineExceeded) applyTo(l *eventLoop) {
	if e.finished {
		return
	}
	l.log.Error("request not answered by its deadline", "request", e.id, "attempts", len(e.cancels), "open", e.openAttempts,
		"left_on_arrival", e.timeout)
	l.counts.overdue++
	l.failUnanswered(e.request)
}

// failUnanswered answers a request as timed out without the balancer, and notifies the balancer.
func (l *eventLoop) failUnanswered(r *request) {
	l.respond(r, reply{timedOut: true})
	l.pending = append(l.pending, balancer.Abandoned{Request: r.id})
	l.removeIfDone(r)
}

func (e endpointsUpdated) applyTo(l *eventLoop) {
	l.pool.ApplyUpdate(e.Update)
	l.pending = append(l.pending, e.Endpoints)
	if len(e.Endpoints.Backends) > 0 {
		l.ready.Store(true)
	}
}

// applyTo queues the event for the balancer if other goroutines may post its kind. It drops all other kinds, which only the
// loop creates.
func (e balancerEvent) applyTo(l *eventLoop) {
	switch posted := e.Event.(type) {
	case balancer.ProbeResult:
		delete(l.probing, posted.Backend)
		l.pending = append(l.pending, posted)
	case balancer.GossipReceived, balancer.Quota, balancer.ZoneLatencies:
		l.pending = append(l.pending, posted)
	}
}
