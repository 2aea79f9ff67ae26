package startup

// This file tests many pacers against a list service of fixed capacity.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/internal/fleet/gossip"
)

// testService is a list service of fixed capacity. Calls queue, and are rejected if they would wait too long.
type testService struct {
	rate             float64       // calls per second
	maxWait          time.Duration // a call that would wait longer is rejected
	idleAt           time.Time     // when the queue will be empty
	unavailableUntil time.Time     // calls before this time are rejected
	calls            int
	rejected         int
	peak             int // calls in the busiest second
	startedAt        time.Time
	callsBySecond    map[int]int
}

var errBusy = errors.New("busy")

// call returns the time until the response, or errBusy if the call is rejected.
func (s *testService) call() (time.Duration, error) {
	now := time.Now()
	s.calls++
	sec := int(now.Sub(s.startedAt) / time.Second)
	s.callsBySecond[sec]++
	s.peak = max(s.peak, s.callsBySecond[sec])
	if now.Before(s.unavailableUntil) {
		s.rejected++
		return 0, errBusy
	}
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	wait := s.idleAt.Sub(now)
	if wait > s.maxWait {
		s.rejected++
		return 0, errBusy
	}
	s.idleAt = s.idleAt.Add(time.Duration(float64(time.Second) / s.rate))
	return wait + time.Duration(float64(time.Second)/s.rate), nil
}

// startAll starts n processes within a second, with or without gossip between them, and returns the time until all have a
// list.
func startAll(t *testing.T, n int, s *testService, withGossip bool) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel() // all processes have a list by then
		s.startedAt, s.callsBySecond = time.Now(), map[int]int{}
		if !s.unavailableUntil.IsZero() {
			s.unavailableUntil = s.startedAt.Add(10 * time.Second)
		}
		calls := make(chan func(), n) // executed one at a time, because they share the service and the counts
		var stores []*gossip.Store
		var waiting atomic.Int64
		waiting.Store(int64(n))
		done := make(chan struct{}, n)
		for i := range n {
			countStarting := func() int { return 1 }
			cfg := Config{Rate: 17, HasPeers: func() bool { return false }}
			if withGossip {
				store := gossip.New(fmt.Sprint(i), 1, gossip.DefaultAgeBounds, nil)
				stores = append(stores, store)
				countStarting = func() int { return max(1, int(waiting.Load())) }
				cfg = Config{Rate: 17, HasPeers: func() bool { return time.Since(s.startedAt) > 200*time.Millisecond }, Store: store}
			}
			go func() {
				time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
				if callUntilSuccess(ctx, New(cfg), countStarting, s, calls) {
					done <- struct{}{}
				}
			}()
		}
		gossipTicker := time.NewTicker(100 * time.Millisecond)
		defer gossipTicker.Stop()
		for completed := 0; completed < n; {
			select {
			case call := <-calls:
				call()
			case <-done:
				completed++
				waiting.Add(-1)
			case <-gossipTicker.C:
				gossipRound(stores)
			}
		}
		took = time.Since(s.startedAt)
	})
	return took
}

// callUntilSuccess calls the service when it is the process's turn, until it gets a list. The receiver of the channel makes
// the calls. callUntilSuccess reports false if ctx ends first.
func callUntilSuccess(ctx context.Context, p *Pacer, countStarting func() int, s *testService, calls chan<- func()) bool {
	type callResult struct {
		took time.Duration
		err  error
	}
	for p.AwaitTurn(ctx, countStarting) {
		results := make(chan callResult, 1)
		calls <- func() { took, err := s.call(); results <- callResult{took, err} }
		result := <-results
		time.Sleep(result.took)
		p.RecordAttempt(result.took, result.err != nil, 1)
		if result.err == nil {
			return true
		}
	}
	return false
}

// gossipRound sends messages from each store to random other stores.
func gossipRound(stores []*gossip.Store) {
	n := len(stores)
	for i, st := range stores {
		st.Tick()
		for range 3 {
			if data := st.NextMessage(1000, n); data != nil {
				if to := rand.IntN(n); to != i {
					_ = stores[to].Merge(data)
				}
			}
		}
	}
}

// Many processes that start at the same time do not overload a service whose capacity they estimate only from published
// loads, and all get a list in time.
func TestSimultaneousStartsStayWithinServiceCapacity(t *testing.T) {
	for _, c := range []struct {
		n                int
		rate             float64
		unavailable      bool
		withGossip       bool
		maxCallsPerAgent float64 // greatest number of calls per agent
		maxSlowdown      float64 // greatest time until all have a list: this many times the shortest that the capacity allows, plus 2 s
	}{
		{100, 17, false, true, 1.4, 2}, {100, 67, false, true, 1.1, 4}, {10, 50, false, true, 1.01, 4},
		{100, 50, true, true, 6, 3}, {100, 50, false, false, 3, 4}, {1, 50, false, true, 1, 50},
	} {
		s := &testService{rate: c.rate, maxWait: 2 * time.Second}
		if c.unavailable {
			s.unavailableUntil = time.Now()
		}
		took := startAll(t, c.n, s, c.withGossip)
		callsPerAgent, ideal := float64(s.calls)/float64(c.n), float64(c.n)/c.rate
		if c.unavailable {
			ideal += 10
		}
		t.Logf("%3d agents, %3.0f calls/s, unavailable %v, gossip %v: %.2f calls per agent, %d rejected, %d in the busiest second, all have a list after %.1f s (%.1f s by capacity)",
			c.n, c.rate, c.unavailable, c.withGossip, callsPerAgent, s.rejected, s.peak, took.Seconds(), ideal)
		if callsPerAgent > c.maxCallsPerAgent || took.Seconds() > c.maxSlowdown*ideal+2 {
			t.Errorf("%d agents: got %.2f calls per agent and all lists after %.1f s, want at most %.2f calls and %.1f s", c.n, callsPerAgent, took.Seconds(), c.maxCallsPerAgent, c.maxSlowdown*ideal+2)
		}
	}
}
