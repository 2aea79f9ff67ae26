package lab

import (
	"math"
	"testing"
)

func reports(values ...float64) (list []*Report) {
	for _, v := range values {
		list = append(list, &Report{Verdict: Passed, ServedInObjective: v})
	}
	return list
}

// Compare reports a difference only if the seeds agree on it, and ignores pairs with an inconclusive run.
func TestCompareReportsDifferences(t *testing.T) {
	for _, c := range []struct {
		name         string
		a, b         []float64
		inconclusive int
		verdict      string
		n            int
	}{
		{"better at every seed", []float64{0.8, 0.7, 0.9}, []float64{0.85, 0.76, 0.94}, -1, "better", 3},
		{"worse at every seed", []float64{0.8, 0.7, 0.9}, []float64{0.75, 0.66, 0.84}, -1, "worse", 3},
		{"better and worse", []float64{0.8, 0.7, 0.9}, []float64{0.85, 0.6, 0.91}, -1, "no difference seen", 3},
		{"one seed", []float64{0.8}, []float64{0.9}, -1, "no difference seen", 1},
		{"one of two is inconclusive", []float64{0.8, 0.8}, []float64{0.9, 0.1}, 1, "no difference seen", 1},
	} {
		var pairs []Pair
		b := reports(c.b...)
		for i, a := range reports(c.a...) {
			if i == c.inconclusive {
				b[i].Verdict = Inconclusive
			}
			pairs = append(pairs, Pair{A: a, B: b[i]})
		}
		d := Compare(pairs)[0]
		if d.Verdict != c.verdict || len(d.Each) != c.n || !(d.Low <= d.Mean && d.Mean <= d.High) {
			t.Errorf("%s: wrong verdict or number of pairs, or a mean outside its interval: %+v", c.name, d)
		}
	}
	if low, high := bootstrap([]float64{1}); !math.IsInf(low, -1) || !math.IsInf(high, 1) {
		t.Error("the confidence interval of one value is bounded, want an unbounded one")
	}
	if got := Compare([]Pair{{A: &Report{Verdict: Inconclusive}, B: &Report{}}}); got != nil {
		t.Errorf("Compare without a conclusive pair returned %+v, want nil", got)
	}
}
