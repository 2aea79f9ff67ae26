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
	latency       float64       // running mean of served latency, ns
	marginalValue float64       // what a unit of work adds to the goal, in this step
	usualTimeout  time.Duration // the usual patience of a client's try
	meanWork      float64       // running mean of the expected work told with requests, ns
	arrivals      float64       // decayed count of requests
	metObjective  float64       // decayed count of requests answered within the aim
}

type backendState struct {
	Backend
	outstanding         []*attempt // oldest first
	latencyRatio        float64    // running mean of its latency over the mean of all
	gossipKey           uint32     // names it in notes to peers
	subsetRank          uint32     // its place in this agent's own order
	latencySamples      float64    // answers that slow rests on
	failureScore        float64
	failureRate         float64       // running share of attempts that failed, those without an answer left out
	consecutiveFailures float64       // of these the last ones, in a row
	consecutiveTimeouts int           // time-outs known since its last answer
	observedAt          time.Duration // of the newest note
	ejectedUntil        time.Duration // no traffic before this time

	ejectedAt, rejectingUntil, lastSuccessAt time.Duration
	slowStartAt                              time.Duration // when its latest start became known or seen
	answeredSinceStart                       bool          // has answered this balancer since then
	presumedDead                             bool          // its process seems to have died since the last answer
	// Attempts without an answer of any kind in its zone's present spell of silence.
	silenceEpisode, silentAttempts int
	warmingUp                      bool
	stable                         bool    // counted by its zone
	slowStartBudget                float64 // work that may be sent while it is cold
	slowStartBudgetAt              time.Duration
}

// decayingSum is a sum of which each part fades exponentially over a span.
type decayingSum struct {
	total, timeConstant float64
	updatedAt           time.Duration
}

func (d *decayingSum) value(now time.Duration) float64 {
	d.total *= math.Exp(-float64(now-d.updatedAt) / d.timeConstant)
	d.updatedAt = now
	return d.total
}

func (d *decayingSum) add(now time.Duration, amount float64) { d.total = d.value(now) + amount }

// retryAfter is a wait in the form in which clients are told it, if they are.
func (s *Settings) retryAfter(wait time.Duration) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(wait, s.MaxRetryAfter)
}

// recordFailure counts an attempt that failed (1) or did not (0).
func (bs *backendState) recordFailure(failure float64) {
	bs.consecutiveFailures = (bs.consecutiveFailures + 1) * failure
	bs.failureRate += smoothing / 2 * (failure - bs.failureRate)
}

// baselineFailureRate is the share of attempts that fail at the better three quarters of the backends.
func baselineFailureRate(backends []*backendState) float64 {
	var rates []float64
	for _, backend := range backends {
		if backend.State == Up {
			rates = append(rates, backend.failureRate)
		}
	}
	slices.Sort(rates)
	sum, counted := 0.0, 3*len(rates)/4
	for _, rate := range rates[:counted] {
		sum += rate
	}
	return sum / max(1, float64(counted))
}

// weightUnit is what worth is counted by.
func (b *Balancer) weightUnit(class *classState) float64 {
	if b.settings.WeightByWork {
		return class.latency
	}
	return 1
}

// keyDistance is a number above 0, up to 1, for a key and a backend: the same at every agent, and for
// each key spread evenly over the backends in an order of its own.
func (bs *backendState) keyDistance(key uint64) float64 {
	h := (uint32(key) ^ uint32(key>>32) ^ bs.gossipKey) * 0x9e3779b1
	h = (h ^ h>>15) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	return (float64(h^h>>16) + 1) / (1 << 32)
}

