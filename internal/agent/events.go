package agent

// The events that are posted to the event loop, and what each changes there.

import (
	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/upstream"
)

// event is something that happened outside the event loop, as posted to it.
type event interface {
	// applyTo books the event and keeps what the balancer has to know for the next step. It runs on the loop's goroutine.
	applyTo(l *eventLoop)
}

type (
	requestArrived     struct{ *request }
	clientDisconnected struct{ *request } // the client closed, reset or cancelled
	deadlineExceeded   struct{ *request } // the deadline and half of the grace are over without a reply
	bodyComplete       struct{ *request } // a streamed body has arrived to its last byte
	responseStarted    struct {           // the first bytes of an attempt's streaming response have arrived
		*request
		attempt  int
		response *upstream.Response
	}
	attemptEnded struct { // the attempt has its result
		*request
		outcome  balancer.Outcome
		response *upstream.Response
	}
	endpointsUpdated struct{ discovery.Update }
	// balancerEvent is an event of the balancer's own, of a health check, a peer or the fleet.
	balancerEvent struct{ balancer.Event }
)

func (e requestArrived) applyTo(l *eventLoop) {
	if l.requests[e.id] != nil {
		e.reply <- reply{duplicate: true} // not tracked: the id belongs to the other request
		return
	}
	l.counts.requests++
	l.requests[e.id] = e.request
	l.pending = append(l.pending, balancer.Request{ID: e.id, Class: e.class, Work: e.sizeHint,
		ClientRetry: e.clientRetry, AffinityKey: e.key, ResidencyRule: e.residencyRule, Streaming: e.upstream.IsStreamed()})
}

func (e bodyComplete) applyTo(l *eventLoop) {
	e.deadline = e.upstream.Upload.CompletedAt().Add(e.timeout)
	for _, timer := range e.attemptTimers {
		timer.arm(e.deadline.Add(-l.margin))
	}
	l.pending = append(l.pending, balancer.BodyComplete{Request: e.id})
}

func (e responseStarted) applyTo(l *eventLoop) {
	if e.finished {
		e.response.Stream.Finish(upstream.ErrRequestEnded)
		return
	}
	l.counts.served++
	l.respond(e.request, reply{response: e.response})
	l.pending = append(l.pending, balancer.ResponseStarted{Request: e.id, Attempt: e.attempt})
}

// applyTo answers a served request at once, before the step.
func (e attemptEnded) applyTo(l *eventLoop) {
	e.openAttempts--
	e.attemptTimedOut = e.attemptTimedOut || e.outcome.Result == balancer.TimedOut
	if e.outcome.Result == balancer.OK && !e.finished {
		l.respond(e.request, reply{response: e.response})
		l.counts.served++
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
	if e.upstream.IsStreamed() && !e.upstream.Upload.IsComplete() { // an incomplete upload can't go on, and no backend is to blame
		for _, cancel := range e.cancels {
			cancel(upstream.ErrCancelled)
		}
	}
	l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
	l.removeIfDone(e.request)
}

// applyTo answers a request that the balancer has not answered. The balancer answers every request before its deadline; if it
// ever did not, the client would still get its reply, and the log says so.
func (e deadlineExceeded) applyTo(l *eventLoop) {
	if e.finished {
		return
	}
	l.log.Error("request not answered by its deadline", "request", e.id, "attempts", len(e.cancels), "open", e.openAttempts,
		"left_on_arrival", e.timeout)
	l.counts.overdue++
	l.respond(e.request, reply{timedOut: true})
	l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
	l.removeIfDone(e.request)
}

func (e endpointsUpdated) applyTo(l *eventLoop) {
	l.pool.ApplyUpdate(e.Update)
	l.pending = append(l.pending, e.Endpoints)
	if len(e.Endpoints.Backends) > 0 {
		l.ready.Store(true)
	}
}

// applyTo passes the event on if it is of a kind that is posted. The loop makes all others itself.
func (e balancerEvent) applyTo(l *eventLoop) {
	switch posted := e.Event.(type) {
	case balancer.ProbeResult:
		delete(l.probing, posted.Backend)
		l.pending = append(l.pending, posted)
	case balancer.GossipReceived, balancer.Quota, balancer.ZoneLatencies:
		l.pending = append(l.pending, posted)
	}
}
