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
	Scenario *scenario.Scenario
	Seed     uint64
	Agent    []string // the command line of an agent
	Hub      []string // that of a hub, without --config and its file; required if the scenario has hubs
	Env      []string // added to the environment of agents and hubs
	Dir      string   // where processes have their configuration, logs and state
	Events   io.Writer
	Visitors bool                 // requests that do not come from the lab are served, and not checked
	Ready    func(l *Lab)         // called just before the first request
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// quietLog is for what the lab itself has to do with an agent's parts.
var quietLog = slog.New(slog.DiscardHandler)
