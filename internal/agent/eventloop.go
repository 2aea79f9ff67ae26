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

// clock is the agent's monotonic clock. It starts at clockOffset, not zero, so that the start of a backend that is older
// than the agent has a time too.
type clock struct{ epoch time.Time }

const clockOffset = time.Hour

func newClock() clock                        { return clock{time.Now()} }
func (c clock) now() time.Duration           { return c.at(time.Now()) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.epoch) + clockOffset }

// request is a client's request from its arrival until the last of its attempts has ended. After it was posted, only the
// event loop uses it.
type request struct {
	id            string
	class         int
	upstream      *upstreamRequest
	deadline      time.Time     // when the client stops waiting
	timeout       time.Duration // from the last byte to the deadline
	sizeHint      time.Duration
	clientRetry   bool
	key           uint64        // hash of the session, for affinity; 0: none
	residencyRule int           // 0: none
	reply         chan reply    // buffered, so that the event loop never blocks
	done          chan struct{} // closed with the final reply

	finished        bool // it has its final reply, or its client has disconnected
	openAttempts    int
	cancels         []context.CancelCauseFunc
	attemptTimers   []*attemptTimer // by attempt, as cancels
	attemptTimedOut bool            // at least one attempt did
}

func newRequest(id string, class int) *request {
	return &request{id: id, class: class, reply: make(chan reply, 1), done: make(chan struct{})}
}

// reply is the final reply to a request. At most one of response, rejected, timedOut and duplicate is set; none: failed.
type reply struct {
	response   *response
	rejected   bool
	retryAfter time.Duration
	residency  bool // rejected since no backend is up where the residency policy permits to send
	timedOut   bool // failed for lack of time
	duplicate  bool // failed: another request with this id is open
}

// The events that are posted to the event loop, besides discovery.Update and the balancer's own events.
type (
	requestArrived     struct{ *request }
	clientDisconnected struct{ *request } // the client closed, reset or cancelled
	deadlineExceeded   struct{ *request } // the deadline and half of the grace are over without a reply
	bodyComplete       struct{ *request } // a streamed body has arrived to its last byte
	responseStarted    struct {           // the first bytes of an attempt's streaming response have arrived
		*request
		attempt  int
		response *response
	}
	attemptEnded struct { // the attempt has its result
		*request
		outcome  balancer.Outcome
		response *response
	}
)

// eventLoop owns the balancer, its timers and the table of open requests: one goroutine, run, uses them. All others post
// events to it. It never blocks on any of them.
type eventLoop struct {
	cfg          *Config
	log          *slog.Logger
	clock        clock
	balancer     *balancer.Balancer
	pool         *upstreamPool
	peers        *peerTransport
	subscribe    func()                  // asks discovery for a watch
	saveSnapshot func(balancer.Snapshot) // hands state to the next process; nil: nobody replaces this one

	residency        gate.Enforcer // nil: no residency policy
	policyGeneration int           // of the policy table that the balancer knows

	events           chan any
	calls            chan *adminCall // by operators; taken before events
	openCalls        map[int64]*adminCall
	stopped          chan struct{}
	ready            atomic.Bool
	lameDuck         atomic.Bool // operators drain the agent ...
	reportedLameDuck bool        // ... and the balancer knows
	margin           time.Duration
	requests         map[string]*request
	timers           timerHeap
	pending          []balancer.Event
	probing          map[string]bool // backends with a health check in flight, at most one each
	counts           counts
	lastCallID       int64
}

// counts are the counters since the last summary line.
type counts struct{ requests, served, rejected, failed, disconnected, attempts, overdue, truncated int }

func newEventLoop(cfg *Config, clk clock, pool *upstreamPool, log *slog.Logger) (*eventLoop, error) {
	balancer, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &eventLoop{cfg: cfg, log: log, clock: clk, balancer: balancer, pool: pool, subscribe: func() {},
		events: make(chan any, 1024), calls: make(chan *adminCall), openCalls: map[int64]*adminCall{}, stopped: make(chan struct{}),
		// An attempt that waits until the client's deadline ends one tick before it, so that the balancer sees the
		// timeout in time to answer the client.
		margin:   cfg.Settings.Tick,
		requests: map[string]*request{}, probing: map[string]bool{}}, nil
}

