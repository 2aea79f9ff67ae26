package balancer

// Unit tests of the backoff of polls and of the cost of zone crossings.

import (
	"testing"
	"time"
)

func TestPollsBackOffAndAreJittered(t *testing.T) {
	p := endpointPoll{interval: 64 * time.Second}
	if p.startDelay(0) != 0 || p.startDelay(0.5) != time.Second/2 {
		t.Errorf("first polls after %v and %v, want 0s and 500ms", p.startDelay(0), p.startDelay(0.5))
	}
	for n, want := range []time.Duration{1, 2, 4, 8, 8} { // seconds, with a draw of 0.5
		if got := p.retryDelay(0.5); got != want*time.Second {
			t.Errorf("after %d failures the next poll is in %v, want %v", n+1, got, want*time.Second)
		}
	}
	if p.schedule(7); p.timerFired(6) || !p.timerFired(7) || p.timerFired(7) {
		t.Error("timerFired does not match the scheduled token exactly once")
	}
	if p.succeed(); p.retryDelay(0.5) != time.Second {
		t.Error("a successful poll does not reset the backoff")
	}
}

func TestCrossingCostsByZoneAndRegion(t *testing.T) {
	s := Settings{Zone: 0, Regions: []int{0, 0, 1}, CrossZoneCost: 0.02, CrossRegionCost: 0.1}
	for zone, want := range map[int]float64{0: 0, 1: 0.02, 2: 0.1, 3: 0.02, -1: 0.02} {
		if got := s.crossingCost(zone); got != want {
			t.Errorf("zone %d costs %v, want %v", zone, got, want)
		}
	}
	if s.CrossRegionCost = 0; s.crossingCost(2) != 0.02 {
		t.Error("another region costs less than another zone")
	}
}
