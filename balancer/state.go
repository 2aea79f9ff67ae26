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
	latency  float64       // running mean of served latency, ns
	value    float64       // what a unit of work adds to the goal, in this step
	patience time.Duration // the usual patience of a client's try
	work     float64       // running mean of the expected work told with requests, ns
	arrived  float64       // decayed count of requests
	answered float64       // decayed count of requests answered within the aim
}

type backend struct {
	Backend
	out     []*attempt // oldest first
	slow    float64    // running mean of its latency over the mean of all
	key     uint32     // names it in notes to peers
	rank    uint32     // its place in this agent's own order
	samples float64    // answers that slow rests on
	strikes float64
	fails   float64       // running share of attempts that failed, those without an answer left out
	row     float64       // of these the last ones, in a row
	silent  int           // time-outs known since its last answer
	notedAt time.Duration // of the newest note
	ejected time.Duration // no traffic before this time

	struckAt, fullTill, lastOK time.Duration
	warmFrom                   time.Duration // when its latest start became known or seen
	seen                       bool          // has answered this balancer since then
	down                       bool          // its process seems to have died since the last answer
	spell, mutes               int           // attempts without an answer of any kind in its zone's present spell of silence
	cold                       bool
	settled                    bool    // counted by its zone
	budget                     float64 // work that may be sent while it is cold
	budgetAt                   time.Duration
}

// decaying is a sum of which each part fades exponentially over a span.
type decaying struct {
	total, span float64
	at          time.Duration
}

func (d *decaying) sum(now time.Duration) float64 {
	d.total *= math.Exp(-float64(now-d.at) / d.span)
	d.at = now
	return d.total
}

func (d *decaying) add(now time.Duration, x float64) { d.total = d.sum(now) + x }

// advice is a wait in the form in which clients are told it, if they are.
func (s *Settings) advice(wait time.Duration) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(wait, s.MaxRetryAfter)
}

// fail counts an attempt that failed (1) or did not (0).
func (t *backend) fail(x float64) {
	t.row = (t.row + 1) * x
	t.fails += smooth / 2 * (x - t.fails)
}

// usualFails is the share of attempts that fail at the better three quarters of the backends.
func usualFails(list []*backend) float64 {
	var shares []float64
	for _, t := range list {
		if t.State == Up {
			shares = append(shares, t.fails)
		}
	}
	slices.Sort(shares)
	sum, n := 0.0, 3*len(shares)/4
	for _, x := range shares[:n] {
		sum += x
	}
	return sum / max(1, float64(n))
}

// unit is what worth is counted by.
func (b *Balancer) unit(c *classState) float64 {
	if b.s.ByWork {
		return c.latency
	}
	return 1
}

// distance is a number above 0, up to 1, for a key and a backend: the same at every agent, and for
// each key spread evenly over the backends in an order of its own.
func (t *backend) distance(key uint64) float64 {
	h := (uint32(key) ^ uint32(key>>32) ^ t.key) * 0x9e3779b1
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

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smooth*(sample-mean)
}

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	s       Settings
	rng     *rand.Rand
	now     time.Duration
	actions []Action

	sums
	backends []*backend // in the order in which they were first listed
	byID     map[string]*backend
	requests map[string]*request
	held     []*request // waiting for room, oldest first
	timers   map[int64]*request
	watched  map[int64]*attempt // by the token of the timer that finds them overdue
	token    int64              // last timer token given out

	tokens   float64 // the retry bucket
	classes  []classState
	inFlight int
	perBack  float64 // attempts that all agents may have in flight together, per backend that is up
	share    float64 // this agent's part of them
	delay    float64 // running mean of latency over aim
	ramp     float64 // the part of the stated time that backends seem to need to get warm
	believed float64 // the multiple of its sure share up to which a cold backend's answers are believed

	done, best  decaying // requests served over about one fall window, that of a cold backend over its warmth
	cutAt, born time.Duration
	askFails    int
	askToken    int64

	demand    decaying      // work that clients asked for in first tries
	peers     []peer        // by number
	period    time.Duration // between two tells: the longest aim
	tellToken int64
	credit    float64 // work that a thin agent may send

	notes    []note // what was lately seen of backends, here and by peers; newest last
	byKey    map[uint32]*backend
	outcomes int
	fits     [][]float64 // by class and kind

	narrow  float64 // part of the width that backends have connections for
	gap     float64 // mean time between requests, ns
	lastAt  time.Duration
	calls   calls // of operators, that hold
	zones   []*zone
	allOpen bool // no zone is left or coming back

	mine     float64     // part of the limit, as the fleet tells; 0: it does not
	resident *gate.Table // nil: no policy was told
}

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s, rng: rand.New(rand.NewPCG(seed, 0)), tokens: bucketCap,
		perBack: startPerBack, ramp: 1, narrow: 1, share: 1 / float64(s.Balancers), peers: make([]peer, s.Balancers),
		byID: map[string]*backend{}, byKey: map[uint32]*backend{}, requests: map[string]*request{},
		timers: map[int64]*request{}, watched: map[int64]*attempt{}, fits: make([][]float64, len(s.Classes))}
	b.s.MaxAttempts = max(1, s.MaxAttempts)
	b.s.ColdShare = cmp.Or(s.ColdShare, 1)
	b.believed = math.Pow(max(1, s.FallMultiple), coldTrust) // here, since each step asks for it for every backend
	b.done.span, b.best.span = float64(s.FallWindow+1), float64(s.RampTime+1)
	for _, c := range s.Classes {
		b.period = max(b.period, c.Aim)
		b.demand.span = tellMissed * float64(b.period)
		b.classes = append(b.classes, classState{Class: c, latency: float64(c.Aim) / 4})
	}
	return b, nil
}

