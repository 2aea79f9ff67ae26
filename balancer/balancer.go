package balancer

// Event dispatch and the life of a request: Step takes events in, send starts attempts, finish and close end requests.
// The rules for attempts are checked for the last time in send.

import (
	"math"
	"time"
)

const (
	retryAfterObjectives = 1.0 // mean Retry-After of a refused client, in longest objectives; jittered by half
)

// Step handles what has happened by now, in order, and returns the actions to carry out. It must be called from one
// goroutine. A time before that of the previous Step counts as that time.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.recomputeCapacity()
	if b.settings.GossipAllowed && b.gossipTimer == 0 {
		b.demand.start(b.now)
		b.gossipTimer = b.setTimer(time.Duration(b.rng.Float64() * float64(b.maxObjective)))
	}
	for _, event := range events {
		switch event := event.(type) {
		case Request:
			b.onRequest(event)
		case Outcome:
			b.onOutcome(event)
		case TimerFired:
			b.onTimer(event.Token)
		case EndpointUpdate:
			b.onEndpointUpdate(event)
			b.recomputeCapacity()
		case GossipReceived:
			b.onGossip(event)
		case ProbeResult:
			b.onProbe(event)
		case Abandoned:
			if req := b.requests[event.Request]; req != nil {
				b.close(req)
			}
		case Quota:
			b.assignedQuota = event.Share
			b.recomputeQuota()
		case ZoneLatencies:
			b.onZoneLatencies(event)
		case Residency:
			b.residencyTable = event.Table
		case Disable:
			b.onDisable(event)
		case Enable:
			b.onEnable(event)
		case Drain:
			b.onDrain(event)
		case Restore:
			b.onRestore(event)
		case BodyComplete:
			b.onBodyComplete(event)
		case BodyConsumed:
			b.onBodyConsumed(event)
		case ResponseStarted:
			b.onResponseStarted(event)
		}
	}
	b.admitQueued()
	return b.actions
}

func (b *Balancer) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(b.classes) || b.requests[event.ID] != nil {
		return
	}
	class := &b.classes[event.Class]
	req := &request{id: event.ID, class: event.Class, objectiveAt: b.now + min(class.LatencyObjective, event.TimeRemaining),
		deadline: b.now + event.TimeRemaining, clientRetry: event.ClientRetry, residencyRule: event.ResidencyRule,
		affinityKey: event.AffinityKey, timedFrom: b.now, streaming: event.Streaming}
	// Clients give all their attempts one usual timeout, and the last one what is left of their deadline. An attempt
	// with any other timeout is therefore a retry, and the difference tells when the client started.
	if class.usualTimeout == 0 {
		class.usualTimeout = event.TimeRemaining
	}
	offset := event.TimeRemaining - class.usualTimeout
	if offset > 2*b.settings.Tick || offset < -2*b.settings.Tick {
		req.clientRetry = true
		req.objectiveAt -= max(0, class.Deadline-event.TimeRemaining)
	}
	if !event.ClientRetry {
		class.usualTimeout += min(max(offset, -b.settings.Tick/4), b.settings.Tick/4) // converges to the median
	}
	if req.work = float64(event.Work); req.work > 0 {
		class.meanWork = ewma(class.meanWork, req.work)
	}
	for i := range b.classes { // decay by arrivals: the last few hundred requests count
		b.classes[i].arrivals *= 1 - smoothing/20
		b.classes[i].metObjective *= 1 - smoothing/20
	}
	class.arrivals++
	b.subset.arrive(b.now)
	b.requests[event.ID] = req
	if !req.clientRetry {
		b.demand.add(b.now, b.expectedLatency(req))
		b.credit.accrue(b.expectedLatency(req), b.limiter.latencyRatio, class.latency, b.gossipsObservations())
	}
	b.queue.add(req)
}

