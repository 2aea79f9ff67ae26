package balancer

// Unit tests of the retry budget.

import (
	"math"
	"testing"
)

func TestRetryBudgetFundsAndRefills(t *testing.T) {
	b := NewRetryBudget()
	spent := 0
	for cost := RetryCost(Errored); b.Covers(cost); spent++ {
		b.Spend(cost)
	}
	if spent != 20 || b.Tokens() != 0 {
		t.Errorf("a full budget covers %d retries and has %v tokens left, want 20 and 0", spent, b.Tokens())
	}
	for range 9 {
		b.Refill()
	}
	if b.Covers(RetryCost(TimedOut)) {
		t.Error("nine successes cover a retry after a time-out, want ten to be necessary")
	}
	if b.Refill(); !b.Covers(RetryCost(TimedOut)) || RetryCost(TimedOut) != 2*RetryCost(Reset) {
		t.Errorf("ten successes give %v tokens, want enough for one retry after a time-out, at twice the usual cost", b.Tokens())
	}
	for range 1000 {
		b.Refill()
	}
	if b.Tokens() != maxRetryTokens {
		t.Errorf("%v tokens after many successes, want the capacity of %v", b.Tokens(), maxRetryTokens)
	}
}

func TestRetryBudgetRestoresValidTokensOnly(t *testing.T) {
	for tokens, want := range map[float64]float64{0: 0, 42.5: 42.5, maxRetryTokens: maxRetryTokens,
		-1: maxRetryTokens, maxRetryTokens + 1: maxRetryTokens, math.NaN(): maxRetryTokens, math.Inf(1): maxRetryTokens} {
		b := NewRetryBudget()
		if b.Restore(tokens); b.Tokens() != want {
			t.Errorf("restored %v: %v tokens, want %v", tokens, b.Tokens(), want)
		}
	}
}
