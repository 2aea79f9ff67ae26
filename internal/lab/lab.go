// Package lab emulates a whole fleet on one machine: real processes of agents and hubs, and around them clients, backends,
// discovery and a network with faults, all in this process.
//
// One mutex guards the state of a run (Lab.mu). Timed events go through an event queue that one goroutine works off; the other
// goroutines wait for sockets. The lateness of events and arrivals is measured, and a lab that was too late gives no verdict.
package lab

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
)

// Options describe a run.
type Options struct {
	Scenario      *scenario.Scenario
	Seed          uint64
	Agent         []string // the command line of an agent
	Hub           []string // that of a hub, without --config and its file; required if the scenario has hubs
	Env           []string // added to the environment of agents and hubs
	Dir           string   // where processes have their configuration, logs and state
	Events        io.Writer
	AcceptUnknown bool                 // requests that do not come from the lab are served, and not checked
	OnReady       func(l *Lab)         // called just before the first request
	OnSecond      func(l *Lab, s View) // called after each second
}

// Lab is one run. It is used once: New, Run, Close.
type Lab struct {
	Options
	block            *block
	createdAt        time.Time     // by the monotonic clock
	createdSinceBoot time.Duration // the same moment, since the machine's start
	startOffset      atomic.Int64  // start of the run's time after createdAt, in ns
	rng              rng.Source
	scale            float64 // factor of the work of requests, and of their objectives and deadlines
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
	fleet              *fleetLinks        // nil: agents are not a fleet
	residency          *check.Residency   // nil: no policy is in force
	processEnds        []processEnd       // of agents
	publishedSettings  []publishedVersion // in order
	reachability       []reachable        // a new entry at each change
	networkChanges     []time.Duration    // when faults of the network began and ended
	restartTimes       []time.Duration    // from a process's restart until it accepted clients
	attempts           map[uint64]*attempt
	servedKeys         map[cellKey]bool // idempotency keys within their window
	lastAttempt        uint64           // its number
	partitioned        []partitionedMessage
	loadFactor         float64
	activeFaults       []string // as shown in a View
	crashes            []string
	overloadedBackends int          // crashed by overload in slow start
	unreachableSpans   []check.Span // in which whole zones are unreachable
	watchUntil         time.Duration
	watching           bool                           // for SYNs without an answer
	backendAddrs       map[netip.AddrPort]backendAddr // by the address of a listener
	tenantQuotas       []tokenBucket
	gateMu             sync.Mutex // serialises updateGates
	datagrams          int        // exchanged by agents
	err                error
	closing            bool

	ctx           context.Context
	cancel        context.CancelFunc
	running       sync.WaitGroup
	startRequests chan func()
	recorder      *recorder
}

// The bounds of the rules.
const (
	drainGrace          = 500 * time.Millisecond
	answerGrace         = 500 * time.Millisecond // after the deadline, in which an answer counts as late but not as lost
	socketSlack         = 50 * time.Millisecond
	propagationDeadline = 6 * time.Second // after which a change counts as delivered to an agent
	maxClosedNewShare   = 1. / 200        // of requests that may be closed unanswered as the first on their connection
)

// Run plays the scenario and reports the result. If ctx ends first, the report covers the run until then. The error is a failure
// of the lab itself, or ErrCrash if a process did not start.
func (l *Lab) Run(ctx context.Context) (*Report, error) {
	l.running.Go(l.runSchedule)
	go l.startProcesses()
	for _, list := range [][]*process{l.hubProcesses(), l.agentProcesses()} {
		if err := l.startAll(ctx, list); err != nil {
			return nil, err
		}
	}
	l.startClock()
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

// startClock starts the time of the run, with its faults and views. What happened before does not count.
func (l *Lab) startClock() {
	l.mu.Lock()
	l.startOffset.Store(int64(time.Since(l.createdAt))) // the time of the run starts with its clients
	l.schedule, l.lastSeq = nil, 0
	for _, a := range l.agents {
		l.check.ForgetEndpoints(a.number)
		l.discovery.cachedList(a, 0)
	}
	l.lateness.Reset()
	l.mu.Unlock()
	if l.OnReady != nil {
		l.OnReady(l)
	}
	l.mu.Lock()
	l.networkChanges = append(l.networkChanges, 0)
	l.scheduleFaults()
	l.scheduleViews(0)
	l.watchReachability(0)
	l.mu.Unlock()
	l.wake()
}

// awaitOpenRequests waits until all requests have ended, at most for the longest deadline.
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

// fail ends the run for an error of the lab itself. Lab.mu is held.
func (l *Lab) fail(err error) {
	if l.err == nil && !l.closing {
		l.err = err
		l.cancel()
	}
}

// Close kills all processes and closes all sockets of the lab, and waits for its goroutines.
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// quietLog discards the log of product code that the lab itself calls.
var quietLog = slog.New(slog.DiscardHandler)
