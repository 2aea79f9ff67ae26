// Package lab emulates a fleet on one machine. Agents and hubs are real processes; the lab's process emulates the clients, the
// backends, discovery and a network with faults around them.
//
// One mutex, Lab.mu, guards the state of a run. One goroutine runs timed events from an event queue; the other goroutines wait
// for sockets. The lab measures the lateness of events and arrivals, and a run in which the lab was too late is inconclusive.
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
	Agent         []string             // the command line of an agent
	Hub           []string             // the command line of a hub, without --config and its file; required if the scenario has hubs
	Env           []string             // added to the environment of agents and hubs
	Dir           string               // the directory for the configuration, logs and state of processes
	Events        io.Writer            // receives the histories of finished requests as lines of JSON; nil: no histories
	AcceptUnknown bool                 // backends serve requests that do not come from the lab; the checker ignores them
	OnReady       func(l *Lab)         // called just before the first request
	OnSecond      func(l *Lab, s View) // called after each second
}

// Lab is one run. It is used once: call New, Run and Close in this order.
type Lab struct {
	Options
	block            *block
	createdAt        time.Time     // by the monotonic clock
	createdSinceBoot time.Duration // createdAt as the time since the machine's boot
	startOffset      atomic.Int64  // from createdAt until time 0 of the run, in ns
	rng              rng.Source
	scale            float64 // factor of the work of requests, and of their objectives and deadlines
	classes          []class

	mu                 sync.Mutex
	schedule           eventQueue
	lastSeq            uint64
	scheduleChanged    chan struct{}
	network            *netfault.Network
	check              *check.Checker
	tally              *check.Tally
	lateness           *hdrhistogram.Histogram // in microseconds
	hosts              []*host
	agents             []*agent
	hubs               []*hub
	discovery          *fakeDiscovery
	fleet              *fleetLinks        // nil if agents are not a fleet
	residency          *check.Residency   // nil if no policy is in force
	processEnds        []processEnd       // of agents
	publishedSettings  []publishedVersion // in order
	reachability       []reachable        // a new entry at each change
	networkChanges     []time.Duration    // times at which faults of the network began or ended
	restartTimes       []time.Duration    // from the restart of an agent until it accepted clients
	attempts           map[uint64]*attempt
	servedKeys         map[cellKey]bool // idempotency keys within their window
	lastAttempt        uint64           // number of the latest attempt
	partitioned        []partitionedMessage
	loadFactor         float64
	activeFaults       []string // as shown in a View
	crashes            []string
	overloadedBackends int          // backends that crashed by overload in slow start
	unreachableSpans   []check.Span // in which zones are unreachable
	watchUntil         time.Duration
	watching           bool                           // a goroutine counts connections whose SYN is unanswered
	backendAddrs       map[netip.AddrPort]backendAddr // by the address of a listener
	tenantQuotas       []tokenBucket
	gateMu             sync.Mutex // serialises updateGates
	datagrams          int        // datagrams that agents exchanged
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
	answerGrace         = 500 * time.Millisecond // after the deadline; an answer within this time counts as late, not as lost
	socketSlack         = 50 * time.Millisecond  // added to every bound, for delays of sockets and scheduling
	propagationDeadline = 6 * time.Second        // after which a change counts as delivered to an agent
	maxClosedNewShare   = 1. / 200               // of requests; an agent may close a new connection before it answers the first request on that connection
)

// Run runs the scenario and returns the report. If ctx ends first, the report covers the run until then. The error is a failure
// of the lab itself, or wraps ErrCrash if a process did not become ready.
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
	arrivalsDone := make(chan struct{})
	l.running.Go(func() { defer close(arrivalsDone); l.runArrivals() })
	select {
	case <-ctx.Done():
	case <-l.ctx.Done():
	case <-arrivalsDone:
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

// startClock sets time 0 of the run and schedules its faults and views. It discards earlier events and measurements.
func (l *Lab) startClock() {
	l.mu.Lock()
	l.startOffset.Store(int64(time.Since(l.createdAt))) // time 0 of the run is when its clients start
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
	l.interruptSchedule()
}

// awaitOpenRequests waits until all requests have ended, for at most the longest deadline, answerGrace and one second.
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

// fail ends the run because of an error of the lab itself. Only the first error counts. Lab.mu is held.
func (l *Lab) fail(err error) {
	if l.err == nil && !l.closing {
		l.err = err
		l.cancel()
	}
}

// Close kills all processes, closes all sockets of the lab and waits for its goroutines.
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

func share(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

// discardLog discards the log lines of product code that the lab calls in its own process.
var discardLog = slog.New(slog.DiscardHandler)
