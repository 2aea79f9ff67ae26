package balancer

// Admission by credit, for agents whose quota is less than one attempt. The struct stands alone.

const (
	targetLatencyRatioAlone = 0.6 // target without gossip, where rejections met by chance count as latency
	creditBurst             = 4.0 // mean requests that may be sent ahead of the credit
	maxCreditPerRequest     = 2.0 // largest credit of a first attempt, in its own work: retries need some too
)

// creditAccount is the work, in ns, that an agent with a sparse quota may still send. It may fall below zero.
type creditAccount struct{ credit float64 }

// accrue adds what a first attempt of the given work brings: its work times the square of target latency over present
// latency. The account holds no more than a burst of mean requests of the class.
func (c *creditAccount) accrue(work, latencyRatio, meanLatency float64, gossiping bool) {
	factor := targetLatencyRatioAlone / max(latencyRatio, 1e-9)
	if gossiping {
		factor *= targetLatencyRatio / targetLatencyRatioAlone
	}
	c.credit = min(c.credit+work*min(factor*factor, maxCreditPerRequest), creditBurst*meanLatency)
}

// spend takes the work of an attempt.
func (c *creditAccount) spend(work float64) { c.credit -= work }

// covers reports whether a request of a class may be sent. There are seldom two requests to choose from, so each class
// leaves credit for the more valuable ones, in proportion to their share (above) of all arriving work (total).
func (c *creditAccount) covers(meanLatency, above, total float64) bool {
	return c.credit > creditBurst*meanLatency*above/max(total, 1)
}
