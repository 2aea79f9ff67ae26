package lab

import (
	"math"
	"slices"

	"martenbeam/internal/lab/rng"
)

// Measure is a figure of a report by which two versions are compared.
type Measure struct {
	Name           string
	Value          func(*Report) float64
	HigherIsBetter bool
}

// Measures lists the figures that are compared, in the order of the output.
var Measures = []Measure{
	{"served_in_aim", func(r *Report) float64 { return r.ServedInObjective }, true},
	{"worst_10s", func(r *Report) float64 { return r.Worst10s }, true},
	{"refused", func(r *Report) float64 { return r.Rejected }, false},
	{"failed", func(r *Report) float64 { return r.Failed }, false},
	{"attempts_per_request", func(r *Report) float64 { return r.Attempts }, false},
	{"left_after_s", avoidedAfterFigure, false},
	{"cross_zone_share", func(r *Report) float64 { return r.CrossZone }, false},
	{"recovered_after_s", recoveryFigure, false},
	{"connections_worst_s", func(r *Report) float64 { return float64(r.MaxDialsPerSecond) }, false},
	{"list_calls_per_start", listCallsFigure, false},
	{"latency_p50_ms", func(r *Report) float64 { return r.Latency.P50 }, false},
	{"latency_p99_ms", func(r *Report) float64 { return r.Latency.P99 }, false},
}

// avoidedAfterFigure returns the seconds until agents avoided unreachable zones: 0 if no zone was unreachable, the duration of
// the run if agents never avoided them.
func avoidedAfterFigure(r *Report) float64 {
	switch {
	case r.AvoidedAfter == nil:
		return 0
	case *r.AvoidedAfter < 0:
		return r.DurationSeconds
	}
	return *r.AvoidedAfter
}

// recoveryFigure returns the seconds until service had recovered: 0 if it never degraded, the duration of the run if it did not
// recover.
func recoveryFigure(r *Report) float64 {
	switch {
	case r.RecoveryTime == nil:
		return 0
	case *r.RecoveryTime < 0:
		return r.DurationSeconds
	}
	return *r.RecoveryTime
}

// listCallsFigure returns the number of calls to the list service for each start of an agent.
func listCallsFigure(r *Report) float64 {
	if r.Lists == nil {
		return 0
	}
	return r.Lists.PerAgent
}

// Pair holds the reports of two versions on one seed.
type Pair struct {
	Seed uint64  `json:"seed"`
	A    *Report `json:"a"`
	B    *Report `json:"b"`
}

// Counts reports whether both runs are conclusive.
func (p Pair) Counts() bool { return p.A.Verdict != Inconclusive && p.B.Verdict != Inconclusive }

// Difference is the difference between B and A in one measure, over the pairs in which both runs are conclusive.
type Difference struct {
	Measure string    `json:"measure"`
	A       float64   `json:"a"` // A and B are means
	B       float64   `json:"b"`
	Mean    float64   `json:"difference"`
	Low     float64   `json:"low"` // bootstrap 95% interval of the mean difference
	High    float64   `json:"high"`
	Each    []float64 `json:"each"`
	Verdict string    `json:"verdict"` // "better", "worse", "no difference seen"
}

const resamples = 10000

// Compare returns the difference in each measure over the pairs that count; nil if no pair counts.
func Compare(pairs []Pair) (list []Difference) {
	for _, m := range Measures {
		d := Difference{Measure: m.Name}
		for _, p := range pairs {
			if p.Counts() {
				a, b := m.Value(p.A), m.Value(p.B)
				d.A, d.B, d.Each = d.A+a, d.B+b, append(d.Each, b-a)
			}
		}
		n := float64(len(d.Each))
		if n == 0 {
			return nil
		}
		d.A, d.B, d.Mean = d.A/n, d.B/n, mean(d.Each)
		d.Low, d.High = bootstrap(d.Each)
		switch {
		case d.Low <= 0 && d.High >= 0:
			d.Verdict = "no difference seen"
		case d.Mean > 0 == m.HigherIsBetter:
			d.Verdict = "better"
		default:
			d.Verdict = "worse"
		}
		list = append(list, d)
	}
	return list
}

func mean(list []float64) (m float64) {
	for _, x := range list {
		m += x / float64(len(list))
	}
	return m
}

// bootstrap returns the 95% confidence interval of the mean by resampling. The interval of a single value is unbounded.
func bootstrap(list []float64) (low, high float64) {
	if len(list) < 2 {
		return math.Inf(-1), math.Inf(1)
	}
	r := rng.New(1).Stream("bootstrap")
	means := make([]float64, resamples)
	sample := make([]float64, len(list))
	for i := range means {
		for k := range sample {
			sample[k] = list[r.IntN(len(list))]
		}
		means[i] = mean(sample)
	}
	slices.Sort(means)
	return means[resamples*25/1000], means[resamples*975/1000]
}
