package balancer

// Tests of the sequential test, of failover state and of the zone table alone.

import (
	"math"
	"testing"
	"time"
)

const (
	objective = 400 * time.Millisecond
	validity  = 2 * objective
)

func TestSequentialTestDecidesOnThreeSilentBackends(t *testing.T) {
	for name, c := range map[string]struct {
		attempts []int // the backends whose attempts stay silent, in order
		want     bool
	}{
		"one backend, once":      {[]int{0}, false},
		"one backend, for ever":  {[]int{0, 0, 0, 0, 0, 0, 0, 0}, false},
		"two backends":           {[]int{0, 1}, false},
		"two, which stay silent": {[]int{0, 1, 0, 1}, true},
		"three backends":         {[]int{0, 1, 2}, true},
	} {
		var test sequentialTest
		var counts [3]unansweredCount
		for _, backend := range c.attempts {
			test.recordUnanswered(time.Hour, minUnansweredRate, &counts[backend])
		}
		if got := test.lost(time.Hour, validity); got != c.want {
			t.Errorf("%s: lost %v, ratio %.1f", name, got, test.logLikelihoodRatio)
		}
	}
}

func TestSequentialTestIsRefutedByAnswers(t *testing.T) {
	var test sequentialTest
	var count unansweredCount
	test.recordUnanswered(time.Hour, minUnansweredRate, &count)
	if !test.suspected() || test.suspectedSince != time.Hour || test.suspicionPeriod != 1 {
		t.Fatalf("after a silent attempt: %+v", test)
	}
	for n := 0; test.suspected(); n++ {
		if n > 2 {
			t.Fatal("three answers don't refute one silence")
		}
		test.recordResponse(time.Hour + time.Second)
		test.refute(minUnansweredRate)
	}
	if !test.healthyAfter(time.Hour) || test.healthyAfter(time.Hour+time.Second) {
		t.Error("an answer should show that the zone worked before it")
	}
	test.recordUnanswered(2*time.Hour, minUnansweredRate, &count)
	if test.suspicionPeriod != 2 || test.suspectedSince != 2*time.Hour ||
		!near(test.logLikelihoodRatio, math.Log(lostUnansweredRate/minUnansweredRate)) {
		t.Errorf("the backend's first silence of a new episode does not count in full: %+v", test)
	}
}

func TestSequentialTestCountsEachReporterOnce(t *testing.T) {
	var test sequentialTest
	now := time.Hour
	for range 5 {
		test.recordReport(1, now, now-objective)
	}
	test.recordReport(2, now, now-objective)
	if test.lost(now, validity) {
		t.Error("two reporters decide the test")
	}
	if test.recordReport(3, now+1, now-objective); !test.lost(now+1, validity) || test.suspectedSince != now-objective {
		t.Error("three reporters don't decide the test")
	}
	if test.lost(now+validity, validity) {
		t.Error("expired reports count")
	}
	test.recordReport(1, now, now)
	test.recordReport(2, now, now)
	test.recordReport(3, now, now)
	if test.recordResponse(now); test.lost(now, validity) {
		t.Error("reports count after an answer")
	}
}

func TestFailoverBacksOffAndForgets(t *testing.T) {
	const halfLife = 10 * time.Second
	var f failoverState
	f.failOver(time.Hour, halfLife, true)
	if f.trafficShare(time.Hour, objective) != 0 || f.backoff() != 1 {
		t.Errorf("a first failover: %+v", f)
	}
	if got := f.probeInterval(objective, 10); got != float64(objective)/2 {
		t.Errorf("a health check every %v ns", got)
	}
	if got := f.probeInterval(objective, 100); got != float64(objective) {
		t.Errorf("a health check every %v ns for each of 100 agents", got)
	}
	for range 10 {
		f.recover(time.Hour)
		f.failOver(time.Hour, halfLife, true)
	}
	if f.backoffExponent != maxBackoffExponent {
		t.Errorf("exponent %v after many failovers", f.backoffExponent)
	}
	f.recover(time.Hour)
	if f.failOver(time.Hour+halfLife, halfLife, true); !near(f.backoffExponent, maxBackoffExponent/2+1) {
		t.Errorf("exponent %v after a half-life", f.backoffExponent)
	}
}

