package agent

import (
	"context"
	"runtime/debug"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/discovery"
	"martenbeam/internal/agent/handover"
	"martenbeam/internal/agent/listener"
	"martenbeam/internal/bootclock"
)

const (
	lookEvery = 50 * time.Millisecond  // for calls to the other process
	saveEvery = 500 * time.Millisecond // what the module would hand on
	// A yes is due within 6 s. Until then a process that replaces another may wait for its place and for what the other has
	// recorded, and less long for a list.
	placeWithin  = time.Second
	recordWithin = 5 * time.Second // after the start
	readyWithin  = 3 * time.Second
)

// successor is this process's part in the replacing of one process of an agent by another.
type successor struct {
	*handover.Store
	snapshots chan balancer.Snapshot // of the loop, the latest
	started   time.Time
	halved    bool // another process may have the other half of the limits
	followed  bool
}

// offer keeps what the module would hand on now, in place of what it would have before.
func (s *successor) offer(snapshot balancer.Snapshot) {
	select {
	case <-s.snapshots:
	default:
	}
	s.snapshots <- snapshot
}

// prepareHandover finds out whether an older process of this agent is there. While it is, the two share out what one may use,
// and so they do as long as that is not known.
func (a *Agent) prepareHandover(ctx context.Context) {
	s := &successor{Store: handover.New(a.cfg.Scratch, a.log), snapshots: make(chan balancer.Snapshot, 1), started: time.Now()}
	a.successor = s
	ctx, cancel := context.WithTimeout(ctx, placeWithin)
	defer cancel()
	_, err := listener.Retry(ctx, nil, func() (struct{}, error) { return struct{}{}, s.Begin() })
	if err != nil {
		a.log.Error("nothing can be recorded for a successor yet", "error", err)
	}
	if a.operations != nil {
		a.operations.Record = s.Keep
	}
	a.discovery.Record = a.recordList
	a.loop.handOn = s.offer
	if s.halved = !s.Alone(); s.halved {
		a.listener.Reserve(a.halfOfAccepts())
		a.allow(a.cfg.halved())
	}
}

func (a *Agent) recordList(from string, list *discovery.EndpointList) {
	if err := a.successor.SaveList(from, list); err != nil {
		a.log.Warn("the list is not recorded for a successor", "error", err)
	}
}

func (a *Agent) halfOfAccepts() int {
	return acceptSockets(a.cfg.shareable()) - acceptSockets(a.cfg.halved().shareable())
}

// allow keeps this process to the limits of c.
func (a *Agent) allow(c *Config) {
	a.backends.allow(backendSockets(c.shareable()))
	a.front.allow(clientSockets(c.shareable()))
	c.LimitMemory()
}

// inherit goes on where an earlier process of this agent was, before the loop runs. What that one was told holds here, so
// clients wait as long as the record can't be read.
func (a *Agent) inherit(stop context.Context) {
	calls, lame, ok := a.successor.Look()
	for !ok && time.Since(a.successor.started) < recordWithin && stop.Err() == nil {
		time.Sleep(lookEvery / 10)
		calls, lame, ok = a.successor.Look()
	}
	if !ok {
		a.log.Error("what an earlier process recorded can't be read yet")
	}
	r := a.successor.Known() // as it stands by now: the older process has gone on recording
	a.front.setLame(lame)
	if r.List != nil && r.From == a.cfg.Discovery {
		a.cfg.Known = r.List // later than the one in the configuration, which is as old as the first process
	}
	a.log.Info("handover", "turn", a.successor.Turn(), "alone", a.successor.Alone(), "calls", len(calls), "lame", lame,
		"list", r.List != nil)
	if r.Snapshot != nil {
		a.loop.pending = append(a.loop.pending, balancer.Restore{Snapshot: *r.Snapshot})
	}
	for _, c := range calls {
		carried := a.carried(c)
		carried.taken = make(chan bool, 1)
		a.loop.takeCall(carried)
	}
}

// carried is a call to another process of this agent, as the loop takes it.
func (a *Agent) carried(c handover.Call) *call {
	carried := &call{ctx: context.Background(), backend: c.Backend, detach: c.Out, carried: true}
	if !c.Out {
		carried.at = a.loop.clock.now() - (bootclock.SinceBoot() - c.At)
	}
	return carried
}

// awaitList waits for a list of backends: before, no client could be served. Those that connect
// meanwhile have the older process to serve them.
func (a *Agent) awaitList(stop context.Context) {
	within := time.NewTimer(min(readyWithin, recordWithin-time.Since(a.successor.started)))
	defer within.Stop()
	look := time.NewTicker(lookEvery / 10)
	defer look.Stop()
	for !a.loop.ready.Load() {
		select {
		case <-look.C:
		case <-within.C:
			a.log.Warn("taking clients without a list")
			return
		case <-stop.Done():
			return
		}
	}
}

// share keeps to the calls that another process of this agent takes, and to half of the limits while
// there is one, until ctx ends.
func (a *Agent) share(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-a.successor.snapshots:
			if err := a.successor.Save(snapshot); err != nil {
				a.log.Warn("nothing is recorded for a successor", "error", err)
			}
			continue
		case <-tick.C:
		}
		a.shareCalls(ctx)
		a.shareLimits()
	}
}

// shareCalls has the calls to both processes hold in both, and in the record.
func (a *Agent) shareCalls(ctx context.Context) {
	if err := a.successor.Begin(); err != nil {
		return // said at the start
	}
	_ = a.successor.Flush(ctx) // said when they were taken, and tried again
	calls, lame, _ := a.successor.Look()
	for _, c := range calls {
		if _, err := a.loop.call(ctx, a.carried(c)); err != nil {
			a.log.Warn("a call to another process does not hold here", "backend", c.Backend, "error", err)
		}
	}
	if a.loop.lame.Load() != lame {
		a.front.setLame(lame)
		a.log.Info("lame duck, by a call to another process", "on", lame)
	}
}

// shareLimits keeps this process to half of the limits while another may be there.
func (a *Agent) shareLimits() {
	s := a.successor
	switch {
	case s.halved && !s.followed && s.First():
		s.halved = false
		a.listener.Reserve(-a.halfOfAccepts())
		a.allow(a.cfg)
		a.log.Info("the older process has ended")
	case !s.followed && s.Followed():
		s.followed = true
		a.allow(a.cfg.halved())
		debug.FreeOSMemory()
		a.log.Info("a successor has started")
	case s.followed && s.SuccessorEnded():
		s.followed = false
		a.allow(a.cfg)
		a.log.Warn("the successor has ended before it took the clients")
	}
}