// adminCall is an operator's call to disable or enable a backend, on its way to the balancer.
type adminCall struct {
	ctx        context.Context // ends when the caller has been answered otherwise
	backend    string
	detach     bool
	replicated bool          // another process of this agent accepted it
	madeAt     time.Duration // on the loop's clock; 0: now
	accepted   chan bool     // buffered, so that the event loop never blocks
}

var errLoopStopped = errors.New("event loop stopped")

// submitCall passes a call to the balancer and reports whether it accepted it. It fails when ctx ends or the loop stops.
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

// enqueueCall queues a call for the next step, before the events that are already pending.
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

// completeCall answers a call as the balancer decided. The pool applies an accepted call before the caller knows.
func (l *eventLoop) completeCall(answer balancer.OverrideResult) {
	call := l.openCalls[answer.Call]
	if call == nil {
		l.log.Error("answer to an unknown admin call", "call", answer.Call)
		return
	}
	delete(l.openCalls, answer.Call)
	if answer.Accepted {
		l.pool.setDisabled(call.backend, call.detach)
	}
	call.accepted <- answer.Accepted
}

// post hands an event to the loop and blocks while its queue is full. After the loop has stopped the event is dropped.
func (l *eventLoop) post(event any) {
	select {
	case l.events <- event:
	case <-l.stopped:
	}
}

const summaryInterval = 10 * time.Second

// run steps the balancer with the events that have arrived, at most once each tick, until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer l.stop()
	var lastStep time.Duration
	var calls chan *adminCall // nil until the balancer has the list: before, it would answer that the backend does not exist
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
			// Time has passed since it arrived. It may be gone from the table: its client may have disconnected.
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

// stop cancels the attempts that are still out: nobody waits for them.
func (l *eventLoop) stop() {
	close(l.stopped)
	for _, r := range l.requests {
		for _, cancel := range r.cancels {
			cancel(errCancelled)
		}
	}
}

// applyPosted applies the events that are queued, without waiting.
func (l *eventLoop) applyPosted() {
	for range len(l.events) {
		l.apply(<-l.events)
	}
}

// apply books one event and keeps what the balancer has to know for the next step. A served request is answered at once,
// before the step.
func (l *eventLoop) apply(event any) {
	switch event := event.(type) {
	case requestArrived:
		if l.requests[event.id] != nil {
			event.reply <- reply{duplicate: true} // not tracked: the id belongs to the other request
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
			if event.upstream.isLarge() && !event.upstream.upload.complete() { // an incomplete upload can't go on, and no backend is to blame
				for _, cancel := range event.cancels {
					cancel(errCancelled)
				}
			}
			l.pending = append(l.pending, balancer.Abandoned{Request: event.id})
			l.removeIfDone(event.request)
		}
	case deadlineExceeded:
		// The balancer answers every request before its deadline. If it ever did not, the client would still get
		// its reply, and the log says so.
		if !event.finished {
			l.log.Error("request not answered by its deadline", "request", event.id, "attempts", len(event.cancels), "open", event.openAttempts,
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

// respond gives a request its final reply. It is called at most once for each.
func (l *eventLoop) respond(r *request, answer reply) {
	r.finished = true
	close(r.done)
	r.reply <- answer
}

// removeIfDone drops a request that has its reply and no attempt out. Until then its id stays taken.
func (l *eventLoop) removeIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(l.requests, r.id)
	}
}

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

func (l *eventLoop) logSummary() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.rejected,
		"failed", l.counts.failed, "gone", l.counts.disconnected, "attempts", l.counts.attempts, "late", l.counts.overdue, "cut", l.counts.truncated,
		"open", len(l.requests))
	l.counts = counts{}
}

// timer is a pending timer of the balancer.
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
