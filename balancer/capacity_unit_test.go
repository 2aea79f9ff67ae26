package balancer

// Unit tests of the capacity totals.

import "testing"

func TestCapacityCountsByWarmthAndShare(t *testing.T) {
	totals := capacityTotals{inFlight: 20}
	totals.addCapacity(4, 10, 1, 1, true)   // warm
	totals.addCapacity(1, 3, 0.5, 1, false) // in slow start
	totals.addCapacity(2, 2, 1, 0.25, true) // in a recovering zone
	totals.addCapacity(3, 5, 1, 0, true)    // in a failed-over zone
	if !near(totals.capacity, 5) || !near(totals.warmCapacity, 4.5) {
		t.Errorf("capacity %v, %v of it warm, want 5 and 4.5", totals.capacity, totals.warmCapacity)
	}
	if totals.warmOutstanding != 12 || totals.uncountedOutstanding != 5 || totals.inUse() != 15 {
		t.Errorf("%d outstanding at warm backends, %d not counted, %d in use, want 12, 5 and 15", totals.warmOutstanding,
			totals.uncountedOutstanding, totals.inUse())
	}
	if totals.reset(); totals.capacity != 0 || totals.inFlight != 20 || totals.inUse() != 20 {
		t.Errorf("after a reset: %+v, want a capacity of 0, 20 attempts in flight and 20 in use", totals)
	}
}

func TestStableBackendsAreAddedAndSubtracted(t *testing.T) {
	var zone stableTotals
	zone.addStable(1, 3)
	zone.addStable(1, 2)
	zone.addStable(0, 1)
	zone.addStable(-1, -4)
	if zone.stableBackends != 1 || zone.stableOutstanding != 2 {
		t.Errorf("stable totals %+v, want one backend with 2 attempts", zone)
	}
}
