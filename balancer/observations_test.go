package balancer

// Unit tests of observations.

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestObservedRatioRoundTrip(t *testing.T) {
	for _, ratio := range []float64{0, 0.5, 1, 3.3, 7.9, 8, 1000} {
		n := observeLatency(7, ratio, time.Hour)
		if want := min(ratio, maxLatencyRatio-0.1); math.Abs(n.ratio()-want) > 1/ratioSteps || n.value >= valueLate {
			t.Errorf("ratio %v: value %d, decoded as %v, want the ratio within one step, up to 7.9", ratio, n.value, n.ratio())
		}
	}
}

func TestObservationLogKeepsTheNewest(t *testing.T) {
	var l observationLog
	for i := range 3 * maxObservations {
		l.add(observation{key: uint32(i)})
	}
	if len(l.recent) != maxObservations || l.recent[0].key != 2*maxObservations ||
		l.recent[maxObservations-1].key != 3*maxObservations-1 {
		t.Errorf("%d observations with keys %d to %d, want the newest third", len(l.recent), l.recent[0].key,
			l.recent[len(l.recent)-1].key)
	}
	sent := 0
	for range 10 * outcomesPerGossip {
		if l.countOutcome() {
			sent++
		}
	}
	if sent != 10 {
		t.Errorf("%d messages for %d outcomes, want 10", sent, 10*outcomesPerGossip)
	}
}

func TestGossipKeysAreSpread(t *testing.T) {
	seen := map[uint32]bool{}
	for i := range 3000 {
		key := gossipKey(fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250))
		if key >= 1<<24 {
			t.Fatalf("key %x has more than three bytes", key)
		}
		seen[key] = true
	}
	if len(seen) < 2990 {
		t.Errorf("%d different keys of 3000 IDs, want at least 2990", len(seen))
	}
}
