package balancer

// Slow start: how much traffic a backend that has just started may get from all agents together, without overload. The
// structs in this file don't access the Balancer.

import (
	"math"
	"time"
)

const (
	trustExponent    = 0.6 // measured warmth is at most guaranteed warmth times OverloadMultiple to this power
	maxSlowStartWork = 2.0 // most work of a request during slow start, relative to the mean
)

// slowStartState is the slow start of one backend.
type slowStartState struct {
	slowStartAt         time.Duration // when its process last started
	warmingUp           bool          // in slow start, as of the latest call of guaranteedWarmth
	respondedSinceStart bool          // has responded to this agent since the start
	slowStartBudget     float64       // requests of mean work that this agent may send to it now; none at 0 or below
	slowStartBudgetAt   time.Duration // when the budget was last refilled
}

// begin starts the slow start of a process that started at the given time. The budget starts at −draw, where draw is a
// random number in [0, 1): many agents that each send one request at once would together overload the backend.
func (s *slowStartState) begin(at, now time.Duration, draw float64) {
	*s = slowStartState{slowStartAt: at, warmingUp: true, slowStartBudget: -draw, slowStartBudgetAt: now}
}

// startedBefore reports whether the latest start was before the given time.
func (s *slowStartState) startedBefore(at time.Duration) bool { return s.slowStartAt < at }

// recordResponse records a response of the backend.
func (s *slowStartState) recordResponse() { s.respondedSinceStart = true }

// refill adds rate, in mean requests per ns, times the time since the last refill to the budget, up to one request.
func (s *slowStartState) refill(rate float64, now time.Duration) {
	s.slowStartBudget = min(s.slowStartBudget+rate*float64(now-s.slowStartBudgetAt), 1)
	s.slowStartBudgetAt = now
}

// raiseBudget makes the budget at least the given value.
func (s *slowStartState) raiseBudget(minimum float64) {
	s.slowStartBudget = max(s.slowStartBudget, minimum)
}

// spendBudget subtracts an attempt, in mean requests. The budget is not checked outside of slow start.
func (s *slowStartState) spendBudget(requests float64) { s.slowStartBudget -= requests }

// covers reports whether the budget allows a request of the given work, in the same unit as the mean work. Requests far
// above the mean are not allowed: a single one could overload the backend.
func (s *slowStartState) covers(work, mean float64) bool {
	return s.slowStartBudget > 0 && work <= maxSlowStartWork*mean
}

// slowStartModel estimates how backends warm up, from the guarantee in the settings and the measured latency.
type slowStartModel struct {
	initial         float64       // share of full capacity that is guaranteed at the start
	window          time.Duration // time after which full capacity is guaranteed
	multiple        float64       // factor on the guaranteed warmth in rate: the square root of OverloadMultiple
	trustedMultiple float64       // multiple of the guaranteed warmth up to which measured warmth is used
	warmUpRatio     float64       // estimated share of the window that backends need to warm up
}

// newSlowStartModel returns the model for the settings, without measurements.
func newSlowStartModel(s *Settings) slowStartModel {
	return slowStartModel{initial: s.InitialCapacity, window: s.SlowStartWindow, warmUpRatio: 1,
		multiple:        math.Sqrt(max(1, s.OverloadMultiple)),
		trustedMultiple: math.Pow(max(1, s.OverloadMultiple), trustExponent)}
}

// guaranteedWarmth returns the share of a backend's full capacity that the settings guarantee now. It clears warmingUp
// once the window is over.
func (m *slowStartModel) guaranteedWarmth(s *slowStartState, now time.Duration) float64 {
	age := now - s.slowStartAt
	if s.warmingUp = s.warmingUp && age < m.window; !s.warmingUp {
		return 1
	}
	return m.initial + (1-m.initial)*max(0, float64(age)/float64(m.window))
}

// warmth returns the estimated share of a backend's full capacity that is available now. Departure: the latency of
// starting backends indicates how much of the slow-start window they need, so that capacity beyond the guaranteed share
// is not left idle. A power of OverloadMultiple bounds the estimate.
func (m *slowStartModel) warmth(s *slowStartState, now time.Duration) float64 {
	guaranteed := m.guaranteedWarmth(s, now)
	return min(1, m.initial+(guaranteed-m.initial)/m.warmUpRatio, guaranteed*m.trustedMultiple)
}

// recordRatio updates warmUpRatio from a response of a backend in slow start: the latency ratios of the response and of
// the backend's kind, and the backend's estimated warmth.
func (m *slowStartModel) recordRatio(ratio, kindRatio, warmth float64) {
	m.warmUpRatio = min(1, max(1/maxLatencyRatio, m.warmUpRatio*(1+smoothing*(ratio/kindRatio*warmth-1))))
}

// rate returns how many mean requests per ns an agent may send to a backend in slow start: warmRate, the rate of a warm
// backend, times the larger of warmth and of guaranteed warmth times the square root of OverloadMultiple. The square
// root is the geometric mean of 1 and OverloadMultiple: most backends have more capacity than is guaranteed. The rate
// is based on counts of requests and not on latency, which queues anywhere would increase.
func (m *slowStartModel) rate(s *slowStartState, now time.Duration, warmRate float64) float64 {
	return max(m.warmth(s, now), m.guaranteedWarmth(s, now)*m.multiple) * warmRate
}

// throughput estimates how many requests a warm backend can serve for this agent.
type throughput struct {
	served decayingSum // requests of the last OverloadWindow, each divided by the warmth of its backend
	peak   decayingSum // decaying peak of the mean rate per backend, per ns
}

// newThroughput returns an estimate of 0.
func newThroughput(s *Settings) throughput {
	return throughput{served: decayingSum{timeConstant: float64(s.OverloadWindow + 1)},
		peak: decayingSum{timeConstant: float64(s.SlowStartWindow + 1)}}
}

// add counts served requests.
func (t *throughput) add(now time.Duration, requests float64) { t.served.add(now, requests) }

// track updates the peak. The peak is used because the present throughput is too low an estimate while few backends are
// warm, or while they are slow and many requests are refused.
func (t *throughput) track(now time.Duration, up int) {
	t.peak.raiseTo(now, t.served.value(now)/t.served.timeConstant/float64(max(up, 1)))
}

// perBackend returns the estimated rate of a warm backend, in mean requests per ns. Starting backends contribute to it.
func (t *throughput) perBackend(now time.Duration) float64 { return t.peak.value(now) }

// restore continues from the rate that an earlier process measured.
func (t *throughput) restore(now time.Duration, perBackend float64) { t.peak.add(now, perBackend) }
