package agent

// The event loop, which owns the balancer.

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/residency/gate"
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

func (l *eventLoop) logSummary() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.rejected,
		"failed", l.counts.failed, "gone", l.counts.disconnected, "attempts", l.counts.attempts, "late", l.counts.overdue, "cut", l.counts.truncated,
		"open", len(l.requests))
	l.counts = counts{}
}

// prependPolicyUpdate puts a changed residency policy before the pending events: it applies to the requests among them.
func (l *eventLoop) prependPolicyUpdate() {
	if l.residency == nil {
		return
	}
	if t := l.residency.Table(); t.Generation != l.policyGeneration {
		l.policyGeneration = t.Generation
		l.pending = append([]balancer.Event{balancer.Residency{Table: t}}, l.pending...)
	}
}
