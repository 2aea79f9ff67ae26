package balancer

// The life of a request: onRequest accepts it, send starts attempts, onOutcome ends them, finish gives the final
// answer, close removes the record. send is the last function to check the rules for attempts.

import "time"

const retryAfterObjectives = 1.0 // mean Retry-After, as a multiple of the longest objective; jittered by up to half

// onRequest accepts a request into the admission queue. A client's retry adds no demand.
func (b *Balancer) onRequest(event Request) {
	if event.Class < 0 || event.Class >= len(b.classes) || b.requests[event.ID] != nil {
		return
	}
	class := &b.classes[event.Class]
	req := &request{id: event.ID, class: event.Class, objectiveAt: b.now + min(class.LatencyObjective, event.TimeRemaining),
		deadline: b.now + event.TimeRemaining, clientRetry: event.ClientRetry, residencyRule: event.ResidencyRule,
		affinityKey: event.AffinityKey, work: float64(event.Work), timedFrom: b.now, streaming: event.Streaming}
	if class.updateUsualTimeout(event.TimeRemaining, b.settings.Tick, event.ClientRetry) {
		req.clientRetry = true
		req.objectiveAt -= max(0, class.Deadline-event.TimeRemaining)
	}
	class.updateMeanWork(req.work)
	b.classes.decay()
	class.recordArrival()
	b.subset.recordArrival(b.now)
	b.requests[event.ID] = req
	if !req.clientRetry {
		b.demand.add(b.now, b.expectedLatency(req))
		b.credit.accrue(b.expectedLatency(req), b.limiter.latencyRatio, class.latency, b.gossipsObservations())
	}
	b.queue.add(req)
}

// onOutcome ends an attempt, records its result, and ends or retries its request.
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
	b.recordOutcome(req, a, event)
	b.countOutcome()
	if event.Result == OK && !req.ended {
		b.retryBudget.Refill()
		if b.now <= req.objectiveAt {
			b.classes[req.class].countMetObjective()
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

// send starts an attempt, or finishes the request if the rules forbid an attempt. All attempts start here, so send
// checks these rules once more.
func (b *Balancer) send(req *request, backend *backendState) {
	if backend.State != Up || !b.mayAttempt(req, backend) || b.now >= req.deadline {
		b.finish(req)
		return
	}
	if b.residencyRestricted(req) && (!backend.idle() || b.zone(backend).congested()) {
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

// finish ends a request with a final answer from the balancer; no other function adds such an answer. The answer is a
// refusal if no attempt can have executed, so that a retry by the client is safe, and a failure otherwise.
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

// close ends a request, and removes its record once all its attempts have their outcome.
func (b *Balancer) close(req *request) {
	req.ended = true
	if req.queued {
		b.queue.remove(req)
	}
	if req.openAttempts == 0 {
		delete(b.requests, req.id)
	}
}

// onAbandoned ends a request whose client has disconnected, without a final answer.
func (b *Balancer) onAbandoned(event Abandoned) {
	if req := b.requests[event.Request]; req != nil {
		b.close(req)
	}
}

// expectedLatency returns the mean latency, in ns, of requests with the class and the announced work of req.
func (b *Balancer) expectedLatency(req *request) float64 {
	return b.classes[req.class].expectedLatency(req.work)
}

// sendDeadline returns the time by which the last byte of another attempt must be sent, so that backends still drop the
// attempt as a duplicate. 0 means no bound.
func (b *Balancer) sendDeadline(req *request) time.Duration {
	class := &b.classes[req.class]
	if class.Idempotency != IdempotencyKey || req.possiblyExecuted == 0 {
		return 0
	}
	return req.scopeAttempt.sentAt + class.DedupWindow
}

// occupy adds an attempt to the outstanding ones of its backend. While the body is still arriving, the attempt takes no
// capacity and its latency is not measured: the backend has nothing to do yet.
func (b *Balancer) occupy(req *request, a *attempt) {
	a.untimed = req.streaming
	if !req.streaming {
		b.setOutstanding(a, true)
		if !a.backend.warmingUp {
			b.warmOutstanding++ // approximation until recomputeCapacity counts again
		}
	}
}

// vacate removes an attempt from the outstanding ones of its backend, at the outcome or at the start of a large
// response: only network transfer remains then.
func (b *Balancer) vacate(a *attempt) {
	if a.occupying {
		b.setOutstanding(a, false)
	}
}

// onBodyComplete restarts the deadline and the objective of a request whose body has arrived. Its outstanding attempt
// occupies its backend from now on.
func (b *Balancer) onBodyComplete(event BodyComplete) {
	req := b.requests[event.Request]
	if req == nil || !req.streaming {
		return
	}
	req.streaming = false
	class := &b.classes[req.class]
	timeout := event.TimeRemaining
	if timeout == 0 {
		timeout = req.deadline - req.timedFrom
	}
	req.timedFrom, req.deadline, req.objectiveAt = b.now, b.now+timeout, b.now+min(class.LatencyObjective, timeout)
	for _, a := range req.attempts {
		if a.open && !a.occupying {
			a.sentAt = b.now
			b.setOutstanding(a, true)
		}
	}
}

// onBodyConsumed marks a request as one that can't be sent again.
func (b *Balancer) onBodyConsumed(event BodyConsumed) {
	if req := b.requests[event.Request]; req != nil {
		req.committed = true
	}
}

// onResponseStarted handles the start of a response: the request gets no further attempt, and the attempt of the
// response no longer occupies its backend.
func (b *Balancer) onResponseStarted(event ResponseStarted) {
	req := b.requests[event.Request]
	if req == nil {
		return
	}
	req.committed = true
	if event.Attempt >= 0 && event.Attempt < len(req.attempts) && req.attempts[event.Attempt].open {
		a := req.attempts[event.Attempt]
		a.untimed = true
		b.vacate(a)
	}
}
