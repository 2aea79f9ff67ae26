package balancer

// The retry budget: how many retries an agent may make, as a share of its successes. The struct stands alone.

const (
	maxRetryTokens = 100.0 // capacity of the budget: a quiet agent funds 20 retries at once, not 100
	retryCost      = 5.0   // tokens for a retry
	timeoutCost    = 10.0  // tokens for a retry after a time-out, which may indicate a deeper problem
	successRefill  = 1.0   // tokens that an answered request brings back
)

// RetryBudget is a token bucket that retries draw from and successes refill. Thereby retries stay a bounded share of
// the traffic while most requests fail. The zero value is an empty budget; NewRetryBudget returns a full one.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: maxRetryTokens} }

// RetryCost returns the tokens that a retry after the given result takes.
func RetryCost(result Result) float64 {
	if result == TimedOut {
		return timeoutCost
	}
	return retryCost
}

// Covers reports whether the budget holds the cost.
func (b *RetryBudget) Covers(cost float64) bool { return b.tokens >= cost }

// Spend takes the cost, which the budget must cover.
func (b *RetryBudget) Spend(cost float64) { b.tokens -= cost }

// Refill adds what one answered request brings back, up to the capacity.
func (b *RetryBudget) Refill() { b.tokens = min(maxRetryTokens, b.tokens+successRefill) }

// Tokens returns what the budget holds.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

// Restore sets the tokens to those of an earlier process. A value that no budget can hold is ignored.
func (b *RetryBudget) Restore(tokens float64) {
	if tokens >= 0 && tokens <= maxRetryTokens {
		b.tokens = tokens
	}
}
