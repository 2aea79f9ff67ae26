package balancer

// Unit tests of the sequential test, the failover state and the zone table.

import (
	"math"
	"testing"
	"time"
)

const (
	objective = 400 * time.Millisecond
	validity  = 2 * objective
)

func TestSequentialTestDecidesOnThreeUnresponsiveBackends(t *testing.T) {
	for name, c := range map[string]struct {
		attempts []int // the backends of the unanswered attempts, in order
		want     bool
	}{
		"one backend, once":        {[]int{0}, false},
		"one backend, eight times": {[]int{0, 0, 0, 0, 0, 0, 0, 0}, false},
		"two backends, once each":  {[]int{0, 1}, false},
		"two backends, twice each": {[]int{0, 1, 0, 1}, true},
		"three backends":           {[]int{0, 1, 2}, true},
	} {
		var test sequentialTest
		var counts [3]unansweredCount
		for _, backend := range c.attempts {
			test.recordUnanswered(time.Hour, minUnansweredRate, &counts[backend])
		}
		if got := test.lost(time.Hour, validity); got != c.want {
			t.Errorf("%s: lost %v at a log-likelihood ratio of %.1f, want the opposite", name, got, test.logLikelihoodRatio)
		}
	}
}

func TestSequentialTestIsRefutedByResponses(t *testing.T) {
	var test sequentialTest
	var count unansweredCount
	test.recordUnanswered(time.Hour, minUnansweredRate, &count)
	if !test.suspected() || test.suspectedSince != time.Hour || test.suspicionPeriod != 1 {
		t.Fatalf("after an unanswered attempt: %+v, want period 1, suspected since one hour", test)
	}
	for n := 0; test.suspected(); n++ {
		if n > 2 {
			t.Fatal("evidence of a loss remains after one unanswered attempt and three responses, want none")
		}
		test.recordResponse(time.Hour + time.Second)
		test.refute(minUnansweredRate)
	}
	if !test.healthyAfter(time.Hour) || test.healthyAfter(time.Hour+time.Second) {
		t.Error("healthyAfter must be true for times before the latest response, and only for these times")
	}
	test.recordUnanswered(2*time.Hour, minUnansweredRate, &count)
	if test.suspicionPeriod != 2 || test.suspectedSince != 2*time.Hour ||
		!near(test.logLikelihoodRatio, math.Log(lostUnansweredRate/minUnansweredRate)) {
		t.Errorf("after the first unanswered attempt of a new period: %+v, want period 2 and the full weight", test)
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
		t.Error("lost is true with the reports of two peers, want false")
	}
	if test.recordReport(3, now+1, now-objective); !test.lost(now+1, validity) || test.suspectedSince != now-objective {
		t.Error("with the reports of three peers lost is false, or suspectedSince is not the given time")
	}
	if test.lost(now+validity, validity) {
		t.Error("lost is true with expired reports only, want false")
	}
	test.recordReport(1, now, now)
	test.recordReport(2, now, now)
	test.recordReport(3, now, now)
	if test.recordResponse(now); test.lost(now, validity) {
		t.Error("lost is true with only reports from before a response, want false")
	}
}

func TestFailoverBackoffGrowsAndDecays(t *testing.T) {
	const halfLife = 10 * time.Second
	var f failoverState
	f.failOver(time.Hour, halfLife, true)
	if f.trafficShare(time.Hour, objective) != 0 || f.backoff() != 1 {
		t.Errorf("after the first failover: %+v, want no traffic and a backoff of 1", f)
	}
	if got := f.probeInterval(objective, 10); got != float64(objective)/2 {
		t.Errorf("a health check every %v ns for each of 10 agents, want half an objective", got)
	}
	if got := f.probeInterval(objective, 100); got != float64(objective) {
		t.Errorf("a health check every %v ns for each of 100 agents, want one objective", got)
	}
	for range 10 {
		f.recover(time.Hour)
		f.failOver(time.Hour, halfLife, true)
	}
	if f.backoffExponent != maxBackoffExponent {
		t.Errorf("backoff exponent %v after many failovers, want maxBackoffExponent", f.backoffExponent)
	}
	f.recover(time.Hour)
	if f.failOver(time.Hour+halfLife, halfLife, true); !near(f.backoffExponent, maxBackoffExponent/2+1) {
		t.Errorf("backoff exponent %v a half-life later after one more failover, want half the maximum plus 1", f.backoffExponent)
	}
}

