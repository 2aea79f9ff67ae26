package balancer

// Unit tests of the concurrency limiter and of admission by credit.

import (
	"testing"
	"time"
)

func TestLimiterCutsOncePerCooldown(t *testing.T) {
	l := newConcurrencyLimiter(2)
	const capacity, cooldown = 10.0, 100 * time.Millisecond
	if limit := l.limit(capacity); limit != initialLimitPerBackend*capacity/2 {
		t.Fatalf("limit %v at the start, want an even share of the initial limit", limit)
	}
	now := time.Second
	for l.latencyRatio <= targetLatencyRatio { // the sample that passes the target cuts the limit
		l.adjust(2, now, cooldown, 0, capacity)
	}
	first := l.perBackend
	if first >= initialLimitPerBackend || first < minLimitPerBackend {
		t.Fatalf("limit per backend %v after a cut, want less than initialLimitPerBackend, but at least minLimitPerBackend", first)
	}
	if l.adjust(2, now+cooldown, cooldown, 0, capacity); l.perBackend != first {
		t.Error("the limit was cut again within the cooldown")
	}
	if l.adjust(2, now+cooldown+1, cooldown, 0, capacity); l.perBackend >= first {
		t.Error("the limit was not cut again after the cooldown")
	}
	for n := range 100 {
		l.adjust(2, now+time.Duration(n+2)*2*cooldown, cooldown, 0, capacity)
	}
	if l.perBackend != minLimitPerBackend {
		t.Errorf("limit per backend %v after many cuts, want minLimitPerBackend", l.perBackend)
	}
}

func TestLimiterGrowsOnlyWhileItBinds(t *testing.T) {
	idle, busy, nearTarget := newConcurrencyLimiter(1), newConcurrencyLimiter(1), newConcurrencyLimiter(1)
	nearTarget.restore(initialLimitPerBackend, 0.9*targetLatencyRatio)
	for range 20 {
		idle.adjust(0.1, time.Second, 0, 10, 10)
		busy.adjust(0.1, time.Second, 0, 60, 10)
	}
	nearTarget.adjust(0.9*targetLatencyRatio, time.Second, 0, 60, 10)
	if idle.perBackend != initialLimitPerBackend {
		t.Errorf("limit per backend %v after fast responses while the limit did not bind, want the initial limit", idle.perBackend)
	}
	if busy.perBackend <= initialLimitPerBackend {
		t.Error("the limit did not grow while it was binding, want growth after fast responses")
	}
	if grown := nearTarget.perBackend - initialLimitPerBackend; grown <= 0 || grown > 0.02*limitIncrease*smoothing {
		t.Errorf("the limit grew by %v close to the target, want more than 0 and at most 2%% of the fastest growth", grown)
	}
}

func TestLimiterBoundsEachBackend(t *testing.T) {
	l := newConcurrencyLimiter(3)
	if got := l.backendLimit(); got != maxBackendShares*initialLimitPerBackend*l.quota {
		t.Errorf("backendLimit %v, want maxBackendShares times the share of this agent in the initial limit", got)
	}
	if l.quota = 1e-6; l.backendLimit() != 1 || l.limit(10) != 1 || l.warmLimit(10) != 1 {
		t.Error("with a small quota a limit is not 1, want limits of one attempt")
	}
	if !l.allows(0, 10) || l.allows(1, 10) {
		t.Error("a limit of 1 does not allow exactly one attempt, want the first allowed and the second not")
	}
}

func TestCreditFollowsTheSquareOfLatency(t *testing.T) {
	const work, mean = 1e6, 1e6
	for name, c := range map[string]struct {
		ratio     float64
		gossiping bool
		want      float64 // credit, as a multiple of the work
	}{
		"at the target":         {targetLatencyRatio, true, 1},
		"twice the target":      {2 * targetLatencyRatio, true, 0.25},
		"far below":             {0, true, maxCreditPerRequest},
		"without gossip":        {targetLatencyRatioWithoutGossip, false, 1},
		"without gossip, twice": {2 * targetLatencyRatioWithoutGossip, false, 0.25},
	} {
		var account creditAccount
		account.accrue(work, c.ratio, mean, c.gossiping)
		if got := account.credit / work; got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%s: a credit of %v times the work, want %v", name, got, c.want)
		}
	}
}

func TestCreditIsLeftForMoreValuableClasses(t *testing.T) {
	const mean = 1e6
	var account creditAccount
	for range 100 {
		account.accrue(mean, 0, mean, true)
	}
	if account.credit != creditBurst*mean {
		t.Fatalf("credit %v after 100 first attempts without sends, want creditBurst mean requests", account.credit)
	}
	account.spend(2 * mean)
	if !account.covers(mean, 0, 1e9) || !account.covers(mean, 0.4e9, 1e9) || account.covers(mean, 0.6e9, 1e9) {
		t.Error("half of the burst covers the wrong classes, want those below which less than half of the work is more valuable")
	}
	account.spend(2 * mean)
	if account.covers(mean, 0, 1e9) {
		t.Error("an account without credit covers a request, want none covered")
	}
}
