package balancer

// The retry budget: how many retries an agent may make, as a share of its successes. The struct uses no
// other state.

const (
	maxRetryTokens = 100.0 // capacity of the budget: a full one allows 20 retries at once, not 100
	retryCost      = 5.0   // tokens for a retry
	timeoutCost    = 10.0  // tokens for a retry after a time-out, which may indicate a deeper problem
	successRefill  = 1.0   // tokens that an answered request adds
)

// RetryBudget is a token bucket that retries draw from and successes refill. Retries stay a bounded share of the
// traffic even while most requests fail. The zero value is an empty budget; NewRetryBudget returns a full one.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: maxRetryTokens} }

// RetryCost returns the number of tokens that a retry after the given result costs.
func RetryCost(result Result) float64 {
	if result == TimedOut {
		return timeoutCost
	}
	return retryCost
}

// Covers reports whether the budget has enough tokens for the cost.
func (b *RetryBudget) Covers(cost float64) bool { return b.tokens >= cost }

// Spend removes the tokens of the cost, which Covers must have allowed.
func (b *RetryBudget) Spend(cost float64) { b.tokens -= cost }

// Refill adds the tokens for one answered request, up to the capacity.
func (b *RetryBudget) Refill() { b.tokens = min(maxRetryTokens, b.tokens+successRefill) }

// Tokens returns the number of tokens in the budget.
func (b *RetryBudget) Tokens() float64 { return b.tokens }

// Restore sets the tokens to those of an earlier process. A value out of range is ignored.
func (b *RetryBudget) Restore(tokens float64) {
	if tokens >= 0 && tokens <= maxRetryTokens {
		b.tokens = tokens
	}
}
