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
type clock struct{ base time.Time }

const clockOffset = time.Hour

func newClock() clock                        { return clock{time.Now()} }
func (c clock) now() time.Duration           { return c.at(time.Now()) }
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.base) + clockOffset }

// request is a client's request from when it was taken until its attempts are in. Only the loop
// touches it after it was posted.
type request struct {
	id       string
	class    int
	message  *message
	deadline time.Time     // the client stops waiting
	left     time.Duration // until then, as the client told it
	work     time.Duration
	repeat   bool
	key      uint64        // a hash of what it concerns; 0: unknown
	rule     int           // of residency; 0: none
	reply    chan reply    // of one, so that the loop never waits
	over     chan struct{} // closed with the final answer

	done     bool // has its final answer, or its client is gone
	open     int  // attempts out
	cancels  []context.CancelCauseFunc
	times    []*expiry // of these attempts
	timedOut bool      // an attempt did
}

func newRequest(id string, class int) *request {
	return &request{id: id, class: class, reply: make(chan reply, 1), over: make(chan struct{})}
}

// reply is a final answer. Exactly one field is set, or none: failed.
type reply struct {
	served     *answer
	refused    bool
	retryAfter time.Duration
	residency  bool // refused, since nowhere that is permitted a backend is up
	timedOut   bool // failed, for want of time
	duplicate  bool // failed: another request with this id is open
}

// What is posted to the loop, besides discovery.Update and the module's own ProbeResult and PeerMessage.
type (
	arrived    struct{ *request }
	clientGone struct{ *request } // closed, reset, or withdrew
	overdue    struct{ *request } // its time and half the grace are up and no answer is there
	whole      struct{ *request } // its large body has come to the last byte
	began      struct {           // the answer of an attempt is large, and its first bytes are here
		*request
		attempt int
		answer  *answer
	}
	ended struct { // an attempt
		*request
		outcome balancer.Outcome
		answer  *answer
	}
)

// loop owns the balancer, the clock, the timers and the table of open requests. Everything else
// posts events to it; it never waits for any of them.
type loop struct {
	cfg      *Config
	log      *slog.Logger
	clock    clock
	balancer *balancer.Balancer
	backends *backends
	peers    *peers
	watch    func()                  // asks discovery for a watch
	handOn   func(balancer.Snapshot) // to the next process, now and then; may be nil

	residency gate.Keeper // nil: no policy
	resides   int         // the table that the module has heard of

	events   chan any
	calls    chan *call // of operators, ahead of the events
	asked    map[int64]*call
	stopped  chan struct{}
	ready    atomic.Bool
	lame     atomic.Bool // operators empty the agent ...
	toldLame bool        // ... as the module has heard
	margin   time.Duration
	requests map[string]*request
	timers   timerHeap
	pending  []balancer.Event
	probing  map[string]bool // one probe of a backend at a time
	counts   counts
	callID   int64
}

// counts are what the agent did since its last line about it.
type counts struct{ requests, served, refused, failed, gone, attempts, late, cut int }

func newLoop(cfg *Config, ck clock, b *backends, log *slog.Logger) (*loop, error) {
	balancer, err := balancer.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &loop{cfg: cfg, log: log, clock: ck, balancer: balancer, backends: b, watch: func() {},
		events: make(chan any, 1024), calls: make(chan *call), asked: map[int64]*call{}, stopped: make(chan struct{}),
		// An attempt that waits for the client's deadline ends one tick before it: its time-out
		// reaches the module in time for the client to hear the final answer.
		margin:   cfg.Settings.Tick,
		requests: map[string]*request{}, probing: map[string]bool{}}, nil
}

// call is an operator's word on a backend, on its way to the module.
type call struct {
	ctx     context.Context // the caller has had another answer once it ends
	backend string
	detach  bool
	carried bool          // another process of this agent took it
	at      time.Duration // when; 0: now
	taken   chan bool     // of one, so that the loop never waits
}

var errNoLoop = errors.New("the loop has ended")

