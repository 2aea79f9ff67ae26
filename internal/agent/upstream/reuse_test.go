package upstream

import (
	"context"
	"slices"
	"testing"
	"time"

	"martenbeam/balancer"
)

// TestIdleTimesThatOftenBreakAreNotReused: some backends drop idle connections long before the idle time in the settings,
// without closing them (ticket 8488). After a few resets on connections of one idle time, connections that have been idle
// for this long are closed unused. Connections with shorter idle times are still used.
func TestIdleTimesThatOftenBreakAreNotReused(t *testing.T) {
	responses := make(chan string, 100)
	backend := startRawBackend(t, func(int) string { return <-responses })
	pool := poolWithBackend(t, backend.addr)
	attempt := func(idle time.Duration, response string) (balancer.Result, *pooledConn) {
		t.Helper()
		var old *pooledConn
		if idle > 0 {
			old = pool.idle["s"][0]
			old.idleSince = time.Now().Add(-idle)
		}
		responses <- response
		result, _, _ := attemptOn(t, pool, context.Background(), "x")
		return result, old
	}
	const old, young = 20 * time.Second, time.Second
	resets := 0
	for ; resets < 20; resets++ {
		if result, _ := attempt(0, ok200); result != balancer.OK {
			t.Fatalf("result on a new connection: %v, want OK", result)
		}
		if result, c := attempt(young, ok200); result != balancer.OK || pool.idle["s"][0] != c {
			t.Fatalf("young connection: result %v, reused %v; want OK, true", result, slices.Contains(pool.idle["s"], c))
		}
		pool.mu.Lock()
		oldUnreliable := pool.reuseStats.unreliable(old)
		pool.mu.Unlock()
		if oldUnreliable {
			break
		}
		if result, _ := attempt(old, ""); result != balancer.Reset {
			t.Fatalf("result on the old connection: %v, want Reset", result)
		}
	}
	if resets < 2 || resets > 5 {
		t.Errorf("%d resets before old connections became unreliable, want 2 to 5", resets)
	}
	if result, c := attempt(old, ok200); result != balancer.OK || c.Err() == nil || pool.idle["s"][0] == c {
		t.Errorf("old connection: result %v, closed %v, reused %v; want OK, true, false", result, c.Err() != nil,
			slices.Contains(pool.idle["s"], c))
	}
	pool.reuseStats.decay(10 * reuseHalfLife)
	if pool.reuseStats.unreliable(old) {
		t.Error("old connections are still unreliable after ten half-lives")
	}
}

// TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes: if new connections break as often as idle ones, the idle time is
// not the cause.
func TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes(t *testing.T) {
	var stats reuseStats
	for i := range 400 {
		stats.record(0, i%5 == 0)
		stats.record(100*time.Millisecond, i%5 == 0)
	}
	if stats.unreliable(100 * time.Millisecond) {
		t.Error("idle connections are unreliable, although new ones break as often")
	}
}

// TestCloseExpiredWithMinimalIdleTime: the smallest idle time that the settings allow must not cause a panic.
func TestCloseExpiredWithMinimalIdleTime(t *testing.T) {
	cfg := testConfig()
	cfg.IdleClose = 1
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	New(cfg, discardLog).CloseExpired(ctx)
}
