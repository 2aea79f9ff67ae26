package balancer

// Unit tests of classes.

import (
	"testing"
	"time"
)

// twoClasses returns classes of equal latency; the second has twice the priority weight.
func twoClasses() classTable {
	return newClassTable([]Class{{LatencyObjective: objective, PriorityWeight: 1},
		{LatencyObjective: objective / 2, PriorityWeight: 2}})
}

func TestExpectedLatencyScalesWithAnnouncedWork(t *testing.T) {
	c := &twoClasses()[0]
	if c.latency != float64(objective)/4 || c.expectedLatency(5) != c.latency {
		t.Errorf("latency %v at the start, %v for announced work without mean work, want a quarter of the objective for both",
			c.latency, c.expectedLatency(5))
	}
	c.updateMeanWork(0)
	c.updateMeanWork(10)
	if got := c.expectedLatency(30); !near(got, 3*c.latency) {
		t.Errorf("expected latency %v for three times the mean work, want three times %v", got, c.latency)
	}
	if got := c.meanWorkLatency(3*c.latency, 30); !near(got, c.latency) || c.expectedLatency(0) != c.latency {
		t.Errorf("latency %v scaled to mean work, want %v, also as the expected latency without announced work", got, c.latency)
	}
}

func TestUnusualTimeoutsAreDetected(t *testing.T) {
	const tick = 5 * time.Millisecond
	c := &twoClasses()[0]
	for i := range 50 {
		if c.updateUsualTimeout(900*time.Millisecond+time.Duration(i%3-1)*tick, tick, false) {
			t.Fatalf("timeout %d, within a tick of the usual one, counts as unusual", i)
		}
	}
	for timeout, want := range map[time.Duration]bool{880 * time.Millisecond: true, 900 * time.Millisecond: false,
		920 * time.Millisecond: true} {
		if got := c.updateUsualTimeout(timeout, tick, true); got != want {
			t.Errorf("timeout %v: unusual %v, want the other value", timeout, got)
		}
	}
	before := c.usualTimeout
	if c.updateUsualTimeout(time.Millisecond, tick, true); c.usualTimeout != before {
		t.Error("the timeout of a client's retry changed the usual timeout, want no change")
	}
	if c.updateUsualTimeout(time.Millisecond, tick, false); c.usualTimeout != before-tick/4 {
		t.Errorf("one short timeout lowers the usual timeout by %v, want a quarter of a tick", before-c.usualTimeout)
	}
}

func TestMarginalValueFollowsWeightAndTheWorstClass(t *testing.T) {
	classes := twoClasses()
	for range 100 {
		for i := range classes {
			classes[i].latency = 1e6
			classes[i].recordArrival()
			classes[i].countMetObjective()
		}
	}
	s := &Settings{GoalOverall: 1}
	if classes.recomputeValues(s); !near(classes[1].marginalValue/classes[0].marginalValue, 2) {
		t.Errorf("marginal values %v and %v, want twice the value for twice the weight",
			classes[0].marginalValue, classes[1].marginalValue)
	}
	above, total := classes.arrivingWork(0)
	if !near(above/total, 0.5) {
		t.Errorf("%v of %v arriving work in more valuable classes, want half", above, total)
	}
	if above, _ := classes.arrivingWork(1); above != 0 {
		t.Errorf("%v arriving work above the most valuable class, want 0", above)
	}
	classes[0].metObjective = 10
	s = &Settings{GoalWorstClass: 1}
	if classes.recomputeValues(s); classes[0].marginalValue <= 0 || classes[1].marginalValue != 0 {
		t.Errorf("marginal values %v and %v, want a positive one for the worst class only",
			classes[0].marginalValue, classes[1].marginalValue)
	}
	if !classes.lowestPriority(0) || classes.lowestPriority(1) || classes.maxObjective() != objective {
		t.Error("lowestPriority or maxObjective is wrong, want class 0 as the lowest priority and the objective of class 0")
	}
}

func TestOldRequestsDecay(t *testing.T) {
	classes := twoClasses()
	for range 5000 {
		classes.decay()
		classes[0].recordArrival()
	}
	if got := classes[0].arrivals; got < 190 || got > 210 {
		t.Errorf("%v requests count, want 190 to 210", got)
	}
}
