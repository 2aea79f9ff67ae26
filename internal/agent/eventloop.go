package agent

// The event loop, which owns the balancer.

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/peers"
	"martenbeam/internal/agent/upstream"
	"martenbeam/internal/residency/gate"
)

// eventLoop owns the balancer, its timers and the table of open requests. Once run has started, only its goroutine uses these
// three; other goroutines post events to the loop, which never blocks on another goroutine.
type eventLoop struct {
	cfg          *Config
	log          *slog.Logger
	clock        clock
	balancer     *balancer.Balancer
	pool         *upstream.Pool
	peers        *peers.Transport
	subscribe    func()                  // makes discovery open a watch
	saveSnapshot func(balancer.Snapshot) // passes state to the next process; nil: no process replaces this one

	residency        gate.Enforcer // nil: no residency policy
	policyGeneration int           // generation of the policy table that the balancer has

	events           chan event
	calls            chan *adminCall // admin calls, which the balancer gets before the pending events
	openCalls        map[int64]*adminCall
	stopped          chan struct{}
	ready            atomic.Bool
	lameDuck         atomic.Bool   // operators drain the agent
	reportedLameDuck bool          // lameDuck as last passed to the balancer
	margin           time.Duration // attempts are cancelled this long before the client's deadline
	requests         map[string]*request
	timers           timerHeap
	pending          []balancer.Event // for the next step
	lastStep         time.Duration    // start of the balancer's last step
	probing          map[string]bool  // backends with a health check in flight; each has at most one
	counts           counts
	stepDue          time.Duration // when the next step is due; 0: no step is due
	stepDelay        time.Duration // longest time by which a step was late since the last summary
	memoryRejections atomic.Int64  // requests that the frontend has rejected for want of memory since the last summary
	streamedShares   streamedShares
	answerRefusals   atomic.Int64                  // requests that failed since the last summary because no memory was left for their streaming responses
	logResources     func(stepDelay time.Duration) // logs what the process holds
	lastCallID       int64
}

// counts are the counters since the last summary in the log.
type counts struct{ requests, served, rejected, failed, disconnected, attempts, overdue, truncated int }

func newEventLoop(cfg *Config, clk clock, pool *upstream.Pool, log *slog.Logger) (*eventLoop, error) {
	b, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &eventLoop{cfg: cfg, log: log, clock: clk, balancer: b, pool: pool, subscribe: func() {},
		logResources: func(time.Duration) {}, streamedShares: make(streamedShares, len(cfg.Settings.Classes)),
		events: make(chan event, 1024), calls: make(chan *adminCall), openCalls: map[int64]*adminCall{},
		stopped: make(chan struct{}),
		// An attempt whose response has not started is cancelled one tick before the client's deadline, so that the balancer
		// gets the timeout in time to answer the client.
		margin:   cfg.Settings.Tick,
		requests: map[string]*request{}, probing: map[string]bool{}}, nil
}

// post queues an event for the loop, and blocks while the queue is full. It drops the event once the loop has stopped.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.stopped:
	}
}

const (
	summaryInterval  = 10 * time.Second
	snapshotInterval = 500 * time.Millisecond // between two snapshots for the next process
)

// run passes the events that have arrived to the balancer, in at most one step per tick, until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer l.stop()
	// Nil until the first step, which gives the balancer its first endpoint list: without a list no backend is known, and each
	// call would fail.
	var calls chan *adminCall
	stepTimer := time.NewTimer(0)
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	var saveTick <-chan time.Time
	if l.saveSnapshot != nil {
		tick := time.NewTicker(snapshotInterval)
		defer tick.Stop()
		saveTick = tick.C
	}
	for {
		l.scheduleStep(stepTimer)
		select {
		case <-ctx.Done():
			return
		case call := <-calls:
			l.enqueueCall(call)
		case e := <-l.events:
			l.apply(e)
			l.applyPosted()
		case <-stepTimer.C:
		case <-summary.C:
			l.logSummary()
		case <-saveTick:
			l.saveSnapshot(l.balancer.Snapshot())
		}
		l.reportLameDuck()
		if l.step() {
			calls = l.calls
		}
	}
}

