// Package lab plays a whole fleet on one machine: real agent processes, and around them clients, backends,
// discovery and a network with faults, all in this process.
//
// One lock guards the world. What happens at a time goes through the agenda, which one goroutine works off;
// everything else only waits for sockets. How late the agenda and the arrivals are is measured, and a lab that
// is too late gives no verdict.
package lab

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenbeam/internal/bootclock"
	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
)

// Options say what to play.
type Options struct {
	Scenario *scenario.Scenario
	Seed     uint64
	Agent    []string // the agent's command line
	Hub      []string // a hub's, before --config and its file; needed where the scenario has hubs
	Env      []string // more of its environment
	Dir      string   // where processes have their configuration, log and what they keep
	Events   io.Writer
	Visitors bool                 // requests from elsewhere are served, and not judged
	Ready    func(l *Lab)         // called once clients are about to start
	Second   func(l *Lab, s View) // called after each second
}

// Lab is one run.
type Lab struct {
	Options
	block *block
	base  time.Time     // when the lab was made
	boot  time.Duration // the same, since the machine's start
	begun atomic.Int64  // when its time began to count, after base, ns
	rng   rng.Source
	scale float64 // of work and of every time that goes with it
	kinds []class

	mu        sync.Mutex
	agenda    agenda
	seq       uint64
	poke      chan struct{}
	net       *netfault.Network
	check     *check.Checker
	tally     *check.Tally
	late      *hdrhistogram.Histogram // us
	hosts     []*host
	agents    []*agent
	hubs      []*hub
	disc      *discovery
	fleet     *fleetLinks      // nil: agents have no fleet
	resident  *check.Residency // nil: no policy is in force
	downs     []down           // ends of agents' processes
	given     []given          // settings, in order
	reach     []reach          // who could reach whom, by changes
	changed   []time.Duration  // when the network did
	starts    []time.Duration  // that processes took from their start until they took clients
	attempts  map[uint64]*attempt
	pods      map[podKey]bool // keys that pods have met
	attempt   uint64          // number of the latest
	parked    []parked
	burst     float64
	faults    []string // under way, for the table
	crashes   []string
	fallen    int          // machines pushed over while cold
	spans     []check.Span // in which zones can't be reached
	shutTill  time.Duration
	watching  bool                   // for connections that don't come up
	ways      map[netip.AddrPort]way // whose address that is
	quotas    []quota
	gateLock  sync.Mutex // gates change one set after the other
	datagrams int        // between agents
	err       error
	closing   bool

	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	starter  chan func()
	recorder *recorder
}

// parked is a message that waits at its sender until its way is free.
type parked struct {
	from, to netfault.Endpoint
	send     func(now time.Duration)
}

type entry struct {
	at  time.Duration
	seq uint64
	do  func(now time.Duration)
}

type agenda []entry

func (h agenda) Len() int { return len(h) }
func (h agenda) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h agenda) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *agenda) Push(x any)   { *h = append(*h, x.(entry)) }
func (h *agenda) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return e
}

func (l *Lab) now() time.Duration { return time.Since(l.base) - time.Duration(l.begun.Load()) }

// wall is a time of the run by the clock that every machine reads.
func (l *Lab) wall(t time.Duration) time.Time { return l.base.Add(time.Duration(l.begun.Load()) + t) }

// traceTime is a time of the run as the lines have it that agents and hubs write: in microseconds since the machine's start.
func (l *Lab) traceTime(t time.Duration) int64 {
	return (l.boot + time.Duration(l.begun.Load()) + t).Microseconds()
}

// at puts something on the agenda. The lock is held.
func (l *Lab) at(t time.Duration, do func(now time.Duration)) {
	l.seq++
	heap.Push(&l.agenda, entry{t, l.seq, do})
	if l.agenda[0].seq == l.seq {
		l.wake()
	}
}

func (l *Lab) wake() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// turn does everything that is due, in order, each at its own time.
func (l *Lab) turn(now time.Duration) (next time.Duration) {
	for {
		due, machine := time.Duration(1<<62), (*host)(nil)
		if len(l.agenda) > 0 {
			due = l.agenda[0].at
		}
		for _, h := range l.hosts {
			if t := h.m.NextEvent(); t < due {
				due, machine = t, h
			}
		}
		if due > now {
			return due
		}
		l.lateBy(now - due)
		if machine != nil {
			l.ended(machine, machine.m.Advance(due))
			continue
		}
		heap.Pop(&l.agenda).(entry).do(due)
	}
}

func (l *Lab) lateBy(d time.Duration) {
	_ = l.late.RecordValue(min(max(1, d.Microseconds()), maxLate)) // within its range
}

const maxLate = int64(time.Minute / time.Microsecond)

// drive works off the agenda until the run ends.
func (l *Lab) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for l.ctx.Err() == nil {
		l.mu.Lock()
		next := l.turn(l.now())
		l.mu.Unlock()
		timer.Reset(max(0, next-l.now()))
		select {
		case <-timer.C:
		case <-l.poke:
		case <-l.ctx.Done():
		}
	}
}

