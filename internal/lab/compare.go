package lab

import (
	"math"
	"slices"

	"martenbeam/internal/lab/rng"
)

// Measure is one figure of a report by which versions are compared.
type Measure struct {
	Name string
	Of   func(*Report) float64
	More bool // more is better
}

// Measures are what compare shows.
var Measures = []Measure{
	{"served_in_aim", func(r *Report) float64 { return r.ServedInAim }, true},
	{"worst_10s", func(r *Report) float64 { return r.Worst10s }, true},
	{"refused", func(r *Report) float64 { return r.Refused }, false},
	{"failed", func(r *Report) float64 { return r.Failed }, false},
	{"attempts_per_request", func(r *Report) float64 { return r.Attempts }, false},
	{"left_after_s", avoidedAfterFigure, false},
	{"cross_zone_share", func(r *Report) float64 { return r.CrossZone }, false},
	{"recovered_after_s", recoveryFigure, false},
	{"connections_worst_s", func(r *Report) float64 { return float64(r.Dials) }, false},
	{"list_calls_per_start", listCallsFigure, false},
	{"latency_p50_ms", func(r *Report) float64 { return r.Latency.P50 }, false},
	{"latency_p99_ms", func(r *Report) float64 { return r.Latency.P99 }, false},
}

// avoidedAfterFigure is the time until zones out of reach were left, in seconds: 0 where none was, all of the run where they
// never were.
func avoidedAfterFigure(r *Report) float64 {
	switch {
	case r.LeftAfter == nil:
		return 0
	case *r.LeftAfter < 0:
		return r.For
	}
	return *r.LeftAfter
}

// recoveryFigure is the time until service was back, in seconds: 0 where it never fell, all of the run where it stayed away.
func recoveryFigure(r *Report) float64 {
	switch {
	case r.Recovered == nil:
		return 0
	case *r.Recovered < 0:
		return r.For
	}
	return *r.Recovered
}

// listCallsFigure is how often the list service was called for each start of an agent.
func listCallsFigure(r *Report) float64 {
	if r.Lists == nil {
		return 0
	}
	return r.Lists.PerAgent
}

// Pair is one seed played with both versions.
type Pair struct {
	Seed uint64  `json:"seed"`
	A    *Report `json:"a"`
	B    *Report `json:"b"`
}

// Counts reports whether both runs are results: a void one is none, whatever it shows.
func (p Pair) Counts() bool { return p.A.Verdict != Void && p.B.Verdict != Void }

// Difference is B less A in one measure, over pairs of the same seed.
type Difference struct {
	Measure string    `json:"measure"`
	A       float64   `json:"a"` // means
	B       float64   `json:"b"`
	Mean    float64   `json:"difference"`
	Low     float64   `json:"low"` // bootstrap 95% interval of the mean difference
	High    float64   `json:"high"`
	Each    []float64 `json:"each"`
	Verdict string    `json:"verdict"` // "better", "worse", "no difference seen"
}

const resamples = 10000

// Compare works out the differences over the pairs that count.
func Compare(pairs []Pair) (list []Difference) {
	for _, m := range Measures {
		d := Difference{Measure: m.Name}
		for _, p := range pairs {
			if p.Counts() {
				a, b := m.Of(p.A), m.Of(p.B)
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
		case d.Mean > 0 == m.More:
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

// bootstrap is the 95% interval of the mean, by drawing the list anew from itself. One value has none: all is open.
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
