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
		t.Error("want timerFired to be true once, for the scheduled token 7 only")
	}
	if p.succeed(); p.retryDelay(0.5) != time.Second {
		t.Error("the delay after a successful poll and one failure is not 1s: want the backoff reset")
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
		t.Error("another region does not cost 0.02 with a CrossRegionCost of 0, want the CrossZoneCost")
	}
}
