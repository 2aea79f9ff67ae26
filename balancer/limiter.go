package balancer

// The concurrency limiter: how many attempts this agent may have in flight, according to the measured latency.

import "time"

const (
	targetLatencyRatio     = 0.35 // target for mean latency relative to the objective; above it the limit is cut
	limitDecrease          = 0.9  // a cut multiplies the limit by at most this factor
	limitIncrease          = 4.0  // growth of the limit over one span of the average at zero latency, in attempts per backend
	initialLimitPerBackend = 6.0  // limit at the start, for all agents together per backend
	minLimitPerBackend     = 4.0  // lower bound of the limit: less would leave cores idle
	maxBackendShares       = 3.0  // limit of one backend, as a multiple of its even share of the limit
	maxWarmLoad            = 1.1  // bound for the warm backends while others are in slow start, as a multiple of their share
)

// concurrencyLimiter adapts the limit per backend of the whole fleet. This agent's share of that limit is its quota.
type concurrencyLimiter struct {
	perBackend   float64       // attempts that all agents together may have in flight, per backend in use
	quota        float64       // this agent's share of the limit
	latencyRatio float64       // moving average of latency relative to the latency objective
	cutAt        time.Duration // when the limit was last cut
}

// newConcurrencyLimiter returns the limiter of one agent in a fleet of the given number of agents, with an even quota.
func newConcurrencyLimiter(agents int) concurrencyLimiter {
	return concurrencyLimiter{perBackend: initialLimitPerBackend, quota: 1 / float64(agents)}
}

// limit returns the number of attempts that may be in flight now. The limit grows and shrinks with the capacity of the
// listed backends, in which a backend in slow start counts by its warmth.
func (l *concurrencyLimiter) limit(capacity float64) float64 {
	return max(1, l.perBackend*l.quota*capacity)
}

// allows reports whether another attempt may be sent while inUse attempts are in flight.
func (l *concurrencyLimiter) allows(inUse int, capacity float64) bool {
	return float64(inUse) < l.limit(capacity)
}

// backendLimit returns the number of attempts of this agent that one backend may have in flight.
func (l *concurrencyLimiter) backendLimit() float64 {
	return max(1, maxBackendShares*l.perBackend*l.quota)
}

// warmLimit returns the number of attempts that all warm backends together may have in flight while others are in slow
// start.
func (l *concurrencyLimiter) warmLimit(warmCapacity float64) float64 {
	return max(1, maxWarmLoad*l.perBackend*l.quota*warmCapacity)
}

// sinceCut returns the time since the limit was last cut.
func (l *concurrencyLimiter) sinceCut(now time.Duration) time.Duration { return now - l.cutAt }

// adjust updates the limit with one latency sample, relative to the objective and capped at 2. While the moving average
// is above the target, the limit is cut once per cooldown. While the average is below the target and the limit binds,
// the limit grows by the square of the distance to the target: when a zone is lost the other zones must take over its
// share within seconds, but close to the target one step too many overloads the backends. Departure: requests beyond
// the limit are queued and then refused, since answers from a queue that is longer than the objectives are all late.
// The lower bound, a few attempts per backend, keeps the backends busy in a fleet that is slow but has no queues.
func (l *concurrencyLimiter) adjust(sample float64, now, cooldown time.Duration, inUse int, capacity float64) {
	// The average spans as many samples as attempts may be in flight: with fewer samples, random variation would cut
	// the limit of a busy agent.
	weight := min(smoothing, 1/l.limit(capacity))
	l.latencyRatio += weight * (min(sample, 2) - l.latencyRatio)
	switch {
	case l.latencyRatio > targetLatencyRatio && l.sinceCut(now) > cooldown:
		l.perBackend = max(minLimitPerBackend, l.perBackend*min(limitDecrease, targetLatencyRatio/l.latencyRatio))
		l.cutAt = now
	case l.latencyRatio < targetLatencyRatio && float64(inUse)+1 >= l.limit(capacity)*0.9:
		headroom := 1 - l.latencyRatio/targetLatencyRatio
		l.perBackend += limitIncrease * weight * headroom * headroom // no faster than samples arrive
	}
}

// assignQuota sets this agent's share of the limit.
func (l *concurrencyLimiter) assignQuota(quota float64) { l.quota = quota }

// recordPeerLatency updates the latency ratio with that of a peer: an agent with little traffic measures a change of
// latency too late by itself.
func (l *concurrencyLimiter) recordPeerLatency(ratio float64) {
	l.latencyRatio = ewma(l.latencyRatio, min(ratio, 1))
}

// restore sets the limit and the latency ratio to the ones of an earlier process.
func (l *concurrencyLimiter) restore(perBackend, latencyRatio float64) {
	l.perBackend, l.latencyRatio = perBackend, latencyRatio
}
