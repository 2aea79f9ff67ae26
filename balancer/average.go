package balancer

// Moving averages and decaying sums. Nothing is decided here.

import (
	"math"
	"time"
)

const smoothing = 0.1 // weight of a new sample in a moving average: about the last 20 samples count

// ewma returns an exponentially weighted moving average with a sample added. A mean of 0 stands for no samples: the
// first sample becomes the mean.
func ewma(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothing*(sample-mean)
}

// decayingSum is a sum whose addends decay exponentially with a time constant, in ns. Times passed to its methods must
// not run backwards.
type decayingSum struct {
	total, timeConstant float64
	updatedAt           time.Duration
}

// value returns the sum at a time.
func (d *decayingSum) value(now time.Duration) float64 {
	d.total *= math.Exp(-float64(now-d.updatedAt) / d.timeConstant)
	d.updatedAt = now
	return d.total
}

// add adds an amount at a time.
func (d *decayingSum) add(now time.Duration, amount float64) { d.total = d.value(now) + amount }

// shift adds an amount, which may be negative. The sum does not fall below 0.
func (d *decayingSum) shift(now time.Duration, amount float64) { d.total = max(0, d.value(now)+amount) }

// raiseTo makes the sum at least the given value.
func (d *decayingSum) raiseTo(now time.Duration, least float64) { d.total = max(d.value(now), least) }
