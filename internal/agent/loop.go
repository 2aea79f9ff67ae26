package agent

import (
	"container/heap"
	"context"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/residency/gate"
)

// clock is the agent's monotonic clock. It does not start at zero, so that backends that started
// before the agent have a time too.
type clock struct{ epoch time.Time }

const clockOffset = time.Hour

func newClock() clock                        { return clock{time.Now()} }
func (c clock) now() time.Duration           { return c.at(time.Now()) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.epoch) + clockOffset }

// request is a client's request from when it was taken until its attempts are in. Only the loop
// touches it after it was posted.
type request struct {
	id            string
	class         int
	upstream      *upstreamRequest
	deadline      time.Time     // the client stops waiting
	timeout       time.Duration // until then, as the client told it
	sizeHint      time.Duration
	clientRetry   bool
	key           uint64        // a hash of what it concerns; 0: unknown
	residencyRule int           // of residency; 0: none
	reply         chan reply    // of one, so that the loop never waits
	done          chan struct{} // closed with the final answer

	finished        bool // has its final answer, or its client is gone
	openAttempts    int  // attempts out
	cancels         []context.CancelCauseFunc
	attemptTimers   []*attemptTimer // of these attempts
	attemptTimedOut bool            // an attempt did
}

func newRequest(id string, class int) *request {
	return &request{id: id, class: class, reply: make(chan reply, 1), done: make(chan struct{})}
}

// reply is a final answer. Exactly one field is set, or none: failed.
type reply struct {
	response   *response
	rejected   bool
	retryAfter time.Duration
	residency  bool // refused, since nowhere that is permitted a backend is up
	timedOut   bool // failed, for want of time
	duplicate  bool // failed: another request with this id is open
}

// What is posted to the loop, besides discovery.Update and the module's own ProbeResult and PeerMessage.
type (
	requestArrived     struct{ *request }
	clientDisconnected struct{ *request } // closed, reset, or withdrew
	deadlineExceeded   struct{ *request } // its time and half the grace are up and no answer is there
	bodyComplete       struct{ *request } // its large body has come to the last byte
	responseStarted    struct {           // the answer of an attempt is large, and its first bytes are here
		*request
		attempt  int
		response *response
	}
	attemptEnded struct { // an attempt
		*request
		outcome  balancer.Outcome
		response *response
	}
)

// eventLoop owns the balancer, the clock, the timers and the table of open requests. Everything else
// posts events to it; it never waits for any of them.
type eventLoop struct {
	cfg          *Config
	log          *slog.Logger
	clock        clock
	balancer     *balancer.Balancer
	pool         *upstreamPool
	peers        *peerTransport
	subscribe    func()                  // asks discovery for a watch
	saveSnapshot func(balancer.Snapshot) // to the next process, now and then; may be nil

	residency        gate.Enforcer // nil: no policy
	policyGeneration int           // the table that the module has heard of

	events           chan any
	calls            chan *adminCall // of operators, ahead of the events
	openCalls        map[int64]*adminCall
	stopped          chan struct{}
	ready            atomic.Bool
	lameDuck         atomic.Bool // operators empty the agent ...
	reportedLameDuck bool        // ... as the module has heard
	margin           time.Duration
	requests         map[string]*request
	timers           timerHeap
	pending          []balancer.Event
	probing          map[string]bool // one probe of a backend at a time
	counts           counts
	lastCallID       int64
}

// counts are what the agent did since its last line about it.
type counts struct{ requests, served, rejected, failed, disconnected, attempts, overdue, truncated int }

func newEventLoop(cfg *Config, clk clock, pool *upstreamPool, log *slog.Logger) (*eventLoop, error) {
	balancer, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &eventLoop{cfg: cfg, log: log, clock: clk, balancer: balancer, pool: pool, subscribe: func() {},
		events: make(chan any, 1024), calls: make(chan *adminCall), openCalls: map[int64]*adminCall{}, stopped: make(chan struct{}),
		// An attempt that waits for the client's deadline ends one tick before it: its time-out
		// reaches the module in time for the client to hear the final answer.
		margin:   cfg.Settings.Tick,
		requests: map[string]*request{}, probing: map[string]bool{}}, nil
}

// adminCall is an operator's word on a backend, on its way to the module.
type adminCall struct {
	ctx        context.Context // the caller has had another answer once it ends
	backend    string
	detach     bool
	replicated bool          // another process of this agent took it
	madeAt     time.Duration // when; 0: now
	accepted   chan bool     // of one, so that the loop never waits
}

