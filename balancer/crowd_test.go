package balancer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"martenbeam/balancer"
)

// crowd is a fleet of agents without a word between them, on told time. Every attempt is answered after the same time.
type crowd struct {
	rigs    []*rig
	rng     *rand.Rand
	now     time.Duration
	answers []answerDue
	n       int
	sends   map[string][]sent // by backend
	weights []float64         // parts of the traffic that agents before and up to each get; nil: even ones
	uneven  float64           // of the work of a request: the spread of its logarithm
	fail    float64           // share of attempts that are turned away
	out     map[string]int    // in flight, by backend
	refused int
}

type answerDue struct {
	at, latency time.Duration
	rig         *rig
	id          string
	n           int // of the attempt
	result      balancer.Result
}

// sent is an attempt that went out, with its work against the mean.
type sent struct {
	at   time.Duration
	work float64
}

func newCrowd(t *testing.T, s balancer.Settings, agents int, seed uint64, list []balancer.Backend) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, sends: map[string][]sent{}, out: map[string]int{}}
	s.Balancers = agents
	for i := range agents {
		s.Self = i
		c.rigs = append(c.rigs, newRig(t, s, seed*1000+uint64(i), list))
	}
	return c
}

// ask has clients ask for rate requests a second for a while, each of an agent at random; an attempt takes latency.
func (c *crowd) ask(rate float64, latency, span time.Duration, each func()) {
	end, next := c.now+span, c.now
	for c.now < end {
		c.now += 5 * ms
		for len(c.answers) > 0 && c.answers[0].at <= c.now {
			a := c.answers[0]
			c.answers = c.answers[1:]
			to := a.rig.sent[a.id][a.n]
			c.out[to]--
			c.step(a.rig, func() []balancer.Action {
				return a.rig.step(balancer.Outcome{Request: a.id, Attempt: a.n, Backend: to, Result: a.result, Latency: a.latency,
					Done: a.result == balancer.OK})
			}, latency)
		}
		for next <= c.now {
			next += time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
			c.n++
			id, r := fmt.Sprint(c.n), c.rigs[c.agent()]
			c.step(r, func() []balancer.Action { return r.request(id, safe) }, latency)
		}
		for _, r := range c.rigs {
			if len(r.due) > 0 {
				c.step(r, func() []balancer.Action { return r.advance(c.now - r.now) }, latency)
			}
		}
		if each != nil {
			each()
		}
	}
}

// agent is the one that a request comes to.
func (c *crowd) agent() int {
	if c.weights == nil {
		return c.rng.IntN(len(c.rigs))
	}
	i, _ := slices.BinarySearch(c.weights, c.rng.Float64()*c.weights[len(c.weights)-1])
	return min(i, len(c.rigs)-1)
}

// skew gives some agents several times the mean traffic.
func (c *crowd) skew() {
	sum := 0.0
	c.weights = nil
	for range c.rigs {
		sum += math.Exp(c.rng.NormFloat64())
		c.weights = append(c.weights, sum)
	}
}

// release has backends start now, and tells every agent.
func (c *crowd) release(list []balancer.Backend) time.Duration {
	var news []balancer.Backend
	for _, b := range list {
		b.Started = c.now
		news = append(news, b)
	}
	for _, r := range c.rigs {
		r.now = max(r.now, c.now)
		r.step(balancer.List{Kind: balancer.ListDelta, Backends: news})
	}
	return c.now
}

// step lets an agent act now, and books what it sends.
func (c *crowd) step(r *rig, do func() []balancer.Action, latency time.Duration) {
	r.now = max(r.now, c.now-5*ms)
	if len(r.due) == 0 {
		r.now = c.now
	}
	for _, a := range do() {
		switch a := a.(type) {
		case balancer.Send:
			work := 1.0
			if c.uneven > 0 {
				work = math.Exp(c.uneven*c.rng.NormFloat64() - c.uneven*c.uneven/2)
			}
			due := answerDue{latency: time.Duration(work * float64(latency)), rig: r, id: a.Request, n: len(r.sent[a.Request]) - 1, result: balancer.OK}
			if c.rng.Float64() < c.fail {
				due.latency, due.result = ms, balancer.Full
			}
			due.at = c.now + due.latency
			c.sends[a.Backend] = append(c.sends[a.Backend], sent{c.now, work})
			c.out[a.Backend]++
			i, _ := slices.BinarySearchFunc(c.answers, due, func(x, y answerDue) int { return cmp.Compare(x.at, y.at+1) })
			c.answers = slices.Insert(c.answers, i, due)
		case balancer.Refuse:
			c.refused++
		}
	}
}

