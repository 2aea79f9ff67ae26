package agent

import (
	"context"
	"testing"
	"time"

	"martenbeam/balancer"
)

// Ticket 8488: some backends drop idle connections long before the settings' time and say
// nothing. Once a few requests have been lost on connections idle for so long, such ones are
// closed unused, and younger ones are still used.
func TestConnectionsOfAnAgeThatBreaksAreNotReused(t *testing.T) {
	answers := make(chan string, 100)
	s := serveRaw(t, func(int) string { return <-answers })
	b := poolFor(t, s.addr)
	attempt := func(idle time.Duration, answer string) (balancer.Result, *conn) {
		t.Helper()
		var old *conn
		if idle > 0 {
			old = b.idle["s"][0]
			old.since = time.Now().Add(-idle)
		}
		answers <- answer
		result, _, _ := attemptAt(t, b, context.Background(), "x")
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
		doubtful := b.reuse.doubtful(old)
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
	b.reuse.fade(10 * reuseHalving)
	if b.reuse.doubtful(old) {
		t.Error("doubted for ever")
	}
}

// What breaks on new connections as often tells nothing of age.
func TestBreaksOfNewConnectionsAreNoAge(t *testing.T) {
	var r reuse
	for i := range 400 {
		r.learn(0, i%5 == 0)
		r.learn(100*time.Millisecond, i%5 == 0)
	}
	if r.doubtful(100 * time.Millisecond) {
		t.Error("idle connections are doubted, though new ones break as often")
	}
}

// The least time after which backends close idle connections is no reason to end the program.
func TestReapWithTheLeastIdleTime(t *testing.T) {
	cfg := testConfig(t, setup{})
	cfg.Site.IdleClose = 1
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	newBackends(cfg, quiet).reap(ctx)
}
