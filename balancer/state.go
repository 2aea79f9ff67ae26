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

// backendState is what is known about one backend. The embedded structs own their fields.
type backendState struct {
	Backend
	outlierState
	outstanding        []*attempt    // oldest first
	latencyRatio       float64       // moving average of its latency, relative to the expected latency
	latencySamples     float64       // samples behind latencyRatio
	gossipKey          uint32        // identifies it in observations
	subsetRank         uint32        // its position in this agent's own order
	observedAt         time.Duration // of the latest observation
	slowStartAt        time.Duration // when its latest start became known
	answeredSinceStart bool          // has answered this agent since then
	warmingUp          bool
	slowStartBudget    float64 // mean requests that it may be sent during slow start
	slowStartBudgetAt  time.Duration
	stable             bool // counted in its zone's stableBackends

	// Attempts without any answer in the present silence episode of its zone.
	silenceEpisode, silentAttempts int
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

// keyDistance is a pseudo-random number in (0, 1] for a key and a backend. It is the same at every agent: each key
// prefers backends in an order of its own, and keys spread evenly over the backends (rendezvous hashing).
func (bs *backendState) keyDistance(key uint64) float64 {
	h := (uint32(key) ^ uint32(key>>32) ^ bs.gossipKey) * 0x9e3779b1
	h = (h ^ h>>15) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (float64(h^h>>16) + 1) / (1 << 32)
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

	retryBudget     RetryBudget
	classes         []classState
	inFlight        int
	limiter         concurrencyLimiter
	warmUpRatio     float64 // share of the slow-start window that backends seem to need
	trustedMultiple float64 // multiple of the guaranteed warmth up to which measured warmth is trusted

	served, peakThroughput decayingSum // requests served within OverloadWindow; decayed peak of that rate per backend
	pollFailures           int
	pollTimer              int64

	demand       demandEstimate
	peers        peerTable
	maxObjective time.Duration // the longest latency objective; also the gossip interval
	gossipTimer  int64
	credit       creditAccount

	observations       []observation // recent ones, own and from peers; newest last
	byGossipKey        map[uint32]*backendState
	outcomes           int
	latencyRatioByKind [][]float64 // by class and kind of backend

	subsetScale      float64 // share of the subset to which connections are possible
	meanInterarrival float64 // mean time between requests, ns
	lastArrivalAt    time.Duration
	overrides        overrides // in force, by operators
	zones            []*zone
	allZonesOpen     bool // no zone is failed over or recovering

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
		limiter: newConcurrencyLimiter(s.Balancers), warmUpRatio: 1, subsetScale: 1,
		byID: map[string]*backendState{}, byGossipKey: map[uint32]*backendState{}, requests: map[string]*request{},
		requestTimers: map[int64]*request{}, overdueTimers: map[int64]*attempt{},
		latencyRatioByKind: make([][]float64, len(s.Classes))}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	b.settings.InitialCapacity = cmp.Or(s.InitialCapacity, 1)
	b.trustedMultiple = math.Pow(max(1, s.OverloadMultiple), warmthTrust) // computed once: each step needs it for every backend
	b.served.timeConstant, b.peakThroughput.timeConstant = float64(s.OverloadWindow+1), float64(s.SlowStartWindow+1)
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

const (
	priorSamples     = 2.0 // samples that the fleet mean counts for in a new backend's latency ratio
	maxLatencyRatio  = 8.0 // bound of one latency sample, relative to the mean
	lateLatencyRatio = 3.0 // latency ratio that an overdue attempt counts as
)

// learnLatencyRatio adds one sample, a multiple of the expected latency, to a backend's latency ratio. The first few
// samples weigh more, since an agent with little traffic gets an answer from each backend only now and then.
func (b *Balancer) learnLatencyRatio(backend *backendState, sample float64) {
	backend.latencySamples++
	weight := max(smoothing, 1/(backend.latencySamples+priorSamples))
	backend.latencyRatio += weight * (min(sample, maxLatencyRatio) - backend.latencyRatio)
}

// kindLatencyRatio is how much slower than the mean backends of this kind serve a class. Departure: an agent with
// little traffic has few answers from each backend in each class, so it pools what it learns by kind.
func (b *Balancer) kindLatencyRatio(backend *backendState, class int) *float64 {
	for len(b.latencyRatioByKind[class]) <= max(backend.Kind, 0) { // a kind that the settings don't name is −1
		b.latencyRatioByKind[class] = append(b.latencyRatioByKind[class], 1)
	}
	return &b.latencyRatioByKind[class][max(backend.Kind, 0)]
}

// trackPeakThroughput updates the decaying peak of the mean throughput per backend. While few backends are warm, or
// they are slow and much is refused, the present throughput says little about what a backend can do.
func (b *Balancer) trackPeakThroughput() {
	served := b.served.value(b.now) / float64(b.settings.OverloadWindow+1) / float64(max(b.up, 1))
	b.peakThroughput.raiseTo(b.now, served)
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
		PeakThroughput: b.peakThroughput.value(b.now), Demand: b.demand.steady(b.now), DrainedDemand: b.overrides.drainedDemand,
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
	b.peakThroughput.add(b.now, event.PeakThroughput)
	b.demand.resume(b.now, max(event.Demand, event.DrainedDemand)) // a Drain event follows if the clients are still elsewhere
	b.peers.restore(event.PeerDemand, b.now)
	for i, latency := range event.Latency {
		if objective := float64(b.classes[i].LatencyObjective); inRange(latency, 1, objective) {
			b.classes[i].latency = latency
		}
	}
	b.recomputeQuota()
}
