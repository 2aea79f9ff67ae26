package brookferry

import (
	"math"
	"slices"
	"time"
)

// The records that the module keeps, and helpers that count. Nothing is decided here.

type peer struct {
	demand float64
	moved  float64       // what its clients asked for when operators sent them elsewhere; 0: they are there
	until  time.Duration // what it told holds until then
}

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
	cold                       bool
	budget                     float64 // work that may be sent while it is cold
	budgetAt                   time.Duration
}

// asked is the decayed work that clients asked for, as it will stand once the agent has run for
// long: one that was restarted would reckon itself quiet beside peers that were not.
func (b *Balancer) asked() float64 {
	age := max(float64(b.now-b.born), float64(b.period)/4)
	return b.demand.sum(b.now) / (1 - math.Exp(-age/b.demand.span))
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

type attempt struct {
	b    *backend
	sent time.Duration
	cost float64
	open bool
	late bool // found overdue: its delay is already counted

	at    bool // in its backend's out
	large bool // its body came after it was sent, or its answer is large: no time tells that it is overdue
}

type request struct {
	id       string
	class    int
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	work     float64 // expected work as told, ns; 0: unknown
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend // the backend that failed it last
	timer    int64    // the token of its latest timer; earlier ones are void
	key      uint64   // a hash of what it concerns; 0: unknown
	repeat   bool     // a later try of the client: part of its aim has passed
	passed   bool     // found no backend in this step

	came time.Duration // its time runs from then

	waiting, holding, ended bool // for its backoff; for room; done with
	stream                  bool // bound to the attempt it has: being answered, or part of its body is gone
	coming                  bool // its body is
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
