// Package rng provides a separate random stream for each purpose, so that an additional draw for one purpose does not change
// the draws for another.
package rng

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Source derives the streams of one seed.
type Source struct{ seed uint64 }

// New returns the source of a seed.
func New(seed uint64) Source { return Source{seed} }

// Stream returns the stream of a purpose. Each call returns a new stream with the same draws.
func (s Source) Stream(purpose string) *rand.Rand {
	d := xxhash.NewWithSeed(s.seed)
	_, _ = d.WriteString(purpose) // a hash never returns an error
	low := d.Sum64()
	_, _ = d.WriteString("/")
	return rand.New(rand.NewPCG(low, d.Sum64()))
}

// Of returns the stream of the n-th item of a purpose.
func (s Source) Of(purpose string, n int) *rand.Rand {
	return s.Stream(purpose + "/" + strconv.Itoa(n))
}

// Hash returns a number derived from the seed and a purpose, the same at every call.
func (s Source) Hash(purpose string) uint64 {
	d := xxhash.NewWithSeed(s.seed)
	_, _ = d.WriteString(purpose)
	return d.Sum64()
}

// Between draws evenly from the range [low, high).
func Between(r *rand.Rand, low, high float64) float64 { return low + r.Float64()*(high-low) }

// Lognormal draws from a log-normal distribution with the given mean and coefficient of variation.
func Lognormal(r *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log1p(cv * cv)
	return mean * math.Exp(r.NormFloat64()*math.Sqrt(s2)-s2/2)
}

// Zipf draws ranks from 0 to n-1. The weight of rank i is (i+1) to the power -s, for any s >= 0. The Zipf type of
// math/rand/v2 requires s > 1.
type Zipf struct{ cumulative []float64 }

// NewZipf returns a distribution over n ranks with the exponent s.
func NewZipf(n int, s float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.cumulative {
		sum += math.Pow(float64(i+1), -s)
		z.cumulative[i] = sum
	}
	return z
}

// Draw returns a random rank, from 0.
func (z *Zipf) Draw(r *rand.Rand) int {
	x := r.Float64() * z.cumulative[len(z.cumulative)-1]
	low, high := 0, len(z.cumulative)-1
	for low < high {
		if mid := (low + high) / 2; z.cumulative[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
