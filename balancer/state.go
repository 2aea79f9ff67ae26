package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"martenbeam/internal/residency/gate"
)

// The records that the module keeps, and helpers that count. Nothing is decided here.

type classState struct {
	Class
	latency       float64       // moving average of the latency of answers, ns
	marginalValue float64       // what a unit of work adds to the operator's goal, in this step
	usualTimeout  time.Duration // usual timeout of a client's attempt
	meanWork      float64       // moving average of the announced work, ns
	arrivals      float64       // decayed count of requests
	metObjective  float64       // decayed count of requests answered within the objective
}

// retryAfter returns a wait as clients are to see it: 0 where they see none, and no longer than they honor.
func (s *Settings) retryAfter(wait time.Duration) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(wait, s.MaxRetryAfter)
}

// weightUnit is what a priority weight applies to: a request, or the work of a mean request.
func (b *Balancer) weightUnit(class *classState) float64 {
	if b.settings.WeightByWork {
		return class.latency
	}
	return 1
}

// without removes one element, and keeps the order of the others.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// Balancer decides for one agent. Use New; see the package comment.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	capacityTotals
	backends      []*backendState // in this agent's order (subsetRank)
	byID          map[string]*backendState
	requests      map[string]*request
	queue         admissionQueue
	requestTimers map[int64]*request
	overdueTimers map[int64]*attempt // by the token of the timer that finds them overdue
	lastToken     int64              // last timer token given out

	retryBudget RetryBudget
	classes     []classState
	inFlight    int
	limiter     concurrencyLimiter
	slowStart   slowStartModel
	throughput  throughput

	pollFailures int
	pollTimer    int64

	demand       demandEstimate
	peers        peerTable
	maxObjective time.Duration // the longest latency objective; also the gossip interval
	gossipTimer  int64
	credit       creditAccount

	observations observationLog
	byGossipKey  map[uint32]*backendState
	kindRatios   kindRatios

	subset        subset
	overrides     overrides
	drainedDemand float64 // demand of this agent's clients, which operators moved elsewhere; 0: not drained
	zones         zoneTable
	allZonesOpen  bool // no zone is failed over or recovering

	assignedQuota  float64     // assigned by the fleet; 0: none
	residencyTable *gate.Table // nil: no policy received
}

// New returns a balancer without any state. All its random choices come from seed. The error names the first setting
// that makes no sense.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, 0)), retryBudget: NewRetryBudget(),
		limiter: newConcurrencyLimiter(s.Balancers), subset: newSubset(),
		byID: map[string]*backendState{}, byGossipKey: map[uint32]*backendState{}, requests: map[string]*request{},
		requestTimers: map[int64]*request{}, overdueTimers: map[int64]*attempt{},
		kindRatios: newKindRatios(len(s.Classes)), throughput: newThroughput(&s)}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	b.settings.InitialCapacity = cmp.Or(s.InitialCapacity, 1)
	b.slowStart = newSlowStartModel(&b.settings)
	for _, class := range s.Classes {
		b.maxObjective = max(b.maxObjective, class.LatencyObjective)
		b.classes = append(b.classes, classState{Class: class, latency: float64(class.LatencyObjective) / 4})
	}
	b.demand = newDemandEstimate(b.maxObjective)
	b.peers = newPeerTable(s.Balancers, s.Self, b.maxObjective)
	return b, nil
}

func (b *Balancer) setRequestTimer(req *request, at time.Duration) {
	req.timer = b.setTimer(at - b.now)
	b.requestTimers[req.timer] = req
}

func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.lastToken++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.lastToken})
	return b.lastToken
}

// expectedLatency is the mean latency of a request of this class and announced work, ns.
func (b *Balancer) expectedLatency(req *request) float64 {
	class := &b.classes[req.class]
	if req.work > 0 && class.meanWork > 0 {
		return class.latency * req.work / class.meanWork
	}
	return class.latency
}

// Snapshot is the state that a process of an agent hands over to its successor. To the rules and to peers the two
// processes are one agent.
type Snapshot struct {
	Tokens          float64   `json:"tokens"` // of the retry budget
	LimitPerBackend float64   `json:"per_back"`
	LatencyRatio    float64   `json:"delay"`
	PeakThroughput  float64   `json:"best"`    // requests per ns that a backend served recently
	Demand          float64   `json:"asked"`   // work that clients ask for, decayed, ns
	DrainedDemand   float64   `json:"moved"`   // the same of clients that were moved elsewhere; 0: not drained
	PeerDemand      []float64 `json:"peers"`   // the same by agent number; below 0: unknown
	Latency         []float64 `json:"latency"` // mean latency by class, ns
}

// Snapshot returns the state for the next process.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{Tokens: b.retryBudget.Tokens(), LimitPerBackend: b.limiter.perBackend, LatencyRatio: b.limiter.latencyRatio,
		PeakThroughput: b.throughput.perBackend(b.now), Demand: b.demand.steady(b.now), DrainedDemand: b.drainedDemand,
		PeerDemand: b.peers.snapshot(b.now)}
	for _, class := range b.classes {
		snapshot.Latency = append(snapshot.Latency, class.latency)
	}
	return snapshot
}

// onRestore continues from a snapshot. Its content is not trusted.
func (b *Balancer) onRestore(event Restore) {
	inRange := func(x, low, high float64) bool { return x >= low && x <= high }
	b.retryBudget.Restore(event.Tokens)
	if len(event.Latency) != len(b.classes) || len(event.PeerDemand) != b.settings.Balancers ||
		!inRange(event.LimitPerBackend, minLimitPerBackend, math.MaxInt32) || !inRange(event.LatencyRatio, 0, 2) ||
		!inRange(event.PeakThroughput, 0, 1) ||
		!inRange(event.DrainedDemand, 0, math.MaxInt64) || !inRange(event.Demand, 0, math.MaxInt64) {
		return // written with other settings, or corrupt
	}
	b.limiter.restore(event.LimitPerBackend, event.LatencyRatio)
	b.throughput.restore(b.now, event.PeakThroughput)
	b.demand.resume(b.now, max(event.Demand, event.DrainedDemand)) // a Drain event follows if the clients are still elsewhere
	b.peers.restore(event.PeerDemand, b.now)
	for i, latency := range event.Latency {
		if objective := float64(b.classes[i].LatencyObjective); inRange(latency, 1, objective) {
			b.classes[i].latency = latency
		}
	}
	b.recomputeQuota()
}