// without removes one element, keeping the order.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func ewma(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothing*(sample-mean)
}

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	capacityTotals
	backends      []*backendState // in the order in which they were first listed
	byID          map[string]*backendState
	requests      map[string]*request
	queue         []*request // waiting for room, oldest first
	requestTimers map[int64]*request
	overdueTimers map[int64]*attempt // by the token of the timer that finds them overdue
	lastToken     int64              // last timer token given out

	tokens          float64 // the retry bucket
	classes         []classState
	inFlight        int
	limitPerBackend float64 // attempts that all agents may have in flight together, per backend that is up
	quota           float64 // this agent's part of them
	latencyRatio    float64 // running mean of latency over aim
	warmUpRatio     float64 // the part of the stated time that backends seem to need to get warm
	trustedMultiple float64 // the multiple of its sure share up to which a cold backend's answers are believed

	served, peakThroughput decayingSum // requests served over about one fall window, that of a cold backend over its warmth
	limitCutAt, startedAt  time.Duration
	pollFailures           int
	pollTimer              int64

	demand       decayingSum   // work that clients asked for in first tries
	peers        []peer        // by number
	maxObjective time.Duration // between two tells: the longest aim
	gossipTimer  int64
	credit       float64 // work that a thin agent may send

	observations       []observation // what was lately seen of backends, here and by peers; newest last
	byGossipKey        map[uint32]*backendState
	outcomes           int
	latencyRatioByKind [][]float64 // by class and kind

	subsetScale      float64 // part of the width that backends have connections for
	meanInterarrival float64 // mean time between requests, ns
	lastArrivalAt    time.Duration
	overrides        overrides // of operators, that hold
	zones            []*zone
	allZonesOpen     bool // no zone is left or coming back

	assignedQuota  float64     // part of the limit, as the fleet tells; 0: it does not
	residencyTable *gate.Table // nil: no policy was told
}

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s, rng: rand.New(rand.NewPCG(seed, 0)), tokens: maxRetryTokens,
		limitPerBackend: initialLimitPerBackend, warmUpRatio: 1, subsetScale: 1, quota: 1 / float64(s.Balancers),
		peers: make([]peer, s.Balancers),
		byID:  map[string]*backendState{}, byGossipKey: map[uint32]*backendState{}, requests: map[string]*request{},
		requestTimers: map[int64]*request{}, overdueTimers: map[int64]*attempt{},
		latencyRatioByKind: make([][]float64, len(s.Classes))}
	b.settings.MaxAttempts = max(1, s.MaxAttempts)
	b.settings.InitialCapacity = cmp.Or(s.InitialCapacity, 1)
	b.trustedMultiple = math.Pow(max(1, s.OverloadMultiple), warmthTrust) // here, since each step asks for it for every backend
	b.served.timeConstant, b.peakThroughput.timeConstant = float64(s.OverloadWindow+1), float64(s.SlowStartWindow+1)
	for _, class := range s.Classes {
		b.maxObjective = max(b.maxObjective, class.LatencyObjective)
		b.demand.timeConstant = peerExpiry * float64(b.maxObjective)
		b.classes = append(b.classes, classState{Class: class, latency: float64(class.LatencyObjective) / 4})
	}
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

// enqueue lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) enqueue(req *request) {
	req.queued = true
	b.queue = append(b.queue, req)
}

func (b *Balancer) dequeue(req *request) {
	req.queued = false
	b.queue = without(b.queue, req)
}

// expectedLatency is the mean latency for a request of this class and told work.
func (b *Balancer) expectedLatency(req *request) float64 {
	class := &b.classes[req.class]
	if req.work > 0 && class.meanWork > 0 {
		return class.latency * req.work / class.meanWork
	}
	return class.latency
}

// learnLatencyRatio takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnLatencyRatio(backend *backendState, sample float64) {
	backend.latencySamples++
	weight := max(smoothing, 1/(backend.latencySamples+priorSamples))
	backend.latencyRatio += weight * (min(sample, maxLatencyRatio) - backend.latencyRatio)
}