// call puts a call to the module, and reports whether it has taken it.
func (l *loop) call(ctx context.Context, c *call) (bool, error) {
	c.ctx, c.taken = ctx, make(chan bool, 1)
	select {
	case l.calls <- c:
	case <-l.stopped:
		return false, errNoLoop
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
	select {
	case taken := <-c.taken:
		return taken, nil
	case <-l.stopped:
		return false, errNoLoop
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
}

// takeCall keeps a call for the next step, before what else is waiting for it.
func (l *loop) takeCall(c *call) {
	if c.ctx.Err() != nil {
		return
	}
	l.callID++
	l.asked[l.callID] = c
	e := balancer.Event(balancer.Attach{Call: l.callID, Backend: c.backend, Carried: c.carried, At: c.at})
	if c.detach {
		e = balancer.Detach{Call: l.callID, Backend: c.backend, Carried: c.carried}
	}
	l.pending = slices.Insert(l.pending, 0, e)
}

// answer ends a call as the module says. What the backends are told of it holds before the yes.
func (l *loop) answer(a balancer.Answer) {
	c := l.asked[a.Call]
	if c == nil {
		l.log.Error("an answer to no call", "call", a.Call)
		return
	}
	delete(l.asked, a.Call)
	if a.Taken {
		l.backends.detach(c.backend, c.detach)
	}
	c.taken <- a.Taken
}

// post hands an event to the loop. After the loop has stopped it goes nowhere.
func (l *loop) post(e any) {
	select {
	case l.events <- e:
	case <-l.stopped:
	}
}

const summaryEvery = 10 * time.Second

// run steps the balancer with what has come in, no oftener than the tick, until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer l.end()
	var last time.Duration
	var calls chan *call // none before the module has the list: it would say that nobody has the backend
	wake := time.NewTimer(0)
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	var save <-chan time.Time
	if l.handOn != nil {
		tick := time.NewTicker(saveEvery)
		defer tick.Stop()
		save = tick.C
	}
	for {
		if len(l.pending) > 0 {
			wake.Reset(last + l.cfg.Settings.Tick - l.clock.now())
		} else if len(l.timers) > 0 {
			wake.Reset(max(l.timers[0].at, last+l.cfg.Settings.Tick) - l.clock.now())
		} else {
			wake.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case c := <-calls:
			l.takeCall(c)
		case e := <-l.events:
			l.take(e)
			l.drain()
		case <-wake.C:
		case <-summary.C:
			l.summarize()
		case <-save:
			l.handOn(l.balancer.Snapshot())
		}
		if on := l.lame.Load(); on != l.toldLame {
			l.toldLame = on
			l.pending = append(l.pending, balancer.Emptying{On: on})
		}
		now := l.clock.now()
		if now < last+l.cfg.Settings.Tick {
			continue
		}
		l.drain()
		for len(l.timers) > 0 && l.timers[0].at <= now {
			l.pending = append(l.pending, balancer.TimerFired{Token: heap.Pop(&l.timers).(timer).token})
		}
		if len(l.pending) == 0 {
			continue
		}
		l.reside()
		last = now
		events := l.pending
		l.pending = nil
		for i, e := range events {
			// Its time has run on since it came in. It may be gone already: its client may be.
			if e, ok := e.(balancer.Request); ok && l.requests[e.ID] != nil {
				e.Left = l.clock.at(l.requests[e.ID].deadline) - l.margin - now
				events[i] = e
			}
		}
		for _, a := range l.balancer.Step(now, events) {
			l.carryOut(a, now)
		}
		calls = l.calls
	}
}

// end withdraws what is still out: nobody waits for it.
func (l *loop) end() {
	close(l.stopped)
	for _, r := range l.requests {
		for _, cancel := range r.cancels {
			cancel(errCancelled)
		}
	}
}

// drain takes what else has come in.
func (l *loop) drain() {
	for range len(l.events) {
		l.take(<-l.events)
	}
}

// take books one event and keeps it for the next step. A served request is answered here: the
// client need not wait for the step.
func (l *loop) take(e any) {
	switch e := e.(type) {
	case arrived:
		if l.requests[e.id] != nil {
			e.reply <- reply{duplicate: true} // not for the table: the id belongs to the other one
			return
		}
		l.counts.requests++
		l.requests[e.id] = e.request
		l.pending = append(l.pending, balancer.Request{ID: e.id, Class: e.class, Work: e.work,
			Repeat: e.repeat, Key: e.key, Rule: e.rule, Coming: e.message.large()})
	case whole:
		e.deadline = e.message.upload.at.Add(e.left)
		for _, x := range e.times {
			x.arm(e.deadline.Add(-l.margin))
		}
		l.pending = append(l.pending, balancer.BodyWhole{Request: e.id})
	case began:
		if e.done {
			e.answer.rest.end(errEnded)
			return
		}
		l.counts.served++
		l.finish(e.request, reply{served: e.answer})
		l.pending = append(l.pending, balancer.StreamStarted{Request: e.id, Attempt: e.attempt})
	case ended:
		e.open--
		e.timedOut = e.timedOut || e.outcome.Result == balancer.TimedOut
		if e.outcome.Result == balancer.OK && !e.done {
			l.finish(e.request, reply{served: e.answer})
			l.counts.served++
		}
		e.outcome.Done = e.done
		if e.answer != nil && e.answer.rest != nil && e.outcome.Result != balancer.OK {
			l.counts.cut++
		}
		if !e.done && e.message.spent() {
			l.pending = append(l.pending, balancer.BodySpent{Request: e.id})
		}
		l.pending = append(l.pending, e.outcome)
		l.forget(e.request)
	case clientGone:
		if !e.done {
			l.counts.gone++
			l.finish(e.request, reply{})
			if e.message.large() && !e.message.upload.complete() { // it can't go on: that is no backend's fault
				for _, cancel := range e.cancels {
					cancel(errCancelled)
				}
			}
			l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
			l.forget(e.request)
		}
	case overdue:
		// The module answers every request before its deadline. This keeps the promise to the
		// client where it does not, and says so.
		if !e.done {
			l.log.Error("no final answer by the deadline", "request", e.id, "attempts", len(e.cancels), "open", e.open,
				"left_on_arrival", e.left)
			l.counts.late++
			l.finish(e.request, reply{timedOut: true})
			l.pending = append(l.pending, balancer.Abandoned{Request: e.id})
			l.forget(e.request)
		}
	case discovery.Update:
		l.backends.update(e)
		l.pending = append(l.pending, e.Endpoints)
		if len(e.Endpoints.Backends) > 0 {
			l.ready.Store(true)
		}
	case balancer.ProbeResult:
		delete(l.probing, e.Backend)
		l.pending = append(l.pending, e)
	case balancer.PeerMessage, balancer.Part, balancer.Distances:
		l.pending = append(l.pending, e.(balancer.Event))
	}
}

// finish gives a request its final answer, once.
func (l *loop) finish(r *request, a reply) {
	r.done = true
	close(r.over)
	r.reply <- a
}

// forget drops a request that is done with and has nothing out. Until then its id stays taken.
func (l *loop) forget(r *request) {
	if r.done && r.open == 0 {
		delete(l.requests, r.id)
	}
}

// carryOut does one action of the module.
func (l *loop) carryOut(a balancer.Action, now time.Duration) {
	switch a := a.(type) {
	case balancer.Send:
		l.send(a)
	case balancer.Cancel:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.cancels) && l.cfg.Settings.MayCancel {
			r.cancels[a.Attempt](errCancelled)
		}
	case balancer.Refuse:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.counts.refused++
			l.finish(r, reply{refused: true, retryAfter: a.RetryAfter, residency: a.Residency})
			l.forget(r)
		}
	case balancer.Fail:
		if r := l.requests[a.Request]; r != nil && !r.done {
			l.counts.failed++
			l.finish(r, reply{timedOut: r.timedOut})
			l.forget(r)
		}
	case balancer.SetTimer:
		heap.Push(&l.timers, timer{now + a.After, a.Token})
	case balancer.Probe:
		if l.cfg.Settings.MayProbe && !l.probing[a.Backend] {
			l.probing[a.Backend] = true
			go func() { l.post(l.backends.probe(a.Backend)) }()
		}
	case balancer.TellPeer:
		if l.peers != nil {
			l.peers.tell(a.To, a.Data)
		}
	case balancer.Subscribe:
		l.watch()
	case balancer.ZoneTurn:
		name := strconv.Itoa(a.Zone)
		if zones := l.cfg.Site.Zones; a.Zone >= 0 && a.Zone < len(zones) {
			name = zones[a.Zone]
		}
		l.log.Warn("zone", "zone", name, "left", a.Left, "told", a.Told)
	case balancer.Answer:
		l.answer(a)
	default:
		l.log.Error("unknown action", "action", a)
	}
}

