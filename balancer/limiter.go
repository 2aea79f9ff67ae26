package balancer

// The concurrency limiter: how many attempts this agent may have in flight, by the latency that it sees.

import "time"

const (
	targetLatencyRatio     = 0.35 // target for mean latency relative to the objective; above it the limit is cut
	limitDecrease          = 0.9  // factor of one cut
	limitIncrease          = 4.0  // growth, in attempts per backend for each mean of answers, at zero latency
	initialLimitPerBackend = 6.0  // limit at the start, for all agents together per backend
	minLimitPerBackend     = 4.0  // lower bound of the limit: less would leave cores idle
	maxBackendShares       = 3.0  // a backend gets no more than so many times its even share of the limit
	maxWarmLoad            = 1.1  // shares of the limit that warm backends take while others are in slow start
)

// concurrencyLimiter adapts one limit per backend for the whole fleet. This agent's part of it is its quota.
type concurrencyLimiter struct {
	perBackend   float64       // attempts that all agents together may have in flight, per backend in use
	quota        float64       // this agent's share of the limit
	latencyRatio float64       // moving average of latency relative to the latency objective
	cutAt        time.Duration // when the limit was last cut
}

// newConcurrencyLimiter returns the limiter of one of so many agents, with an even quota.
func newConcurrencyLimiter(agents int) concurrencyLimiter {
	return concurrencyLimiter{perBackend: initialLimitPerBackend, quota: 1 / float64(agents)}
}

// limit is the number of attempts that may be in flight now. It follows the endpoint list as the fleet grows and
// shrinks; in the capacity a backend in slow start counts by its warmth.
func (l *concurrencyLimiter) limit(capacity float64) float64 {
	return max(1, l.perBackend*l.quota*capacity)
}

// allows reports whether another attempt may be sent beside those in use.
func (l *concurrencyLimiter) allows(inUse int, capacity float64) bool {
	return float64(inUse) < l.limit(capacity)
}

// backendLimit is the number of attempts that one backend may get from this agent.
func (l *concurrencyLimiter) backendLimit() float64 {
	return max(1, maxBackendShares*l.perBackend*l.quota)
}

// warmLimit is the number of attempts that the warm backends may get together while others are in slow start.
func (l *concurrencyLimiter) warmLimit(warmCapacity float64) float64 {
	return max(1, maxWarmLoad*l.perBackend*l.quota*warmCapacity)
}

// sinceCut is the time since the limit was last cut.
func (l *concurrencyLimiter) sinceCut(now time.Duration) time.Duration { return now - l.cutAt }

// adjust moves the limit by one latency sample, relative to the objective. The limit falls while the moving average is
// above the target, by one cut for each cooldown. It grows while the limit binds, by the square of the distance to the
// target: when a zone is lost the others must take over its share within seconds, but close to the target one step too
// many overloads the backends. Departure: beyond the limit requests are queued and then refused, since a queue that
// outlasts the objectives serves nobody. The lower bound, a few attempts per backend, keeps a fleet in use that is
// slow but has no queues.
func (l *concurrencyLimiter) adjust(sample float64, now, cooldown time.Duration, inUse int, capacity float64) {
	// The average spans what is in flight at once: over fewer samples, chance would cut a busy agent's limit.
	weight := min(smoothing, 1/l.limit(capacity))
	l.latencyRatio += weight * (min(sample, 2) - l.latencyRatio)
	switch {
	case l.latencyRatio > targetLatencyRatio && l.sinceCut(now) > cooldown:
		l.perBackend = max(minLimitPerBackend, l.perBackend*min(limitDecrease, targetLatencyRatio/l.latencyRatio))
		l.cutAt = now
	case l.latencyRatio < targetLatencyRatio && float64(inUse)+1 >= l.limit(capacity)*0.9:
		headroom := 1 - l.latencyRatio/targetLatencyRatio
		l.perBackend += limitIncrease * weight * headroom * headroom // no faster than latency is observed
	}
}

// assignQuota sets this agent's share of the limit.
func (l *concurrencyLimiter) assignQuota(quota float64) { l.quota = quota }

// learnFromPeer adds the latency ratio that a peer sees: an agent with little traffic sees latency too late by itself.
func (l *concurrencyLimiter) learnFromPeer(ratio float64) {
	l.latencyRatio = ewma(l.latencyRatio, min(ratio, 1))
}

// restore continues from the limit and the latency ratio of an earlier process.
func (l *concurrencyLimiter) restore(perBackend, latencyRatio float64) {
	l.perBackend, l.latencyRatio = perBackend, latencyRatio
}
