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
	block            *block
	createdAt        time.Time     // when the lab was made
	createdSinceBoot time.Duration // the same, since the machine's start
	startOffset      atomic.Int64  // when its time began to count, after base, ns
	rng              rng.Source
	scale            float64 // of work and of every time that goes with it
	classes          []class

	mu                 sync.Mutex
	schedule           eventQueue
	lastSeq            uint64
	wakeup             chan struct{}
	network            *netfault.Network
	check              *check.Checker
	tally              *check.Tally
	lateness           *hdrhistogram.Histogram // us
	hosts              []*host
	agents             []*agent
	hubs               []*hub
	discovery          *fakeDiscovery
	fleet              *fleetLinks        // nil: agents have no fleet
	residency          *check.Residency   // nil: no policy is in force
	processEnds        []processEnd       // ends of agents' processes
	publishedSettings  []publishedVersion // settings, in order
	reachability       []reachable        // who could reach whom, by changes
	networkChanges     []time.Duration    // when the network did
	restartTimes       []time.Duration    // that processes took from their start until they took clients
	attempts           map[uint64]*attempt
	servedKeys         map[cellKey]bool // keys that pods have met
	lastAttempt        uint64           // number of the latest
	partitioned        []partitionedMessage
	loadFactor         float64
	activeFaults       []string // under way, for the table
	crashes            []string
	overloadedBackends int          // machines pushed over while cold
	unreachableSpans   []check.Span // in which zones can't be reached
	watchUntil         time.Duration
	watching           bool                           // for connections that don't come up
	backendAddrs       map[netip.AddrPort]backendAddr // whose address that is
	tenantQuotas       []tokenBucket
	gateMu             sync.Mutex // gates change one set after the other
	datagrams          int        // between agents
	err                error
	closing            bool

	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup
	startRequests chan func()
	recorder      *recorder
}

// partitionedMessage is a message that waits at its sender until its way is free.
type partitionedMessage struct {
	from, to netfault.Endpoint
	send     func(now time.Duration)
}

type event struct {
	at  time.Duration
	seq uint64
	run func(now time.Duration)
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

func (l *Lab) now() time.Duration {
	return time.Since(l.createdAt) - time.Duration(l.startOffset.Load())
}

// wallTime is a time of the run by the clock that every machine reads.
func (l *Lab) wallTime(t time.Duration) time.Time {
	return l.createdAt.Add(time.Duration(l.startOffset.Load()) + t)
}

// traceTime is a time of the run as the lines have it that agents and hubs write: in microseconds since the machine's start.
func (l *Lab) traceTime(t time.Duration) int64 {
	return (l.createdSinceBoot + time.Duration(l.startOffset.Load()) + t).Microseconds()
}

// scheduleAt puts something on the agenda. The lock is held.
func (l *Lab) scheduleAt(at time.Duration, run func(now time.Duration)) {
	l.lastSeq++
	heap.Push(&l.schedule, event{at, l.lastSeq, run})
	if l.schedule[0].seq == l.lastSeq {
		l.wake()
	}
}

func (l *Lab) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// runPending does everything that is due, in order, each at its own time.
func (l *Lab) runPending(now time.Duration) (next time.Duration) {
	for {
		nextAt, host := time.Duration(1<<62), (*host)(nil)
		if len(l.schedule) > 0 {
			nextAt = l.schedule[0].at
		}
		for _, h := range l.hosts {
			if t := h.machine.NextEvent(); t < nextAt {
				nextAt, host = t, h
			}
		}
		if nextAt > now {
			return nextAt
		}
		l.recordLateness(now - nextAt)
		if host != nil {
			l.completeJobs(host, host.machine.Advance(nextAt))
			continue
		}
		heap.Pop(&l.schedule).(event).run(nextAt)
	}
}

func (l *Lab) recordLateness(d time.Duration) {
	_ = l.lateness.RecordValue(min(max(1, d.Microseconds()), maxLateness)) // within its range
}

const maxLateness = int64(time.Minute / time.Microsecond)

// runSchedule works off the agenda until the run ends.
func (l *Lab) runSchedule() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for l.ctx.Err() == nil {
		l.mu.Lock()
		next := l.runPending(l.now())
		l.mu.Unlock()
		timer.Reset(max(0, next-l.now()))
		select {
		case <-timer.C:
		case <-l.wakeup:
		case <-l.ctx.Done():
		}
	}
}