func (b *Balancer) onOutcome(event Outcome) {
	req := b.requests[event.Request]
	if req == nil || event.Attempt < 0 || event.Attempt >= len(req.attempts) || !req.attempts[event.Attempt].open {
		return
	}
	a := req.attempts[event.Attempt]
	a.open = false
	req.openAttempts--
	b.vacate(a)
	if event.Result.NeverRan() {
		if req.possiblyExecuted--; req.possiblyExecuted == 0 {
			req.scopeAttempt = nil
		}
	}
	class := &b.classes[req.class]
	b.recordOutcome(req, a, event)
	b.countOutcome()
	if event.Result == OK && !req.ended {
		b.retryBudget.Refill()
		if b.now <= req.objectiveAt {
			class.metObjective++
		}
	}
	if event.Done || event.Result == OK || req.ended {
		b.close(req)
		return
	}
	req.lastFailed = a.backend
	if req.openAttempts == 0 && !req.inBackoff && !req.queued {
		b.retry(req, event.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	a, req := b.overdueTimers[token], b.requestTimers[token]
	delete(b.overdueTimers, token)
	delete(b.requestTimers, token)
	switch {
	case token == 0:
	case token == b.pollTimer:
		b.pollTimer = 0
		b.actions = append(b.actions, Subscribe{})
	case token == b.gossipTimer:
		b.gossip()
	case a != nil:
		b.onOverdue(a)
	case b.zones.byProbeTimer(token) != nil:
		b.probeZone(b.zones.byProbeTimer(token))
	case req != nil && !req.ended && token == req.timer:
		req.timer = 0 // a queued request may have to wait longer by now: it gets a new timer
		if req.inBackoff {
			req.inBackoff = false
			b.queue.add(req)
		}
	}
}

func (b *Balancer) onEndpointUpdate(event EndpointUpdate) {
	if event.Kind == UpdateFailed {
		if !b.settings.Subscribe {
			return
		}
		// Poll again after an exponential backoff with full jitter.
		b.pollFailures++
		unit := float64(b.settings.PollInterval) / 64
		b.pollTimer = b.setTimer(time.Duration(b.rng.Float64() * unit * math.Exp2(float64(min(b.pollFailures, 4)))))
		return
	}
	if event.Kind == UpdateCached && b.settings.Subscribe {
		// Jittered, since all agents may start at once.
		b.pollTimer = b.setTimer(time.Duration(b.rng.Float64() * float64(b.settings.PollInterval) / 64))
	} else {
		b.pollFailures = 0
	}
	b.mergeEndpoints(event)
}

// send starts an attempt. No other function does, so the rules are checked here for the last time.
func (b *Balancer) send(req *request, backend *backendState) {
	if backend.State != Up || !b.mayAttempt(req, backend) || b.now >= req.deadline {
		b.finish(req)
		return
	}
	if b.residencyBound(req) && (len(backend.outstanding) > 0 || b.zone(backend).crowded()) {
		b.reserveZones(req)
	}
	a := &attempt{backend: backend, zone: backend.Zone, cell: backend.Cell, sentAt: b.now,
		sendDeadline: b.sendDeadline(req), expected: max(b.expectedLatency(req), 1), open: true}
	req.attempts = append(req.attempts, a)
	req.openAttempts++
	if req.possiblyExecuted++; req.scopeAttempt == nil {
		req.scopeAttempt = a
	}
	b.occupy(req, a)
	b.credit.spend(a.expected)
	b.zone(backend).takeCanary()
	if b.sparseQuota() || len(b.zones) > 1 {
		objective := float64(b.classes[req.class].LatencyObjective)
		wait := min(objective, max(overdueObjectives*objective, overdueLatencies*a.expected))
		b.overdueTimers[b.setTimer(time.Duration(wait))] = a
	}
	backend.spendBudget(b.expectedLatency(req) / b.classes[req.class].latency)
	b.actions = append(b.actions, Send{Request: req.id, Backend: backend.ID, SendDeadline: a.sendDeadline})
}

// finish gives a request its final answer; no other function does. The answer is a refusal if no attempt can have
// executed, which makes a retry by any client safe, and a failure otherwise.
func (b *Balancer) finish(req *request) {
	if req.ended {
		return
	}
	var answer Action = Fail{Request: req.id}
	if req.possiblyExecuted == 0 {
		wait := time.Duration(retryAfterObjectives * (0.5 + b.rng.Float64()) * float64(b.maxObjective))
		answer = Refuse{Request: req.id, RetryAfter: b.settings.retryAfter(wait), NoPermittedZone: !b.hasPermittedBackend(req)}
	}
	b.actions = append(b.actions, answer)
	b.close(req)
}

// close ends a request, and forgets it once all its attempts have their outcome.
func (b *Balancer) close(req *request) {
	req.ended = true
	if req.queued {
		b.queue.remove(req)
	}
	if req.openAttempts == 0 {
		delete(b.requests, req.id)
	}
}