var errLoopStopped = errors.New("the loop has ended")

// submitCall puts a call to the module, and reports whether it has taken it.
func (l *eventLoop) submitCall(ctx context.Context, call *adminCall) (bool, error) {
	call.ctx, call.accepted = ctx, make(chan bool, 1)
	select {
	case l.calls <- call:
	case <-l.stopped:
		return false, errLoopStopped
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
	select {
	case accepted := <-call.accepted:
		return accepted, nil
	case <-l.stopped:
		return false, errLoopStopped
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
}

// enqueueCall keeps a call for the next step, before what else is waiting for it.
func (l *eventLoop) enqueueCall(call *adminCall) {
	if call.ctx.Err() != nil {
		return
	}
	l.lastCallID++
	l.openCalls[l.lastCallID] = call
	event := balancer.Event(balancer.Enable{Call: l.lastCallID, Backend: call.backend, Inherited: call.replicated, At: call.madeAt})
	if call.detach {
		event = balancer.Disable{Call: l.lastCallID, Backend: call.backend, Inherited: call.replicated}
	}
	l.pending = slices.Insert(l.pending, 0, event)
}

// completeCall ends a call as the module says. What the backends are told of it holds before the yes.
func (l *eventLoop) completeCall(answer balancer.OverrideResult) {
	call := l.openCalls[answer.Call]
	if call == nil {
		l.log.Error("an answer to no call", "call", answer.Call)
		return
	}
	delete(l.openCalls, answer.Call)
	if answer.Accepted {
		l.pool.setDisabled(call.backend, call.detach)
	}
	call.accepted <- answer.Accepted
}

// post hands an event to the loop. After the loop has stopped it goes nowhere.
func (l *eventLoop) post(event any) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

const summaryInterval = 10 * time.Second

// run steps the balancer with what has come in, no oftener than the tick, until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer l.stop()
	var lastStep time.Duration
	var calls chan *adminCall // none before the module has the list: it would say that nobody has the backend
	wake := time.NewTimer(0)
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	var saveTick <-chan time.Time
	if l.saveSnapshot != nil {
		tick := time.NewTicker(snapshotInterval)
		defer tick.Stop()
		saveTick = tick.C
	}
	for {
		if len(l.pending) > 0 {
			wake.Reset(lastStep + l.cfg.Settings.Tick - l.clock.now())
		} else if len(l.timers) > 0 {
			wake.Reset(max(l.timers[0].at, lastStep+l.cfg.Settings.Tick) - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case call := <-calls:
			l.enqueueCall(call)
		case event := <-l.events:
			l.apply(event)
			l.applyPosted()
		case <-wake.C:
		case <-summary.C:
			l.logSummary()
		case <-saveTick:
			l.saveSnapshot(l.balancer.Snapshot())
		}
		if on := l.lameDuck.Load(); on != l.reportedLameDuck {
			l.reportedLameDuck = on
			l.pending = append(l.pending, balancer.Drain{On: on})
		}
		now := l.clock.now()
		if now < lastStep+l.cfg.Settings.Tick {
			continue
		}
		l.applyPosted()
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.pending = append(l.pending, balancer.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
		}
		if len(l.pending) == 0 {
			continue
		}
		l.prependPolicyUpdate()
		lastStep = now
		events := l.pending
		l.pending = nil
		for i, event := range events {
			// Its time has run on since it came in. It may be gone already: its client may be.
			if event, ok := event.(balancer.Request); ok && l.requests[event.ID] != nil {
				event.TimeRemaining = l.clock.at(l.requests[event.ID].deadline) - l.margin - now
				events[i] = event
			}
		}
		for _, action := range l.balancer.Step(now, events) {
			l.perform(action, now)
		}
		calls = l.calls
	}
}

// stop withdraws what is still out: nobody waits for it.
func (l *eventLoop) stop() {
	close(l.stopped)
	for _, r := range l.requests {
		for _, cancel := range r.cancels {
			cancel(errCancelled)
		}
	}
}

// applyPosted takes what else has come in.
func (l *eventLoop) applyPosted() {
	for range len(l.events) {
		l.apply(<-l.events)
	}
}

// apply books one event and keeps it for the next step. A served request is answered here: the
// client need not wait for the step.
func (l *eventLoop) apply(event any) {
	switch event := event.(type) {
	case requestArrived:
		if l.requests[event.id] != nil {
			event.reply <- reply{duplicate: true} // not for the table: the id belongs to the other one
			return
		}
		l.counts.requests++
		l.requests[event.id] = event.request
		l.pending = append(l.pending, balancer.Request{ID: event.id, Class: event.class, Work: event.sizeHint,
			ClientRetry: event.clientRetry, AffinityKey: event.key, ResidencyRule: event.residencyRule, Streaming: event.upstream.isLarge()})
	case bodyComplete:
		event.deadline = event.upstream.upload.completedAt.Add(event.timeout)
		for _, timer := range event.attemptTimers {
			timer.arm(event.deadline.Add(-l.margin))
		}
		l.pending = append(l.pending, balancer.BodyComplete{Request: event.id})
	case responseStarted:
		if event.finished {
			event.response.stream.finish(errRequestEnded)
			return
		}
		l.counts.served++
		l.respond(event.request, reply{response: event.response})
		l.pending = append(l.pending, balancer.ResponseStarted{Request: event.id, Attempt: event.attempt})
	case attemptEnded:
		event.openAttempts--
		event.attemptTimedOut = event.attemptTimedOut || event.outcome.Result == balancer.TimedOut
		if event.outcome.Result == balancer.OK && !event.finished {
			l.respond(event.request, reply{response: event.response})
			l.counts.served++
		}
		event.outcome.Done = event.finished
		if event.response != nil && event.response.stream != nil && event.outcome.Result != balancer.OK {
			l.counts.truncated++
		}
		if !event.finished && event.upstream.consumed() {
			l.pending = append(l.pending, balancer.BodyConsumed{Request: event.id})
		}
		l.pending = append(l.pending, event.outcome)
		l.removeIfDone(event.request)
	case clientDisconnected:
		if !event.finished {
			l.counts.disconnected++
			l.respond(event.request, reply{})
			if event.upstream.isLarge() && !event.upstream.upload.complete() { // it can't go on: that is no backend's fault
				for _, cancel := range event.cancels {
					cancel(errCancelled)
				}
			}
			l.pending = append(l.pending, balancer.Abandoned{Request: event.id})
			l.removeIfDone(event.request)
		}
	case deadlineExceeded:
		// The module answers every request before its deadline. This keeps the promise to the
		// client where it does not, and says so.
		if !event.finished {
			l.log.Error("no final answer by the deadline", "request", event.id, "attempts", len(event.cancels), "open", event.openAttempts,
				"left_on_arrival", event.timeout)
			l.counts.overdue++
			l.respond(event.request, reply{timedOut: true})
			l.pending = append(l.pending, balancer.Abandoned{Request: event.id})
			l.removeIfDone(event.request)
		}
	case discovery.Update:
		l.pool.applyUpdate(event)
		l.pending = append(l.pending, event.Endpoints)
		if len(event.Endpoints.Backends) > 0 {
			l.ready.Store(true)
		}
	case balancer.ProbeResult:
		delete(l.probing, event.Backend)
		l.pending = append(l.pending, event)
	case balancer.GossipReceived, balancer.Quota, balancer.ZoneLatencies:
		l.pending = append(l.pending, event.(balancer.Event))
	}
}

// respond gives a request its final answer, once.
func (l *eventLoop) respond(r *request, answer reply) {
	r.finished = true
	close(r.done)
	r.reply <- answer
}

// removeIfDone drops a request that is done with and has nothing out. Until then its id stays taken.
func (l *eventLoop) removeIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(l.requests, r.id)
	}
}

// perform does one action of the module.
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
			go func() { l.post(l.pool.probe(action.Backend)) }()
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

// startAttempt starts an attempt. Its goroutine ends by the client's deadline, or with a large body or answer
// that comes in time; there are no more of them than MaxAttempts for each request that is open.
func (l *eventLoop) startAttempt(action balancer.Send) {
	r := l.requests[action.Request]
	if r == nil || r.finished { // after a final answer nothing more is sent
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

func (l *eventLoop) logSummary() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.rejected,
		"failed", l.counts.failed, "gone", l.counts.disconnected, "attempts", l.counts.attempts, "late", l.counts.overdue, "cut", l.counts.truncated,
		"open", len(l.requests))
	l.counts = counts{}
}

// timer is a SetTimer that is pending.
type timer struct {
	at    time.Duration
	token int64
}

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