func (b *Balancer) timer(r *request, at time.Duration) {
	r.timer = b.alarm(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) alarm(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding = true
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = without(b.held, r)
}

// expected is the mean latency for a request of this class and told work.
func (b *Balancer) expected(r *request) float64 {
	c := &b.classes[r.class]
	if r.work > 0 && c.work > 0 {
		return c.latency * r.work / c.work
	}
	return c.latency
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.samples++
	t.slow += max(smooth, 1/(t.samples+priorSamples)) * (min(sample, slowBound) - t.slow)
}

// fit is how much slower than the mean backends of this kind serve a class. Departure: a quiet
// agent pools what it learns, since it has few answers for each backend, class by class.
func (b *Balancer) fit(t *backend, class int) *float64 {
	for len(b.fits[class]) <= max(t.Kind, 0) { // a kind that the settings don't name is −1
		b.fits[class] = append(b.fits[class], 1)
	}
	return &b.fits[class][max(t.Kind, 0)]
}

// remember keeps the most requests that a backend served lately, in the mean, for each unit of time.
// While few are warm, or slow, and much is refused, what is served tells little of what one can do.
func (b *Balancer) remember() {
	served := b.done.sum(b.now) / float64(b.s.FallWindow+1) / float64(max(b.up, 1))
	b.best.total = max(served, b.best.sum(b.now))
}

// Snapshot is what a process of an agent hands on to the next: the two are one agent to the rules, and to
// its peers.
type Snapshot struct {
	Tokens  float64   `json:"tokens"` // in the retry bucket
	PerBack float64   `json:"per_back"`
	Delay   float64   `json:"delay"`
	Best    float64   `json:"best"`    // requests that a backend served lately, for each ns
	Asked   float64   `json:"asked"`   // by clients here
	Moved   float64   `json:"moved"`   // by those sent elsewhere
	Peers   []float64 `json:"peers"`   // and elsewhere, by agent number; below 0: not known
	Latency []float64 `json:"latency"` // by class
}

// Snapshot returns what the next process starts from.
func (b *Balancer) Snapshot() Snapshot {
	l := Snapshot{Tokens: b.tokens, PerBack: b.perBack, Delay: b.delay, Best: b.best.sum(b.now),
		Asked: b.asked(), Moved: b.calls.moved}
	for _, p := range b.peers {
		demand := -1.0
		if b.now < p.until {
			demand = p.demand
		}
		l.Peers = append(l.Peers, demand)
	}
	for _, c := range b.classes {
		l.Latency = append(l.Latency, c.latency)
	}
	return l
}

// onRestore goes on from where the process before was. Its file may hold anything.
func (b *Balancer) onRestore(e Restore) {
	sane := func(x, low, high float64) bool { return x >= low && x <= high }
	if sane(e.Tokens, 0, bucketCap) {
		b.tokens = e.Tokens
	}
	if len(e.Latency) != len(b.classes) || len(e.Peers) != len(b.peers) ||
		!sane(e.PerBack, floorPerBack, math.MaxInt32) || !sane(e.Delay, 0, 2) || !sane(e.Best, 0, 1) ||
		!sane(e.Moved, 0, math.MaxInt64) || !sane(e.Asked, 0, math.MaxInt64) {
		return // of another configuration, or of none
	}
	b.perBack, b.delay = e.PerBack, e.Delay
	b.best.add(b.now, e.Best)
	b.demand.add(b.now, max(e.Asked, e.Moved))      // Emptying follows where they are still elsewhere
	b.born = b.now - time.Duration(4*b.demand.span) // as one that has run for long reckons
	for i, demand := range e.Peers {
		if demand >= 0 && i != b.s.Self {
			b.peers[i] = peer{demand: demand, until: b.now + time.Duration(tellMissed*float64(b.period))}
		}
	}
	for i, latency := range e.Latency {
		if aim := float64(b.classes[i].Aim); sane(latency, 1, aim) {
			b.classes[i].latency = latency
		}
	}
	b.reckon()
}
