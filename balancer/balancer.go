package balancer

// The Balancer: its parts, and the dispatch of events to them. Nothing is decided here.

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one agent. New returns one; the package comment has the rules for its use.
type Balancer struct {
	settings     Settings
	maxObjective time.Duration // the longest latency objective; also the gossip interval
	rng          *rand.Rand
	now          time.Duration // time of the current step
	actions      []Action      // of the current step
	lastToken    int64         // token of the latest timer

	// Requests.
	requests      map[string]*request
	classes       classTable
	queue         admissionQueue
	requestTimers map[int64]*request
	overdueTimers map[int64]*attempt // attempts that are overdue once their timer fires, by its token
	retryBudget   RetryBudget

	// Backends.
	backends    []*backendState // in this agent's order (subsetRank)
	byID        map[string]*backendState
	byGossipKey map[uint32]*backendState
	poll        endpointPoll
	overrides   overrides
	slowStart   slowStartModel
	throughput  throughput
	kindRatios  kindRatios
	subset      subset

	// Capacity and admission.
	capacityTotals
	limiter       concurrencyLimiter
	credit        creditAccount
	demand        demandEstimate
	drainedDemand float64 // demand of clients that operators moved to other agents; 0: not drained
	assignedQuota float64 // share of the concurrency limit that the fleet assigned; 0: none

	// Zones and peers.
	zones        zoneTable
	allZonesOpen bool // no zone is failed over or recovering
	residency    residencyPolicy
	peers        peerTable
	observations observationLog
	gossipTimer  int64 // token of the timer of the next gossip round; 0: none yet
}

// New returns a Balancer without backends or requests. Its random choices depend on seed alone. The error is a
// *SettingError for the first setting that is out of range.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	s.MaxAttempts = max(1, s.MaxAttempts)
	s.InitialCapacity = cmp.Or(s.InitialCapacity, 1)
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, 0)), classes: newClassTable(s.Classes),
		retryBudget: NewRetryBudget(), limiter: newConcurrencyLimiter(s.Balancers), subset: newSubset(),
		slowStart: newSlowStartModel(&s), throughput: newThroughput(&s), kindRatios: newKindRatios(len(s.Classes)),
		poll: endpointPoll{interval: s.PollInterval},
		byID: map[string]*backendState{}, byGossipKey: map[uint32]*backendState{}, requests: map[string]*request{},
		requestTimers: map[int64]*request{}, overdueTimers: map[int64]*attempt{}}
	b.maxObjective = b.classes.maxObjective()
	b.demand = newDemandEstimate(b.maxObjective)
	b.peers = newPeerTable(s.Balancers, s.Self, b.maxObjective)
	return b, nil
}

// Step handles events in the given order, at time now on the agent's clock, and returns the actions to carry out. All
// calls must come from one goroutine. If now is earlier than in the previous call, Step uses the time of that call.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.recomputeCapacity()
	if b.settings.GossipAllowed && b.gossipTimer == 0 {
		b.demand.start(b.now)
		b.gossipTimer = b.setTimer(time.Duration(b.rng.Float64() * float64(b.maxObjective)))
	}
	for _, event := range events {
		b.handle(event)
	}
	b.admitQueued()
	return b.actions
}

// handle dispatches an event to the method for its type.
func (b *Balancer) handle(event Event) {
	switch event := event.(type) {
	case Request:
		b.onRequest(event)
	case Outcome:
		b.onOutcome(event)
	case TimerFired:
		b.onTimer(event.Token)
	case EndpointUpdate:
		b.onEndpointUpdate(event)
		b.recomputeCapacity()
	case GossipReceived:
		b.onGossip(event)
	case ProbeResult:
		b.onProbe(event)
	case Abandoned:
		b.onAbandoned(event)
	case Quota:
		b.assignedQuota = event.Share
		b.recomputeQuota()
	case ZoneLatencies:
		b.onZoneLatencies(event)
	case Residency:
		b.residency = residencyPolicy{event.Table}
	case Disable:
		b.onDisable(event)
	case Enable:
		b.onEnable(event)
	case Drain:
		b.onDrain(event)
	case Restore:
		b.onRestore(event)
	case BodyComplete:
		b.onBodyComplete(event)
	case BodyConsumed:
		b.onBodyConsumed(event)
	case ResponseStarted:
		b.onResponseStarted(event)
	}
}

// onTimer handles a timer by its token. Tokens are never reused, so an unknown or outdated token has no effect.
func (b *Balancer) onTimer(token int64) {
	a, req := b.overdueTimers[token], b.requestTimers[token]
	delete(b.overdueTimers, token)
	delete(b.requestTimers, token)
	switch {
	case token == 0:
	case b.poll.timerFired(token):
		b.actions = append(b.actions, Subscribe{})
	case token == b.gossipTimer:
		b.gossip()
	case a != nil:
		b.onOverdue(a)
	case b.zones.byProbeTimer(token) != nil:
		b.probeZone(b.zones.byProbeTimer(token))
	case req != nil && !req.ended && token == req.timer:
		req.timer = 0 // if the request may wait longer by now, waitOrRefuse sets a new timer
		if req.inBackoff {
			req.inBackoff = false
			b.queue.add(req)
		}
	}
}

// setTimer adds an action that requests a timer, and returns its token.
func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastToken++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastToken})
	return b.lastToken
}

// setRequestTimer sets the timer of a request. Earlier timers of the request have no effect any more.
func (b *Balancer) setRequestTimer(req *request, at time.Duration) {
	req.timer = b.setTimer(at - b.now)
	b.requestTimers[req.timer] = req
}
