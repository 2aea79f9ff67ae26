package rng

import (
	"math"
	"testing"
)

// Streams differ by seed and purpose, and draws from one stream do not change another.
func TestStreamsAreIndependent(t *testing.T) {
	first := func(seed uint64, purpose string) uint64 { return New(seed).Stream(purpose).Uint64() }
	if once, again := first(1, "work"), first(1, "work"); once != again {
		t.Error("a stream starts differently on a second call")
	}
	seen := map[uint64]string{}
	for _, seed := range []uint64{0, 1, 2} {
		for _, purpose := range []string{"", "work", "works", "work/1", "loss"} {
			x := first(seed, purpose)
			if other, collides := seen[x]; collides {
				t.Errorf("the streams %q and %q have the same first draw", purpose, other)
			}
			seen[x] = purpose
		}
	}
	s := New(1)
	want := s.Of("work", 3).Uint64()
	for range 100 {
		s.Of("work", 2).Uint64()
	}
	if s.Of("work", 3).Uint64() != want {
		t.Error("draws from another stream changed this one")
	}
}

// Draws have the given mean, coefficient of variation and weights.
func TestDistributions(t *testing.T) {
	const draws = 200000
	r, sum, squares := New(1).Stream("lognormal"), 0.0, 0.0
	for range draws {
		x := Lognormal(r, 3, 0.5)
		sum, squares = sum+x, squares+x*x
	}
	mean := sum / draws
	if cv := math.Sqrt(squares/draws-mean*mean) / mean; math.Abs(mean-3) > 0.03 || math.Abs(cv-0.5) > 0.02 {
		t.Errorf("mean %v, want 3; coefficient of variation %v, want 0.5", mean, cv)
	}
	z, counts := NewZipf(4, 1), [4]float64{}
	for range draws {
		counts[z.Draw(r)]++
	}
	for i, n := range counts {
		if want := draws / float64(i+1) / (1 + 1./2 + 1./3 + 1./4); math.Abs(n-want) > 0.02*want {
			t.Errorf("rank %d drawn %v times, want %v", i, n, want)
		}
	}
}