// New prepares a run: it checks what the machine allows, and claims addresses.
func New(o Options) (*Lab, error) {
	s := o.Scenario
	if err := descriptors(s); err != nil {
		return nil, err
	}
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, err
	}
	o.Dir = dir
	b, err := claimBlock()
	if err != nil {
		return nil, err
	}
	l := &Lab{Options: o, block: b, rng: rng.New(o.Seed), poke: make(chan struct{}, 1), burst: 1,
		late: hdrhistogram.New(1, maxLate, 3), attempts: map[uint64]*attempt{}, pods: map[podKey]bool{}, starter: make(chan func()),
		tally: check.NewTally(s.WarmUp.Duration()), recorder: newRecorder(o.Events)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.net = netfault.New(l.way, s.Model.Jitter, l.rng)
	if err := l.furnish(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// descriptors says before anything starts whether the lab would run out of them.
func descriptors(s *scenario.Scenario) error {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return fmt.Errorf("reading the limit on descriptors: %w", err)
	}
	hosts := s.Fleet.Backends
	for _, f := range s.Faults {
		if f.Kind == scenario.Replace {
			if set, err := scenario.ParseSet(f.Targets); err == nil {
				hosts += int(set.Share * float64(s.Fleet.Backends))
			}
		}
	}
	// A listener for each agent at each backend and as many connections at once, client connections, and some.
	perAgent := 2*hosts + 40
	if need := uint64(100 + s.Fleet.Agents*perAgent); need > r.Max {
		return fmt.Errorf("%d agents and %d backends need about %d descriptors and the limit is %d: at most %d agents here (ulimit -n)",
			s.Fleet.Agents, hosts, need, r.Max, max(0, (int(r.Max)-100)/perAgent))
	}
	return nil
}

// furnish sets up everything but the agents' processes.
func (l *Lab) furnish() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return err
	}
	l.base, l.boot = time.Now(), bootclock.SinceBoot()
	l.machines()
	l.classes()
	l.check = check.New(check.Rules{Classes: l.checkClasses(), DrainGrace: drainGrace, AnswerGrace: answerSlack, Slack: socketSlack,
		AcceptsUnknown: l.Visitors, MaxClosedNewShare: 1. / 200}, l.recorder.request)
	s := l.Scenario
	for n := range s.Fleet.Agents {
		l.agents = append(l.agents, newAgent(l, n))
	}
	for n := range s.Shared.Hubs {
		l.hubs = append(l.hubs, newHub(l, n))
	}
	if len(l.hubs) > 0 && len(l.Hub) == 0 {
		return errors.New("hubs are to be started, and nothing says how")
	}
	l.weigh()
	var err error
	if l.disc, err = newDiscovery(l); err != nil {
		return err
	}
	if err := l.relays(); err != nil {
		return err
	}
	if s.Shared.Enabled {
		if l.fleet, err = newFleetLinks(l); err != nil {
			return err
		}
	}
	if err := l.firstPolicy(); err != nil {
		return err
	}
	if err := l.firstSettings(); err != nil {
		return err
	}
	for _, h := range l.hosts {
		if err := h.open(); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of the rules: the protocol's, and what sockets may add to each.
const (
	drainGrace  = 500 * time.Millisecond
	answerSlack = 500 * time.Millisecond // past a request's time an answer only earns nothing; later it is lost
	socketSlack = 50 * time.Millisecond
	toldWithin  = 6 * time.Second // what discovery has to tell counts as told by then
)

// Run plays the scenario and returns what came out. It ends early with ctx, and then reports what there is.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	l.running.Go(l.drive)
	go l.startProcesses()
	for _, list := range [][]*process{l.hubProcesses(), l.agentProcesses()} {
		if err := l.startAll(ctx, list); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	l.begun.Store(int64(time.Since(l.base))) // the run's time begins with its clients
	l.agenda, l.seq = nil, 0
	for _, a := range l.agents {
		l.check.ForgetEndpoints(a.n)
		l.disc.known(a, 0)
	}
	l.late.Reset()
	l.mu.Unlock()
	if l.Ready != nil {
		l.Ready(l)
	}
	l.mu.Lock()
	l.changed = append(l.changed, 0)
	l.schedule()
	l.everySecond(0)
	l.watchReach(0)
	l.mu.Unlock()
	l.wake()
	l.running.Go(l.sample)
	played := make(chan struct{})
	l.running.Go(func() { defer close(played); l.arrivals() })
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	case <-played:
		l.settleDown(ctx)
		l.awaitSettings(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	if ctx.Err() == nil {
		l.check.Close(l.now())
	}
	return l.report(), l.err
}

// settleDown waits until the last requests have ended, no longer than their time.
func (l *Lab) settleDown(ctx context.Context) {
	limit := time.After(l.longest() + answerSlack + time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		l.mu.Lock()
		open := 0
		for _, a := range l.agents {
			open += a.open
		}
		l.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-tick.C:
		case <-limit:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fail ends the run for a fault of the lab itself. The lock is held.
func (l *Lab) fail(err error) {
	if l.err == nil && !l.closing {
		l.err = err
		l.cancel()
	}
}

// Close ends every process and closes every socket of the lab.
func (l *Lab) Close() {
	l.mu.Lock()
	l.closing = true
	for _, p := range l.everyone() {
		p.end()
	}
	hosts, disc := l.hosts, l.disc
	l.mu.Unlock()
	l.cancel()
	for _, a := range l.agents {
		a.closeSockets()
	}
	for _, h := range hosts {
		h.close(false)
	}
	if disc != nil {
		disc.close()
	}
	if l.fleet != nil {
		l.fleet.close()
	}
	l.running.Wait()
	l.block.close()
}