// send starts an attempt. Its goroutine ends by the client's deadline, or with a large body or answer
// that comes in time; there are no more of them than MaxAttempts for each request that is open.
func (l *loop) send(a balancer.Send) {
	r := l.requests[a.Request]
	if r == nil || r.done { // after a final answer nothing more is sent
		l.pending = append(l.pending, balancer.Outcome{Request: a.Request, Backend: a.Backend,
			Result: balancer.NotSent, Done: true})
		return
	}
	start := time.Now()
	until := r.deadline.Add(-l.margin)
	if a.Timeout > 0 && start.Add(a.Timeout).Before(until) {
		until = start.Add(a.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	n, x := len(r.cancels), &expiry{cancel: cancel}
	r.cancels, r.times = append(r.cancels, cancel), append(r.times, x)
	if !r.message.large() || r.message.upload.complete() {
		x.arm(until)
	}
	r.open++
	l.counts.attempts++
	at, last := l.backends.standing(a.Backend), time.Time{}
	if a.Before > 0 {
		last = l.clock.base.Add(a.Before - clockOffset)
	}
	go func() {
		t := &try{ctx: ctx, cancel: cancel, over: r.over, quit: l.stopped, id: a.Backend, at: at, last: last, m: r.message,
			rule: r.rule, start: start, until: until}
		t.began = func(ans *answer, took time.Duration) bool {
			if !x.begin() {
				return false
			}
			l.post(began{r, n, ans})
			return true
		}
		result, ans, load := l.backends.try(t)
		x.begin()
		cancel(nil)
		if t.took == 0 {
			t.took = t.latency()
		}
		l.post(ended{r, balancer.Outcome{Request: r.id, Attempt: n, Backend: a.Backend, Result: result,
			Latency: t.took, New: t.fresh, Load: load}, ans})
	}()
}

func (l *loop) summarize() {
	l.log.Info("summary", "requests", l.counts.requests, "served", l.counts.served, "refused", l.counts.refused,
		"failed", l.counts.failed, "gone", l.counts.gone, "attempts", l.counts.attempts, "late", l.counts.late, "cut", l.counts.cut,
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
