package startup

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

// service is a list service of fixed capacity: calls wait in turn, and fail when they would wait too long.
type service struct {
	rate   float64
	most   time.Duration // a call that would wait longer is refused
	free   time.Time     // the queue is empty then
	dark   time.Time     // nobody is answered before
	calls  int
	failed int
	peak   int // calls in the worst second
	began  time.Time
	bySec  map[int]int
}

var errBusy = errors.New("busy")

// call returns how long it takes until the answer, or that it is refused.
func (s *service) call() (time.Duration, error) {
	now := time.Now()
	s.calls++
	sec := int(now.Sub(s.began) / time.Second)
	s.bySec[sec]++
	s.peak = max(s.peak, s.bySec[sec])
	if now.Before(s.dark) {
		s.failed++
		return 0, errBusy
	}
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	if wait > s.most {
		s.failed++
		return 0, errBusy
	}
	s.free = s.free.Add(time.Duration(float64(time.Second) / s.rate))
	return wait + time.Duration(float64(time.Second)/s.rate), nil
}

// herd has n processes start within a second, and returns how long it took until all had a list.
func herd(t *testing.T, n int, s *service, fleet bool) (all time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel() // nobody waits any more by then
		s.began, s.bySec = time.Now(), map[int]int{}
		if !s.dark.IsZero() {
			s.dark = s.began.Add(10 * time.Second)
		}
		turns := make(chan func(), n) // one at a time: the service and the counts are shared
		var stores []*gossip.Store
		var waiting atomic.Int64
		waiting.Store(int64(n))
		done := make(chan struct{}, n)
		for i := range n {
			starters := func() int { return 1 }
			cfg := Config{Rate: 17, Met: func() bool { return false }}
			if fleet {
				store := gossip.New(fmt.Sprint(i), 1, gossip.DefaultBounds, nil)
				stores = append(stores, store)
				starters = func() int { return max(1, int(waiting.Load())) }
				cfg = Config{Rate: 17, Met: func() bool { return time.Since(s.began) > 200*time.Millisecond }, Facts: store}
			}
			go func() {
				time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
				for p := New(cfg); p.Turn(ctx, starters); {
					type answer struct {
						took time.Duration
						err  error
					}
					got := make(chan answer, 1)
					turns <- func() { took, err := s.call(); got <- answer{took, err} }
					a := <-got
					time.Sleep(a.took)
					p.Answered(a.took, a.err != nil, 1)
					if a.err == nil {
						done <- struct{}{}
						return
					}
				}
			}()
		}
		gossip := time.NewTicker(100 * time.Millisecond)
		defer gossip.Stop()
		for got := 0; got < n; {
			select {
			case do := <-turns:
				do()
			case <-done:
				got++
				waiting.Add(-1)
			case <-gossip.C:
				for i, st := range stores {
					st.Tick()
					for range 3 {
						if data := st.Gossip(1000, n); data != nil {
							if to := rand.IntN(n); to != i {
								_ = stores[to].Hear(data)
							}
						}
					}
				}
			}
		}
		all = time.Since(s.began)
	})
	return all
}

// Hundreds that start at once spare a service of which they only know by each other how much it bears.
func TestHerdSparesTheService(t *testing.T) {
	for _, c := range []struct {
		n     int
		rate  float64
		dark  bool
		fleet bool
		calls float64 // an agent, at the most
		slow  float64 // times what the capacity dictates, and 2 s, until all have a list
	}{
		{100, 17, false, true, 1.4, 2}, {100, 67, false, true, 1.1, 4}, {10, 50, false, true, 1.01, 4},
		{100, 50, true, true, 6, 3}, {100, 50, false, false, 3, 4}, {1, 50, false, true, 1, 50},
	} {
		s := &service{rate: c.rate, most: 2 * time.Second}
		if c.dark {
			s.dark = time.Now()
		}
		all := herd(t, c.n, s, c.fleet)
		each, ideal := float64(s.calls)/float64(c.n), float64(c.n)/c.rate
		if c.dark {
			ideal += 10
		}
		t.Logf("%3d agents, %3.0f/s, dark %v, fleet %v: %.2f calls an agent, %d refused, %d in the worst second, all after %.1f s (%.1f s by capacity)",
			c.n, c.rate, c.dark, c.fleet, each, s.failed, s.peak, all.Seconds(), ideal)
		if each > c.calls || all.Seconds() > c.slow*ideal+2 {
			t.Errorf("%d agents: %.2f calls an agent (at most %.2f), all after %v", c.n, each, c.calls, all)
		}
	}
}