func TestFailoverHasMinimumLengthAndRecoveryRamp(t *testing.T) {
	var f failoverState
	now := time.Hour
	f.failOver(now, time.Second, false)
	if f.recordProbe(true, now+objective, objective) {
		t.Error("the zone recovers after one health check")
	}
	if f.recordProbe(false, now+objective, objective) || f.recordProbe(true, now+objective, objective) {
		t.Error("the zone recovers though a health check failed in between")
	}
	if f.recordProbe(true, now+objective/2-1, objective) {
		t.Error("the zone recovers before the minimum length of a failover")
	}
	if !f.recordProbe(true, now+objective/2, objective) {
		t.Fatal("the zone does not recover after two consecutive health checks and the minimum length")
	}
	now += objective
	f.recover(now)
	if got := f.trafficShare(now, objective); !near(got, initialTrafficShare) {
		t.Errorf("share %v at the start of the ramp, want initialTrafficShare", got)
	}
	if got := f.trafficShare(now+objective, objective); !near(got, initialTrafficShare+0.5) {
		t.Errorf("share %v in the middle of the ramp, want initialTrafficShare + 0.5", got)
	}
	if got := f.trafficShare(now+2*objective, objective); got != 1 || f.recoveryStartedAt != 0 {
		t.Errorf("share %v after the ramp, want 1 and recoveryStartedAt cleared", got)
	}
}

func TestZoneTableComparesZones(t *testing.T) {
	var zones zoneTable
	a, b, c := zones.of(0), zones.of(1), zones.of(2)
	if zones.of(-1) != a || len(zones) != 3 {
		t.Fatal("zone −1 does not stand for zone 0")
	}
	if got := zones.baselineUnansweredRate(a); got != minUnansweredRate {
		t.Errorf("baseline %v without unanswered attempts, want minUnansweredRate", got)
	}
	b.unansweredRate = 0.2
	if zones.baselineUnansweredRate(a) != 0.2 || zones.baselineUnansweredRate(b) != minUnansweredRate {
		t.Error("the baseline of a zone is not the highest unanswered rate of the other zones, at least minUnansweredRate")
	}
	if b.unansweredRate = 0.9; zones.baselineUnansweredRate(a) != lostUnansweredRate/2 {
		t.Error("the baseline beside an unresponsive zone is not half of lostUnansweredRate")
	}
	a.suspectedSince = time.Hour
	if zones.otherZoneHealthy(a) {
		t.Error("another zone counts as healthy though none has responded")
	}
	if c.recordResponse(time.Hour + 1); !zones.otherZoneHealthy(a) {
		t.Error("another zone does not count as healthy after a response")
	}
	a.rtt, b.rtt, c.rtt = time.Millisecond, 3*time.Millisecond, 0
	a.up, b.up = 1, 1
	if zones.extraLatency(b) != 2*time.Millisecond || zones.extraLatency(a) != 0 || zones.extraLatency(c) != 0 {
		t.Error("extra latency is not 2 ms for the farther zone, or not 0 for the nearest and the unknown one")
	}
	if a.failOver(time.Hour, time.Second, true); zones.extraLatency(b) != 0 {
		t.Error("extra latency is not 0 while the nearest zone is failed over")
	}
	b.failOver(time.Hour, time.Second, false)
	if got := zones.recentlyLost(time.Hour, time.Second); got != 1 {
		t.Errorf("zones lost on own evidence: %b, want only zone 0", got)
	}
	if got := zones.recentlyLost(time.Hour+time.Second, time.Second); got != 0 {
		t.Errorf("zones lost recently: %b after the span, want none", got)
	}
}

func TestSpilloverGrowsWithTheOwnZonesLatency(t *testing.T) {
	var zones zoneTable
	own, other := zones.of(0), zones.of(1)
	if zones.spillover(0, other) != 0 || zones.spillover(-1, other) != 0 {
		t.Error("spillover is not 0 before any response")
	}
	other.recordLatencyRatio(1)
	for latency, want := range map[float64]float64{0.5: 0, 1: 0, 1 + fullSpilloverExcess/2: 0.5, 1 + fullSpilloverExcess: 1, 9: 1} {
		if own.latencyRatio = latency; !near(zones.spillover(0, other), want) {
			t.Errorf("own latency %v: spillover %v, want %v", latency, zones.spillover(0, other), want)
		}
	}
}
