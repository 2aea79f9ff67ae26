package balancer

// The state that a process of an agent hands over to its successor. Nothing is decided here.

import "math"

// Snapshot is the state that a process of an agent hands over to its successor. For the rules and for peers the
// two processes are one agent.
type Snapshot struct {
	Tokens          float64   `json:"tokens"`   // tokens of the retry budget
	LimitPerBackend float64   `json:"per_back"` // concurrency limit of all agents together, per backend
	LatencyRatio    float64   `json:"delay"`    // mean latency relative to the objective
	PeakThroughput  float64   `json:"best"`     // requests per ns that a backend served recently
	Demand          float64   `json:"asked"`    // decayed work that clients request, ns
	DrainedDemand   float64   `json:"moved"`    // Demand of clients that were moved to other agents; 0: not drained
	PeerDemand      []float64 `json:"peers"`    // Demand of peers by agent number; below 0: unknown
	Latency         []float64 `json:"latency"`  // mean latency by class, ns
}

// Snapshot returns the state for the next process. It must be called from the goroutine that calls Step.
func (b *Balancer) Snapshot() Snapshot {
	snapshot := Snapshot{Tokens: b.retryBudget.Tokens(), LimitPerBackend: b.limiter.perBackend,
		LatencyRatio: b.limiter.latencyRatio, PeakThroughput: b.throughput.perBackend(b.now),
		Demand: b.demand.steady(b.now), DrainedDemand: b.drainedDemand, PeerDemand: b.peers.snapshot(b.now)}
	for i := range b.classes {
		snapshot.Latency = append(snapshot.Latency, b.classes[i].latency)
	}
	return snapshot
}

// onRestore restores a snapshot. The content is not trusted: values out of range are ignored. If the limit, the latency
// ratio, the throughput or a demand of this agent is out of range, or a length does not match the settings, onRestore
// restores only the tokens.
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
	b.demand.resume(b.now, max(event.Demand, event.DrainedDemand)) // a Drain event follows if the agent is still drained
	b.peers.restore(event.PeerDemand, b.now)
	for i, latency := range event.Latency {
		b.classes[i].restore(latency)
	}
	b.recomputeQuota()
}
