package balancer

// Admission by credit, for agents whose quota is less than one attempt. The struct uses no other state.

const (
	targetLatencyRatioWithoutGossip = 0.6 // target without gossip: chance rejections then count as latency
	creditBurst                     = 4.0 // upper bound of an account, in mean requests
	maxCreditPerRequest             = 2.0 // bound of the credit per first attempt, in units of its work; retries need credit too
)

// creditAccount is the work, in ns, that an agent with a sparse quota may still send. It may fall below zero.
type creditAccount struct{ credit float64 }

// accrue adds the credit for a first attempt: its work, in ns, times the square of target latency over current latency.
// The factor is at most maxCreditPerRequest, and the account at most creditBurst mean requests of the class.
func (c *creditAccount) accrue(work, latencyRatio, meanLatency float64, gossiping bool) {
	factor := targetLatencyRatioWithoutGossip / max(latencyRatio, 1e-9)
	if gossiping {
		factor *= targetLatencyRatio / targetLatencyRatioWithoutGossip
	}
	c.credit = min(c.credit+work*min(factor*factor, maxCreditPerRequest), creditBurst*meanLatency)
}

// spend subtracts the work of an attempt, in ns.
func (c *creditAccount) spend(work float64) { c.credit -= work }

// covers reports whether the credit suffices for a request of a class with the given mean latency, in ns. There are
// seldom two requests to choose from, so each class leaves credit for the more valuable classes, in proportion to their
// share (above) of all arriving work (total).
func (c *creditAccount) covers(meanLatency, above, total float64) bool {
	return c.credit > creditBurst*meanLatency*above/max(total, 1)
}