// A cold backend gets no more work than it bears by all agents together, that hear nothing of each other, in every span of
// the settings' length: what the settings allow it then, N, and two roots of N and two for chance. Traffic is skewed, requests
// are uneven, some attempts are turned away and made again, and the agents may start in the same moment as the backends.
//
// Where more is asked for than all can do the budget binds. Agents keep to N; with half as much again they use 0.91 of what is
// put down to chance beyond it, and with three quarters the plays fail.
func TestColdBackendsUnderTheSumOfAllAgents(t *testing.T) {
	const served, latency = 20.0, 100 * ms // a warm backend's requests a second, and the time of each
	most, service := math.Inf(-1), 0
	for _, agents := range []int{1, 2, 20, 30, 300} {
		for _, together := range []bool{false, true} {
			for seed := range uint64(3) {
				d := rand.New(rand.NewPCG(seed, 2))
				warm, cold := 1+d.IntN(6), 1+d.IntN(10)
				if agents == 300 {
					if warm, cold = 4*warm, 4*cold; seed > 0 {
						break // one play of so many takes as long as all the others
					}
				}
				s := settings()
				s.Peers, s.RampTime, s.FallWindow, s.FallMultiple = false, 8*time.Second, 2*time.Second, 3
				s.ColdShare = 0.12
				list := backends(warm + cold)
				c := newCrowd(t, s, agents, seed+1, list[:warm])
				c.uneven, c.fail = 0.5, 0.02
				c.skew()
				c.ask(0.9*served*float64(warm), latency, 3*time.Second, nil)
				start := c.release(list[warm:])
				if together {
					now := c.now
					c = newCrowd(t, s, agents, seed+100, nil)
					c.now, c.uneven, c.fail = now, 0.5, 0.02
					for i := range list[warm:] {
						list[warm+i].Started = start
					}
					for _, r := range c.rigs {
						r.now = now
						r.step(balancer.List{Kind: balancer.ListFull, Backends: list})
					}
					c.skew()
				}
				clear(c.sends)
				c.ask(2*served*float64(warm+cold), latency, 4*time.Second, nil) // more than all can do
				for _, b := range list[warm:] {
					at, sum := c.sends[b.ID], 0.0
					service += len(at)
					for i, j := 0, 0; j < len(at); j++ {
						sum += at[j].work
						for ; at[j].at-at[i].at > s.FallWindow; i++ {
							sum -= at[i].work
						}
						share := s.ColdShare + (1-s.ColdShare)*(at[j].at-start).Seconds()/s.RampTime.Seconds()
						n := s.FallMultiple * share * served * s.FallWindow.Seconds()
						most = max(most, (sum-n)/(2*math.Sqrt(n)+2))
						if sum > n+2*math.Sqrt(n)+2 {
							t.Fatalf("%d agents, together %v, seed %d: %s got %.1f of mean work within %v, %v after its start: %.1f fells it", agents,
								together, seed, b.ID, sum, s.FallWindow, at[j].at-start, n+2*math.Sqrt(n)+2)
						}
					}
				}
			}
		}
	}
	t.Logf("the most beyond N: %.2f of what is put down to chance; %d attempts at cold backends", most, service)
}

// While backends are cold, what they don't take of the limit is not put on the warm ones, that would turn slow by it.
func TestWarmBackendsKeepToTheirPart(t *testing.T) {
	const warm, cold, latency = 4, 8, 100 * ms
	s := settings()
	s.RampTime = time.Minute
	list := backends(warm + cold)
	c := newCrowd(t, s, 10, 3, list)
	c.ask(400, latency, 4*time.Second, nil)
	c.release(list[warm:])
	c.ask(1500, latency, time.Second, nil) // until what was out has come back
	most, sum, n := 0, 0, 0
	c.ask(1500, latency, 3*time.Second, func() {
		now := 0
		for _, b := range list[:warm] {
			now += c.out[b.ID]
		}
		most, sum, n = max(most, now), sum+now, n+1
	})
	// The limit is 6 for each backend at the start and grows with answers this quick; without a part of their own it is 15.6.
	if mean := float64(sum) / float64(n) / warm; mean < 3 || mean > 14.5 {
		t.Errorf("%.1f attempts in flight at each warm backend, at most %d at all", mean, most)
	}
	if c.refused == 0 {
		t.Error("nothing was refused: the limit did not bind")
	}
}