// kindLatencyRatio is how much slower than the mean backends of this kind serve a class. Departure: a quiet
// agent pools what it learns, since it has few answers for each backend, class by class.
func (b *Balancer) kindLatencyRatio(backend *backendState, class int) *float64 {
	for len(b.latencyRatioByKind[class]) <= max(backend.Kind, 0) { // a kind that the settings don't name is −1
		b.latencyRatioByKind[class] = append(b.latencyRatioByKind[class], 1)
	}
	return &b.latencyRatioByKind[class][max(backend.Kind, 0)]
}

// trackPeakThroughput keeps the most requests that a backend served lately, in the mean, for each unit of time.
// While few are warm, or slow, and much is refused, what is served tells little of what one can do.
func (b *Balancer) trackPeakThroughput() {
	served := b.served.value(b.now) / float64(b.settings.OverloadWindow+1) / float64(max(b.up, 1))
	b.peakThroughput.total = max(served, b.peakThroughput.value(b.now))
}

// Snapshot is what a process of an agent hands on to the next: the two are one agent to the rules, and to
// its peers.
type Snapshot struct {
	Tokens          float64   `json:"tokens"` // in the retry bucket
	LimitPerBackend float64   `json:"per_back"`
	LatencyRatio    float64   `json:"delay"`
	PeakThroughput  float64   `json:"best"`    // requests that a backend served lately, for each ns
	Demand          float64   `json:"asked"`   // by clients here
	DrainedDemand   float64   `json:"moved"`   // by those sent elsewhere
	PeerDemand      []float64 `json:"peers"`   // and elsewhere, by agent number; below 0: not known
	Latency         []float64 `json:"latency"` // by class
}

// Snapshot returns what the next process starts from.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{Tokens: b.tokens, LimitPerBackend: b.limitPerBackend, LatencyRatio: b.latencyRatio,
		PeakThroughput: b.peakThroughput.value(b.now), Demand: b.steadyDemand(), DrainedDemand: b.overrides.drainedDemand}
	for _, p := range b.peers {
		demand := -1.0
		if b.now < p.validUntil {
			demand = p.demand
		}
		snapshot.PeerDemand = append(snapshot.PeerDemand, demand)
	}
	for _, class := range b.classes {
		snapshot.Latency = append(snapshot.Latency, class.latency)
	}
	return snapshot
}

// onRestore goes on from where the process before was. Its file may hold anything.
func (b *Balancer) onRestore(event Restore) {
	inRange := func(x, low, high float64) bool { return x >= low && x <= high }
	if inRange(event.Tokens, 0, maxRetryTokens) {
		b.tokens = event.Tokens
	}
	if len(event.Latency) != len(b.classes) || len(event.PeerDemand) != len(b.peers) ||
		!inRange(event.LimitPerBackend, minLimitPerBackend, math.MaxInt32) || !inRange(event.LatencyRatio, 0, 2) ||
		!inRange(event.PeakThroughput, 0, 1) ||
		!inRange(event.DrainedDemand, 0, math.MaxInt64) || !inRange(event.Demand, 0, math.MaxInt64) {
		return // of another configuration, or of none
	}
	b.limitPerBackend, b.latencyRatio = event.LimitPerBackend, event.LatencyRatio
	b.peakThroughput.add(b.now, event.PeakThroughput)
	b.demand.add(b.now, max(event.Demand, event.DrainedDemand))  // Emptying follows where they are still elsewhere
	b.startedAt = b.now - time.Duration(4*b.demand.timeConstant) // as one that has run for long reckons
	for i, demand := range event.PeerDemand {
		if demand >= 0 && i != b.settings.Self {
			b.peers[i] = peer{demand: demand, validUntil: b.now + time.Duration(peerExpiry*float64(b.maxObjective))}
		}
	}
	for i, latency := range event.Latency {
		if objective := float64(b.classes[i].LatencyObjective); inRange(latency, 1, objective) {
			b.classes[i].latency = latency
		}
	}
	b.recomputeQuota()
}