// New prepares a run: it checks what the machine allows, and claims addresses.
func New(o Options) (*Lab, error) {
	s := o.Scenario
	if err := checkDescriptors(s); err != nil {
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
	l := &Lab{Options: o, block: b, rng: rng.New(o.Seed), wakeup: make(chan struct{}, 1), loadFactor: 1,
		lateness: hdrhistogram.New(1, maxLateness, 3), attempts: map[uint64]*attempt{}, servedKeys: map[cellKey]bool{}, startRequests: make(chan func()),
		tally: check.NewTally(s.WarmUp.Duration()), recorder: newRecorder(o.Events)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.network = netfault.New(l.baseLatency, s.Model.Jitter, l.rng)
	if err := l.setUp(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// checkDescriptors says before anything starts whether the lab would run out of them.
func checkDescriptors(s *scenario.Scenario) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
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
	if need := uint64(100 + s.Fleet.Agents*perAgent); need > limit.Max {
		return fmt.Errorf("%d agents and %d backends need about %d descriptors and the limit is %d: at most %d agents here (ulimit -n)",
			s.Fleet.Agents, hosts, need, limit.Max, max(0, (int(limit.Max)-100)/perAgent))
	}
	return nil
}

// setUp sets up everything but the agents' processes.
func (l *Lab) setUp() error {
	if err := os.MkdirAll(l.Dir, 0o755); err != nil {
		return err
	}
	l.createdAt, l.createdSinceBoot = time.Now(), bootclock.SinceBoot()
	l.addInitialHosts()
	l.scaleClasses()
	l.check = check.New(check.Rules{Classes: l.checkClasses(), DrainGrace: drainGrace, AnswerGrace: answerGrace, Slack: socketSlack,
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
	l.distributeLoad()
	var err error
	if l.discovery, err = newDiscovery(l); err != nil {
		return err
	}
	if err := l.openRelays(); err != nil {
		return err
	}
	if s.Shared.Enabled {
		if l.fleet, err = newFleetLinks(l); err != nil {
			return err
		}
	}
	if err := l.publishInitialPolicy(); err != nil {
		return err
	}
	if err := l.publishInitialSettings(); err != nil {
		return err
	}
	for _, h := range l.hosts {
		if err := h.listen(); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of the rules: the protocol's, and what sockets may add to each.
const (
	drainGrace          = 500 * time.Millisecond
	answerGrace         = 500 * time.Millisecond // past a request's time an answer only earns nothing; later it is lost
	socketSlack         = 50 * time.Millisecond
	propagationDeadline = 6 * time.Second // what discovery has to tell counts as told by then
)

// Run plays the scenario and returns what came out. It ends early with ctx, and then reports what there is.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	l.running.Go(l.runSchedule)
	go l.startProcesses()
	for _, list := range [][]*process{l.hubProcesses(), l.agentProcesses()} {
		if err := l.startAll(ctx, list); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	l.startOffset.Store(int64(time.Since(l.createdAt))) // the run's time begins with its clients
	l.schedule, l.lastSeq = nil, 0
	for _, a := range l.agents {
		l.check.ForgetEndpoints(a.number)
		l.discovery.cachedList(a, 0)
	}
	l.lateness.Reset()
	l.mu.Unlock()
	if l.Ready != nil {
		l.Ready(l)
	}
	l.mu.Lock()
	l.networkChanges = append(l.networkChanges, 0)
	l.scheduleFaults()
	l.scheduleViews(0)
	l.watchReachability(0)
	l.mu.Unlock()
	l.wake()
	l.running.Go(l.sample)
	played := make(chan struct{})
	l.running.Go(func() { defer close(played); l.runArrivals() })
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	case <-played:
		l.awaitOpenRequests(ctx)
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

// awaitOpenRequests waits until the last requests have ended, no longer than their time.
func (l *Lab) awaitOpenRequests(ctx context.Context) {
	limit := time.After(l.maxDeadline() + answerGrace + time.Second)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		l.mu.Lock()
		open := 0
		for _, a := range l.agents {
			open += a.openRequests
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
	for _, p := range l.allProcesses() {
		p.kill()
	}
	hosts, disc := l.hosts, l.discovery
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
