package balancer

// Unit tests of subsetting and of the candidates of a choice.

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestSubsetFollowsTheRateOfRequests(t *testing.T) {
	s := newSubset()
	if got := s.size(500, objective, false); got != 500 {
		t.Errorf("%d of 500 backends before the rate is known, want all", got)
	}
	s.recordArrival(time.Hour)
	s.recordArrival(time.Hour + 160*time.Millisecond)
	if got := s.size(500, objective, false); got != 10 { // four objectives at one request in 0.16 s
		t.Errorf("%d backends at one request in 0.16 s, want 10", got)
	}
	if got := s.size(500, objective, true); got != 500 {
		t.Errorf("%d of 500 backends where observations cover all, want all", got)
	}
	slow, fast := newSubset(), newSubset()
	slow.recordArrival(time.Hour)
	slow.recordArrival(2 * time.Hour)
	fast.recordArrival(time.Hour)
	fast.recordArrival(time.Hour + time.Microsecond)
	if got := slow.size(500, objective, false); got != minSubset {
		t.Errorf("%d backends at one request per hour, want minSubset", got)
	}
	if got := fast.size(500, objective, false); got != 80 {
		t.Errorf("%d backends at a high rate, want 80: 30 and a tenth of 500", got)
	}
}

func TestSubsetShrinksWhenConnectionsAreRejected(t *testing.T) {
	s := newSubset()
	s.recordArrival(time.Hour)
	s.recordArrival(time.Hour + 16*time.Millisecond)
	before := s.size(5000, objective, false)
	for range 7 {
		s.shrink()
	}
	if got := s.size(5000, objective, false); got > before/2 || got < before/3 {
		t.Errorf("%d backends after seven rejections, %d before, want a third to a half", got, before)
	}
	for range 1000 {
		s.grow()
	}
	if got := s.size(5000, objective, false); got != before {
		t.Errorf("%d backends after many responses, %d before the rejections, want the same number", got, before)
	}
}

func TestCandidatesPreferIdleThenBusyThenEjected(t *testing.T) {
	a, b, c, d := &backendState{}, &backendState{}, &backendState{}, &backendState{}
	found := newCandidates(2)
	if found.best() != nil {
		t.Error("best returns a backend though none was offered, want nil")
	}
	found.offerEjected(a, 2)
	found.offerEjected(b, 1)
	if found.best() != b {
		t.Error("best does not return the ejected backend with the lowest penalty")
	}
	found.offerBusy(c, 5)
	found.offerBusy(d, 6)
	if found.best() != c {
		t.Error("best does not return the busy backend with the lowest score")
	}
	if found.offerIdle(a, 1, 0.999); found.best() != a || found.full() {
		t.Error("best does not return the idle backend, or the candidates are full too early")
	}
	if found.offerIdle(b, 1, 0.999); found.best() != a || !found.full() {
		t.Error("the draw does not decide between idle backends, or the candidates are not full")
	}
}

func TestIdleCandidatesAreChosenByWeight(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	backends := []*backendState{{}, {}, {}}
	chosen := map[*backendState]int{}
	for range 6000 {
		found := newCandidates(3)
		for i, backend := range backends {
			found.offerIdle(backend, float64(i+1), rng.Float64())
		}
		chosen[found.best()]++
	}
	for i, backend := range backends {
		if got, want := chosen[backend], 1000*(i+1); got < want*9/10 || got > want*11/10 {
			t.Errorf("weight %d: chosen %d of 6000 times, want %d within a tenth", i+1, got, want)
		}
	}
}
