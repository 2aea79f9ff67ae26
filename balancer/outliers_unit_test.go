package balancer

// Unit tests of outlier detection.

import (
	"testing"
	"time"
)

func TestEjectionDoublesAndIsJittered(t *testing.T) {
	const unit = 100 * time.Millisecond
	var o outlierState
	now := time.Hour
	for n, want := range []time.Duration{unit, 2 * unit, 4 * unit, 8 * unit, 16 * unit, 16 * unit} {
		o.eject(now, unit, 0.5)
		if got := o.ejectedUntil - now; got != want {
			t.Errorf("ejection %d lasts %v, want %v", n+1, got, want)
		}
		if o.usable(now) || o.usable(o.ejectedUntil-1) || !o.usable(o.ejectedUntil) {
			t.Errorf("ejection %d: the backend is usable before its end, or not usable at its end", n+1)
		}
		now = o.ejectedUntil
	}
	var low, high outlierState
	low.eject(now, unit, 0)
	high.eject(now, unit, 0.999)
	if got := low.ejectedUntil - now; got != unit*3/4 {
		t.Errorf("the shortest first ejection is %v, want three quarters of the unit", got)
	}
	if got := high.ejectedUntil - now; got < unit*124/100 || got > unit*125/100 {
		t.Errorf("the longest first ejection is %v, want 1.24 to 1.25 units", got)
	}
}

func TestRecoveringBackendGetsOneAttemptAtATime(t *testing.T) {
	const unit = 100 * time.Millisecond
	var o outlierState
	if !o.eligible(0, false, NonIdempotent) {
		t.Fatal("a healthy backend must be eligible")
	}
	o.eject(time.Hour, unit, 0.5)
	end := time.Hour + unit
	for _, c := range []struct {
		after       time.Duration // the ejection's end
		idle        bool
		idempotency Idempotency
		want        bool
	}{
		{-1, true, Idempotent, false},
		{0, true, Idempotent, true},
		{0, false, Idempotent, false},
		{0, true, IdempotencyKey, true},
		{0, true, NonIdempotent, false},
		{unit - 1, true, NonIdempotent, false},
		{unit, true, NonIdempotent, true},
		{unit, false, NonIdempotent, false},
	} {
		if got := o.eligible(end+c.after, c.idle, c.idempotency); got != c.want {
			t.Errorf("%v after the end of the ejection, idle %v, idempotency %d: eligible %v, want the opposite",
				c.after, c.idle, c.idempotency, got)
		}
	}
	for range 4 {
		o.recordSuccess(end)
	}
	if o.recovering() || !o.eligible(end, false, NonIdempotent) {
		t.Error("after four successes the backend is still recovering or not eligible")
	}
}

func TestFailuresAreComparedWithChance(t *testing.T) {
	var o outlierState
	o.recordFailure(1)
	if o.failsBeyondChance(baselineResetRate, ejectProbability) {
		t.Error("one reset must not count as beyond chance")
	}
	if !o.failsBeyondChance(0, ejectProbability) {
		t.Error("one failure must count as beyond chance at a baseline of 0")
	}
	o.recordFailure(1)
	if !o.failsBeyondChance(baselineResetRate, ejectProbability) || o.failsBeyondChance(baselineResetRate, deadProbability) {
		t.Error("two resets in a row must be improbable enough for an ejection, but not for a presumed death")
	}
	if o.recordFailure(1); !o.failsBeyondChance(baselineResetRate, deadProbability) {
		t.Error("three resets in a row must be improbable enough for a presumed death")
	}
	if o.recordFailure(0); o.failsBeyondChance(baselineResetRate, ejectProbability) {
		t.Error("failures before a response must not count as consecutive")
	}
}

func TestBaselineLeavesOutTheWorstQuarter(t *testing.T) {
	var backends []*backendState
	for _, rate := range []float64{0.9, 0.1, 0.3, 0.2} {
		backends = append(backends, &backendState{outlierState: outlierState{failureRate: rate}})
	}
	draining := &backendState{outlierState: outlierState{failureRate: 0}}
	draining.State = Draining
	if got := baselineFailureRate(append(backends, draining)); got < 0.1999 || got > 0.2001 {
		t.Errorf("baseline %v, want 0.2", got)
	}
	if got := baselineFailureRate(nil); got != 0 {
		t.Errorf("baseline %v without backends, want 0", got)
	}
}

func TestPeerSuccessLowersScoreOnlyAfterEjection(t *testing.T) {
	var o outlierState
	o.eject(time.Hour, time.Second, 0.5)
	for range unresponsiveTimeouts {
		o.recordTimeout()
	}
	if !o.unresponsive() {
		t.Fatal("not unresponsive after unresponsiveTimeouts consecutive time-outs")
	}
	o.recordPeerSuccess(time.Hour)
	if o.failureScore != 1 || o.unresponsive() || !o.succeededSince(time.Hour) || o.succeededSince(time.Hour+1) {
		t.Errorf("after a success at the time of the ejection: %+v, want failure score 1 and no time-outs", o)
	}
	if o.recordPeerSuccess(time.Hour + 1); o.failureScore != 1-failureScoreDecay {
		t.Errorf("after a newer success the score is %v, want 1 - failureScoreDecay", o.failureScore)
	}
	if o.recordPeerSuccess(time.Minute); !o.succeededSince(time.Hour + 1) {
		t.Error("an older success must not replace a newer one")
	}
}

func TestClearingFailures(t *testing.T) {
	ejected := func() (o outlierState) {
		o.recordFailure(1)
		o.recordTimeout()
		o.eject(time.Hour, time.Second, 0.5)
		o.rejectUntil(2 * time.Hour)
		o.presumeDead()
		return o
	}
	o := ejected()
	if o.clearFailures(); o != (outlierState{}) {
		t.Errorf("after clearFailures: %+v, want the zero value", o)
	}
	o = ejected()
	if o.resetForRestart(); o.recovering() || !o.usable(time.Hour) || !o.rejecting(time.Hour) || o.consecutiveFailures != 1 {
		t.Errorf("after resetForRestart: %+v, want no score and no ejection, but the rejection and one failure", o)
	}
	o = ejected()
	if o.clearFailuresSince(time.Hour + 1); !o.recovering() || o.consecutiveTimeouts != 0 || o.consecutiveFailures != 1 {
		t.Errorf("after clearFailuresSince with a later time: %+v, want the ejection, one failure and no time-outs", o)
	}
	if o.clearFailuresSince(time.Hour); o.recovering() || o.consecutiveFailures != 0 || o.failureRate != 0 || o.ejectedUntil != 0 {
		t.Errorf("after clearFailuresSince with the time of the ejection: %+v, want no ejection and no failures", o)
	}
}
