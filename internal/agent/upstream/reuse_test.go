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
	answers := make(chan string, 100)
	s := startRawBackend(t, func(int) string { return <-answers })
	b := poolWithBackend(t, s.addr)
	attempt := func(idle time.Duration, answer string) (balancer.Result, *pooledConn) {
		t.Helper()
		var old *pooledConn
		if idle > 0 {
			old = b.idle["s"][0]
			old.idleSince = time.Now().Add(-idle)
		}
		answers <- answer
		result, _, _ := attemptOn(t, b, context.Background(), "x")
		return result, old
	}
	const old, young = 20 * time.Second, time.Second
	lost := 0
	for ; lost < 20; lost++ {
		if result, _ := attempt(0, ok200); result != balancer.OK {
			t.Fatalf("on a new connection: %v", result)
		}
		if result, c := attempt(young, ok200); result != balancer.OK || b.idle["s"][0] != c {
			t.Fatalf("the young connection was not used, or %v", result)
		}
		b.mu.Lock()
		doubtful := b.reuseStats.unreliable(old)
		b.mu.Unlock()
		if doubtful {
			break
		}
		if result, _ := attempt(old, ""); result != balancer.Reset {
			t.Fatalf("on the old connection: %v", result)
		}
	}
	if lost < 2 || lost > 5 {
		t.Errorf("%d requests lost before old connections were doubted", lost)
	}
	if result, c := attempt(old, ok200); result != balancer.OK || c.Err() == nil || b.idle["s"][0] == c {
		t.Errorf("an old connection was used again, or %v", result)
	}
	b.reuseStats.decay(10 * reuseHalfLife)
	if b.reuseStats.unreliable(old) {
		t.Error("doubted for ever")
	}
}

// TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes: if new connections break as often, idle time is not the reason.
func TestBreaksOfNewConnectionsDoNotCountAgainstIdleOnes(t *testing.T) {
	var r reuseStats
	for i := range 400 {
		r.record(0, i%5 == 0)
		r.record(100*time.Millisecond, i%5 == 0)
	}
	if r.unreliable(100 * time.Millisecond) {
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
