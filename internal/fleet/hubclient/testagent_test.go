// A Client for tests, and functions that wait for conditions.

package hubclient

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
)

// testAgent is a running Client with the values that it passed to its callbacks.
type testAgent struct {
	*Client
	stop   func() // ends Run and waits for it
	mu     sync.Mutex
	quotas []float64
	rtts   []time.Duration
}

// newTestAgent runs a Client of zone a that prefers the first hub. If configure is not nil, it adjusts the
// configuration first.
func newTestAgent(t *testing.T, configure func(*Config), hubs ...*fakeHub) *testAgent {
	t.Helper()
	cfg := Config{Name: "x", Site: "a", Region: "r", Listen: "127.0.0.1:0",
		MaxAgents: 10, AgeBounds: gossip.DefaultAgeBounds, Log: slog.New(slog.DiscardHandler)}
	for i, h := range hubs {
		cfg.Hubs = append(cfg.Hubs, Hub{string(rune('a' + i)), "r", h.addr})
	}
	if configure != nil {
		configure(&cfg)
	}
	a := &testAgent{}
	var err error
	a.Client, err = New(cfg, []string{"a", "b"}, fleet.Callbacks{
		Quota:     func(quota float64) { a.mu.Lock(); a.quotas = append(a.quotas, quota); a.mu.Unlock() },
		Latencies: func(rtts []time.Duration, _ []float64) { a.mu.Lock(); a.rtts = rtts; a.mu.Unlock() }})
	if err != nil {
		t.Fatal(err)
	}
	a.selector.preferredCheckInterval = 300 * time.Millisecond
	a.stop = runTask(t, a.Client.Run)
	return a
}

// attachedTo, hasQuota and hasRTT return conditions for waitFor. hasRTT checks the latency to zone b.
func (a *testAgent) attachedTo(hub string) func() bool {
	return func() bool { return a.Status().Hub == hub }
}

func (a *testAgent) hasQuota(quota float64) func() bool {
	return func() bool { return a.Status().Quota == quota }
}

func (a *testAgent) hasRTT(d time.Duration) func() bool {
	return func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.rtts) == 2 && a.rtts[1] == d }
}

// hasEchoedState reports whether the agent is attached to a hub that has echoed a state.
func (a *testAgent) hasEchoedState() bool {
	a.Client.mu.Lock()
	current := a.attachment
	a.Client.mu.Unlock()
	if current == nil {
		return false
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	return !current.echoedStateSentAt.IsZero()
}

// runTask runs task in a goroutine until the test ends. stop ends the task earlier, and waits until it has returned.
func runTask(t *testing.T, task func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := task(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// waitFor waits until a condition holds, and fails the test after waitTimeout. condition is a noun phrase that follows
// "timed out waiting for" in the message.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", condition)
		}
	}
}