func TestFailoverLastsAndRecoversAlongARamp(t *testing.T) {
	var f failoverState
	now := time.Hour
	f.failOver(now, time.Second, false)
	if f.recordProbe(true, now+objective, objective) {
		t.Error("recovers after one health check")
	}
	if f.recordProbe(false, now+objective, objective) || f.recordProbe(true, now+objective, objective) {
		t.Error("recovers though a health check failed in between")
	}
	if f.recordProbe(true, now+objective/2-1, objective) {
		t.Error("recovers before the shortest failover is over")
	}
	if !f.recordProbe(true, now+objective/2, objective) {
		t.Fatal("does not recover")
	}
	now += objective
	f.recover(now)
	if got := f.trafficShare(now, objective); !near(got, initialTrafficShare) {
		t.Errorf("share %v at the start of the ramp", got)
	}
	if got := f.trafficShare(now+objective, objective); !near(got, initialTrafficShare+0.5) {
		t.Errorf("share %v in the middle of the ramp", got)
	}
	if got := f.trafficShare(now+2*objective, objective); got != 1 || f.recoveryStartedAt != 0 {
		t.Errorf("share %v after the ramp", got)
	}
}

func TestZoneTableComparesZones(t *testing.T) {
	var zones zoneTable
	a, b, c := zones.of(0), zones.of(1), zones.of(2)
	if zones.of(-1) != a || len(zones) != 3 {
		t.Fatal("an unknown zone is not that of number 0")
	}
	if got := zones.baselineUnansweredRate(a); got != minUnansweredRate {
		t.Errorf("baseline %v in a silent-free fleet", got)
	}
	b.unansweredRate = 0.2
	if zones.baselineUnansweredRate(a) != 0.2 || zones.baselineUnansweredRate(b) != minUnansweredRate {
		t.Error("the baseline is not that of the other zones")
	}
	if b.unansweredRate = 0.9; zones.baselineUnansweredRate(a) != lostUnansweredRate/2 {
		t.Error("a silent zone makes silence look normal")
	}
	a.suspectedSince = time.Hour
	if zones.otherZoneHealthy(a) {
		t.Error("silence everywhere counts as one zone's")
	}
	if c.recordResponse(time.Hour + 1); !zones.otherZoneHealthy(a) {
		t.Error("another zone's answer does not count")
	}
	a.rtt, b.rtt, c.rtt = time.Millisecond, 3*time.Millisecond, 0
	a.up, b.up = 1, 1
	if zones.extraLatency(b) != 2*time.Millisecond || zones.extraLatency(a) != 0 || zones.extraLatency(c) != 0 {
		t.Error("extra latency is not the distance to the nearest zone in use")
	}
	if a.failOver(time.Hour, time.Second, true); zones.extraLatency(b) != 0 {
		t.Error("a failed-over zone counts as in use")
	}
	b.failOver(time.Hour, time.Second, false)
	if got := zones.recentlyLost(time.Hour, time.Second); got != 1 {
		t.Errorf("lost on own evidence: %b, want zone 0", got)
	}
	if got := zones.recentlyLost(time.Hour+time.Second, time.Second); got != 0 {
		t.Errorf("lost recently: %b after the span", got)
	}
}

func TestSpilloverGrowsWithTheOwnZonesLatency(t *testing.T) {
	var zones zoneTable
	own, other := zones.of(0), zones.of(1)
	if zones.spillover(0, other) != 0 || zones.spillover(-1, other) != 0 {
		t.Error("traffic spills over without any answer")
	}
	other.recordLatency(1)
	for latency, want := range map[float64]float64{0.5: 0, 1: 0, 1 + spilloverAt/2: 0.5, 1 + spilloverAt: 1, 9: 1} {
		if own.latencyRatio = latency; !near(zones.spillover(0, other), want) {
			t.Errorf("own latency %v: spillover %v, want %v", latency, zones.spillover(0, other), want)
		}
	}
}
