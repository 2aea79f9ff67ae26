package balancer

// Slow start: how much a backend that has just started may get from all agents together, never more than it can surely
// bear. The structs here stand alone.

import (
	"math"
	"time"
)

const (
	warmthTrust      = 0.6 // exponent of OverloadMultiple that bounds the trust in measured warmth
	maxSlowStartWork = 2.0 // most work of a request during slow start, relative to the mean
)

// slowStartState is the slow start of one backend.
type slowStartState struct {
	slowStartAt        time.Duration // when its latest start became known
	warmingUp          bool          // since then its warmth was never found to be 1
	answeredSinceStart bool          // has answered this agent since then
	slowStartBudget    float64       // mean requests that it may still be sent during slow start
	slowStartBudgetAt  time.Duration // when the budget was last refilled
}

// begin starts a slow start, learned now, of a process that started at the given time. The budget starts at −draw, a
// random number in [0, 1): if each of many agents sent one request at once, they would overload the backend together.
func (s *slowStartState) begin(at, now time.Duration, draw float64) {
	*s = slowStartState{slowStartAt: at, warmingUp: true, slowStartBudget: -draw, slowStartBudgetAt: now}
}

// startedBefore reports whether the latest known start is older than the given time.
func (s *slowStartState) startedBefore(at time.Duration) bool { return s.slowStartAt < at }

// answer notes an answer of the backend.
func (s *slowStartState) answer() { s.answeredSinceStart = true }

// refill adds to the budget what the rate, in mean requests per ns, has brought since the last refill. The budget holds
// no more than one request.
func (s *slowStartState) refill(rate float64, now time.Duration) {
	s.slowStartBudget = min(s.slowStartBudget+rate*float64(now-s.slowStartBudgetAt), 1)
	s.slowStartBudgetAt = now
}

// raiseBudget makes the budget at least the given value.
func (s *slowStartState) raiseBudget(least float64) {
	s.slowStartBudget = max(s.slowStartBudget, least)
}

// spendBudget takes an attempt, in mean requests. Outside of slow start it has no effect.
func (s *slowStartState) spendBudget(requests float64) { s.slowStartBudget -= requests }

// covers reports whether the budget covers a request of the given work relative to the mean. One expensive request alone
// could overload the backend.
func (s *slowStartState) covers(work, mean float64) bool {
	return s.slowStartBudget > 0 && work <= maxSlowStartWork*mean
}

// slowStartModel says how backends warm up: what the settings guarantee, and what answers have shown.
type slowStartModel struct {
	initial         float64       // capacity at the start
	window          time.Duration // time to full capacity
	multiple        float64       // load relative to the guaranteed capacity that budgets are based on
	trustedMultiple float64       // multiple of the guaranteed warmth up to which measured warmth is trusted
	warmUpRatio     float64       // share of the window that backends seem to need
}

// newSlowStartModel returns the model of the settings, before any answer.
func newSlowStartModel(s *Settings) slowStartModel {
	return slowStartModel{initial: s.InitialCapacity, window: s.SlowStartWindow, warmUpRatio: 1,
		multiple:        math.Sqrt(max(1, s.OverloadMultiple)),
		trustedMultiple: math.Pow(max(1, s.OverloadMultiple), warmthTrust)}
}

// guaranteedWarmth is the share of its full capacity that a backend surely has by now. It ends a slow start that is
// over.
func (m *slowStartModel) guaranteedWarmth(s *slowStartState, now time.Duration) float64 {
	age := now - s.slowStartAt
	if s.warmingUp = s.warmingUp && age < m.window; !s.warmingUp {
		return 1
	}
	return m.initial + (1-m.initial)*max(0, float64(age)/float64(m.window))
}

// warmth is the share of its full capacity that a backend seems to have by now. Departure: the latency of starting
// backends shows which share of the slow-start window they really need, and capacity beyond the guaranteed share is
// not left idle; a power of OverloadMultiple bounds how far the measurement is trusted.
func (m *slowStartModel) warmth(s *slowStartState, now time.Duration) float64 {
	guaranteed := m.guaranteedWarmth(s, now)
	return min(1, m.initial+(guaranteed-m.initial)/m.warmUpRatio, guaranteed*m.trustedMultiple)
}

// learn adds an answer of a backend in slow start: its latency ratio, that of its kind, and the warmth it counted for.
func (m *slowStartModel) learn(ratio, kindRatio, warmth float64) {
	m.warmUpRatio = min(1, max(1/maxLatencyRatio, m.warmUpRatio*(1+smoothing*(ratio/kindRatio*warmth-1))))
}

// rate is how many mean requests per ns an agent may send to a backend in slow start: no more than a warm backend
// serves for that agent, times warmth or guaranteed warmth times the square root of OverloadMultiple. That is as far
// below the multiple as above the guaranteed capacity, since most backends have more than the guarantee. Requests are
// counted, not timed: with a queue anywhere each takes longer, which tells nothing about this backend.
func (m *slowStartModel) rate(s *slowStartState, now time.Duration, warmRate float64) float64 {
	return max(m.warmth(s, now), m.guaranteedWarmth(s, now)*m.multiple) * warmRate
}

// throughput estimates how many requests a warm backend can serve for this agent.
type throughput struct {
	served decayingSum // requests of the last OverloadWindow, over the warmth of their backends
	peak   decayingSum // decayed peak of the mean rate per backend, per ns
}

// newThroughput returns an estimate of 0.
func newThroughput(s *Settings) throughput {
	return throughput{served: decayingSum{timeConstant: float64(s.OverloadWindow + 1)},
		peak: decayingSum{timeConstant: float64(s.SlowStartWindow + 1)}}
}

// add counts served requests.
func (t *throughput) add(now time.Duration, requests float64) { t.served.add(now, requests) }

// track updates the peak. While few backends are warm, or they are slow and much is refused, the present throughput
// says little about what a backend can do.
func (t *throughput) track(now time.Duration, up int) {
	t.peak.raiseTo(now, t.served.value(now)/t.served.timeConstant/float64(max(up, 1)))
}

// perBackend is the rate of a warm backend, in mean requests per ns. Where none is warm, the starting ones count.
func (t *throughput) perBackend(now time.Duration) float64 { return t.peak.value(now) }

// restore continues from the rate that an earlier process saw.
func (t *throughput) restore(now time.Duration, perBackend float64) { t.peak.add(now, perBackend) }