// scheduleStep sets the timer to the time of the next step: one tick after the last step if events are pending, otherwise when
// the balancer's next timer is due, but at least one tick after the last step.
func (l *eventLoop) scheduleStep(stepTimer *time.Timer) {
	now := l.clock.now()
	switch {
	case len(l.pending) > 0:
		l.stepDue = max(now, l.lastStep+l.cfg.Settings.Tick)
	case len(l.timers) > 0:
		l.stepDue = max(now, l.timers[0].at, l.lastStep+l.cfg.Settings.Tick)
	default:
		l.stepDue = 0
		stepTimer.Stop()
		return
	}
	stepTimer.Reset(l.stepDue - now)
}

// reportLameDuck queues an event for the balancer if operators have switched the lame duck state.
func (l *eventLoop) reportLameDuck() {
	if on := l.lameDuck.Load(); on != l.reportedLameDuck {
		l.reportedLameDuck = on
		l.pending = append(l.pending, balancer.Drain{On: on})
	}
}

// step passes the pending events to the balancer, performs the resulting actions and returns true. If no event is pending or
// the last step was less than a tick ago, it does neither and returns false.
func (l *eventLoop) step() bool {
	now := l.clock.now()
	if now < l.lastStep+l.cfg.Settings.Tick {
		return false
	}
	l.applyPosted()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		l.pending = append(l.pending, balancer.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
	}
	if len(l.pending) == 0 {
		return false
	}
	l.prependPolicyUpdate()
	l.lastStep = now
	if l.stepDue > 0 {
		l.stepDelay = max(l.stepDelay, now-l.stepDue)
	}
	events := l.pending
	l.pending = nil
	for i, pending := range events {
		events[i] = l.withTimeRemaining(pending, now)
	}
	for _, action := range l.balancer.Step(now, events) {
		l.perform(action, now)
	}
	return true
}

// withTimeRemaining sets the remaining time of an event that carries one. It is computed at the step, because the event has
// waited for the step since its arrival. A request whose client has disconnected is no longer in the table.
func (l *eventLoop) withTimeRemaining(pending balancer.Event, now time.Duration) balancer.Event {
	remaining := func(id string) time.Duration { return l.clock.at(l.requests[id].deadline) - l.margin - now }
	switch arrived := pending.(type) {
	case balancer.Request:
		if l.requests[arrived.ID] != nil {
			arrived.TimeRemaining = remaining(arrived.ID)
		}
		return arrived
	case balancer.BodyComplete:
		if l.requests[arrived.Request] != nil {
			arrived.TimeRemaining = max(1, remaining(arrived.Request))
		}
		return arrived
	}
	return pending
}

// stop closes stopped and cancels the attempts in flight, because no client waits for them after the loop has stopped.
func (l *eventLoop) stop() {
	close(l.stopped)
	for _, r := range l.requests {
		for _, cancel := range r.cancels {
			cancel(upstream.ErrCancelled)
		}
	}
}

// applyPosted applies the queued events and does not wait for more.
func (l *eventLoop) applyPosted() {
	for range len(l.events) {
		l.apply(<-l.events)
	}
}

// apply applies one event to the loop's state.
func (l *eventLoop) apply(e event) { e.applyTo(l) }

// respond sends the final reply of a request to its handler. It is called at most once for each request.
func (l *eventLoop) respond(r *request, answer reply) {
	r.finished = true
	answer.notSent = len(r.cancels) == 0
	close(r.done)
	r.reply <- answer
}

// removeIfDone removes a request that has its reply and no attempt in flight. Until then no other request may use its id.
func (l *eventLoop) removeIfDone(r *request) {
	if r.finished && r.openAttempts == 0 {
		delete(l.requests, r.id)
	}
}

// logSummary logs the counters and resets them.
func (l *eventLoop) logSummary() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.rejected,
		"failed", l.counts.failed, "gone", l.counts.disconnected, "attempts", l.counts.attempts, "late", l.counts.overdue,
		"cut", l.counts.truncated, "open", len(l.requests), "memory", l.memoryRejections.Swap(0))
	l.counts = counts{}
	l.logResources(l.stepDelay)
	l.stepDelay = 0
}

// prependPolicyUpdate puts a changed residency policy before the pending events, so that it applies to their requests.
func (l *eventLoop) prependPolicyUpdate() {
	if l.residency == nil {
		return
	}
	if t := l.residency.Table(); t.Generation != l.policyGeneration {
		l.policyGeneration = t.Generation
		l.pending = append([]balancer.Event{balancer.Residency{Table: t}}, l.pending...)
	}
}
