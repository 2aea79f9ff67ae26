package upstream

import (
	"context"
	"testing"
	"time"

	"martenbeam/balancer"
)

// TestIdleTimesThatOftenBreakAreNotReused: some backends drop idle connections long before the settings' time, without a
// sign (ticket 8488). Once a few requests were lost on connections that had been idle for so long, such connections are
// closed unused; younger ones are still used.
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
			t.Fatalf("on a new connection: %v", result)
		}
		if result, c := attempt(young, ok200); result != balancer.OK || pool.idle["s"][0] != c {
			t.Fatalf("the young connection was not used, or %v", result)
		}
		pool.mu.Lock()
		oldUnreliable := pool.reuseStats.unreliable(old)
		pool.mu.Unlock()
		if oldUnreliable {
			break
		}
		if result, _ := attempt(old, ""); result != balancer.Reset {
			t.Fatalf("on the old connection: %v", result)
		}
	}
	if resets < 2 || resets > 5 {
		t.Errorf("%d requests lost before old connections were doubted", resets)
	}
	if result, c := attempt(old, ok200); result != balancer.OK || c.Err() == nil || pool.idle["s"][0] == c {
		t.Errorf("an old connection was used again, or %v", result)
	}
	pool.reuseStats.decay(10 * reuseHalfLife)
	if pool.reuseStats.unreliable(old) {
		t.Error("doubted for ever")
	}
}

// TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes: if new connections break as often, idle time is not the reason.
func TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes(t *testing.T) {
	var stats reuseStats
	for i := range 400 {
		stats.record(0, i%5 == 0)
		stats.record(100*time.Millisecond, i%5 == 0)
	}
	if stats.unreliable(100 * time.Millisecond) {
		t.Error("idle connections are doubted, though new ones break as often")
	}
}

// TestCloseExpiredWithMinimalIdleTime: the smallest idle time that the settings allow must not stop the program.
func TestCloseExpiredWithMinimalIdleTime(t *testing.T) {
	cfg := testConfig()
	cfg.IdleClose = 1
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	New(cfg, discardLog).CloseExpired(ctx)
}
