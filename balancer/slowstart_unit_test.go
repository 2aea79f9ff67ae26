package balancer

// Unit tests of slow start and of latency ratios.

import (
	"math"
	"testing"
	"time"
)

func slowStartSettings() *Settings {
	return &Settings{InitialCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 4, OverloadWindow: time.Second}
}

func near(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

func TestGuaranteedWarmthGrowsOverTheWindow(t *testing.T) {
	m := newSlowStartModel(slowStartSettings())
	var s slowStartState
	if got := m.guaranteedWarmth(&s, time.Hour); got != 1 {
		t.Errorf("a backend without a slow start has warmth %v, want 1", got)
	}
	s.begin(time.Hour, time.Hour, 0)
	for age, want := range map[time.Duration]float64{-time.Second: 0.2, 0: 0.2, 5 * time.Second: 0.6} {
		if got := m.guaranteedWarmth(&s, time.Hour+age); !near(got, want) || !s.warmingUp {
			t.Errorf("%v after its start a backend has warmth %v, want %v", age, got, want)
		}
	}
	if got := m.guaranteedWarmth(&s, time.Hour+10*time.Second); got != 1 || s.warmingUp {
		t.Errorf("after the window the backend has warmth %v and warming up %v, want 1 and false", got, s.warmingUp)
	}
	if got := m.guaranteedWarmth(&s, time.Hour+time.Second); got != 1 {
		t.Error("a slow start continues after its end, want warmth 1")
	}
}

func TestWarmthFollowsLatencyWithinBounds(t *testing.T) {
	m := newSlowStartModel(slowStartSettings())
	var s slowStartState
	s.begin(time.Hour, time.Hour, 0)
	now := time.Hour + time.Second
	guaranteed := m.guaranteedWarmth(&s, now)
	if got := m.warmth(&s, now); !near(got, guaranteed) {
		t.Errorf("before any response warmth is %v, want the guaranteed %v", got, guaranteed)
	}
	for range 1000 { // as fast as a warm backend
		m.recordRatio(guaranteed, 1, guaranteed)
	}
	if got, most := m.warmth(&s, now), guaranteed*math.Pow(4, trustExponent); got <= guaranteed || got > most {
		t.Errorf("after fast responses warmth is %v, want more than the guaranteed %v and up to %v", got, guaranteed, most)
	}
	for range 1000 { // slower than its warmth explains
		m.recordRatio(2/guaranteed, 1, guaranteed)
	}
	if got := m.warmth(&s, now); !near(got, guaranteed) {
		t.Errorf("after slow responses warmth is %v, want the guaranteed %v", got, guaranteed)
	}
}

func TestSlowStartBudgetStartsBelowZeroAndHoldsOneRequest(t *testing.T) {
	var s slowStartState
	s.begin(time.Hour, time.Hour, 0.75)
	now := time.Hour
	if s.covers(1, 1) {
		t.Error("the budget must not cover a request at the start")
	}
	const rate = 1e-9 // one request per second
	if s.refill(rate, now+700*time.Millisecond); s.covers(1, 1) {
		t.Error("the budget must not cover a request before it is above 0")
	}
	if s.refill(rate, now+800*time.Millisecond); !s.covers(1, 1) {
		t.Error("the budget must cover a request once it is above 0")
	}
	if s.covers(maxSlowStartWork*1.1, 1) {
		t.Error("the budget must not cover an expensive request")
	}
	s.refill(rate, now+time.Hour)
	if !near(s.slowStartBudget, 1) {
		t.Errorf("budget %v after a long time without requests, want 1", s.slowStartBudget)
	}
	s.spendBudget(1)
	if s.raiseBudget(-0.5); s.covers(1, 1) || s.slowStartBudget != 0 {
		t.Errorf("budget %v after an attempt, want 0", s.slowStartBudget)
	}
	s.spendBudget(3)
	if s.raiseBudget(-0.5); s.slowStartBudget != -0.5 {
		t.Errorf("budget %v after it was raised, want −0.5", s.slowStartBudget)
	}
}

func TestSlowStartRateIsBetweenGuaranteeAndMultiple(t *testing.T) {
	m := newSlowStartModel(slowStartSettings())
	var s slowStartState
	s.begin(time.Hour, time.Hour, 0)
	if got := m.rate(&s, time.Hour, 10); !near(got, 0.2*2*10) {
		t.Errorf("rate %v, want 4: the guaranteed share times the square root of the multiple times 10", got)
	}
}

func TestThroughputKeepsItsPeak(t *testing.T) {
	p := newThroughput(slowStartSettings())
	now := time.Hour
	for range 5000 { // 100 requests per second at 2 backends
		now += 10 * time.Millisecond
		p.add(now, 1)
		p.track(now, 2)
	}
	peak := p.perBackend(now)
	if perSecond := peak * 1e9; perSecond < 45 || perSecond > 55 {
		t.Errorf("%v requests per second and backend, want about 50", perSecond)
	}
	for range 200 { // 2 s in which no request is served
		now += 10 * time.Millisecond
		p.track(now, 2)
	}
	if got := p.perBackend(now); got < 0.7*peak || got >= peak {
		t.Errorf("after 2 s without traffic the peak has decayed from %v to %v, want at least 0.7 of it", peak, got)
	}
	next := newThroughput(slowStartSettings())
	if next.restore(now, peak); next.perBackend(now) != peak {
		t.Errorf("restored %v, want %v", next.perBackend(now), peak)
	}
}

func TestFirstSamplesWeighMoreInLatencyRatio(t *testing.T) {
	var l latencyEstimate
	l.resetLatency()
	l.recordLatency(4)
	if !near(l.latencyRatio, 2) { // the first sample has a weight of a third
		t.Errorf("ratio %v after one sample of 4, want 2", l.latencyRatio)
	}
	for range 1000 {
		l.recordLatency(100)
	}
	if !near(l.latencyRatio, maxLatencyRatio) {
		t.Errorf("ratio %v after very slow responses, want maxLatencyRatio", l.latencyRatio)
	}
	before := l.latencyRatio
	if l.recordLatency(0); !near(l.latencyRatio, before*(1-smoothing)) {
		t.Errorf("ratio %v after many slow responses and one of latency 0, want 1-smoothing times the earlier one", l.latencyRatio)
	}
	if l.resetLatency(); l.latencyRatio != 1 || l.latencySamples != 0 {
		t.Errorf("after resetLatency: %+v, want ratio 1 and no samples", l)
	}
}

func TestKindRatiosAreKeptByClassAndKind(t *testing.T) {
	k := newKindRatios(2)
	for range 1000 {
		k.recordRatio(1, 3, 2)
	}
	for _, c := range []struct {
		class, kind int
		want        float64
	}{{1, 3, 2}, {1, 0, 1}, {0, 3, 1}, {1, 7, 1}, {1, -1, 1}} {
		if got := k.of(c.class, c.kind); math.Abs(got-c.want) > 1e-3 {
			t.Errorf("class %d, kind %d: %v, want %v", c.class, c.kind, got, c.want)
		}
	}
	if k.recordRatio(0, -1, 3); k.of(0, 0) != k.of(0, -1) || k.of(0, 0) == 1 {
		t.Error("kind −1 does not have the ratio of kind 0, or the ratio is unchanged")
	}
}
