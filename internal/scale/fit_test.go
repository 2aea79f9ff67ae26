package scale

// Fits of a value's growth with the fleet's size, extrapolated to 1,800 agents.

import (
	"math"
	"testing"
)

// form is a candidate function for the growth of a value with the fleet's size n.
type form struct {
	name string
	of   func(n float64) float64
}

var forms = []form{
	{"log n", math.Log2},
	{"n", func(n float64) float64 { return n }},
	{"n log n", func(n float64) float64 { return n * math.Log2(n) }},
	{"n^2", func(n float64) float64 { return n * n }},
}

// fit is the least-squares fit of y = base + slope * form(n).
type fit struct {
	Form     string  `json:"form"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Error    float64 `json:"slope_standard_error"`
	Residual float64 `json:"residual"` // standard deviation of the residuals
	At1800   float64 `json:"at_1800"`
	Low      float64 `json:"at_1800_low"` // lower bound of the 95% prediction interval for one more run
	High     float64 `json:"at_1800_high"`
	Points   int     `json:"points"`
}

// studentQuantile returns the 97.5% quantile of Student's t-distribution with df degrees of freedom, at least 1.
func studentQuantile(df int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
		2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086}
	if df <= len(table) {
		return table[df-1]
	}
	return 1.96 + 2.4/float64(df) // accurate to 1% for df above the table
}

// fitTo returns the fit of one form. At least three points and two sizes are required.
func fitTo(f form, n, y []float64) fit {
	m := float64(len(n))
	var mx, my float64
	for i := range n {
		mx += f.of(n[i]) / m
		my += y[i] / m
	}
	var sxx, sxy float64
	for i := range n {
		d := f.of(n[i]) - mx
		sxx += d * d
		sxy += d * (y[i] - my)
	}
	r := fit{Form: f.name, Slope: sxy / sxx, Points: len(n)}
	r.Base = my - r.Slope*mx
	var squares float64
	for i := range n {
		e := y[i] - r.Base - r.Slope*f.of(n[i])
		squares += e * e
	}
	df := len(n) - 2
	r.Residual = math.Sqrt(squares / float64(df))
	r.Error = r.Residual / math.Sqrt(sxx)
	x := f.of(1800)
	r.At1800 = r.Base + r.Slope*x
	half := studentQuantile(df) * r.Residual * math.Sqrt(1+1/m+(x-mx)*(x-mx)/sxx)
	r.Low, r.High = r.At1800-half, r.At1800+half
	return r
}

// bestFit returns the fit with the least residual of all forms. It returns false for fewer than three points or two sizes.
func bestFit(n, y []float64) (b fit, ok bool) {
	sizes := map[float64]bool{}
	for _, x := range n {
		sizes[x] = true
	}
	if len(sizes) < 2 || len(n) < 3 {
		return b, false
	}
	for i, f := range forms {
		if r := fitTo(f, n, y); i == 0 || r.Residual < b.Residual {
			b = r
		}
	}
	return b, true
}

// bestFit finds the form, the slope and the slope's standard error, and rejects points of a single size.
func TestFitFindsTheFormAndItsSlope(t *testing.T) {
	var n, y []float64
	noise := []float64{0.3, -0.1, -0.2}
	for _, size := range []float64{30, 100, 300, 600} {
		for _, e := range noise {
			n, y = append(n, size), append(y, 5+0.02*size+e)
		}
	}
	b, ok := bestFit(n, y)
	if !ok || b.Form != "n" || math.Abs(b.Slope-0.02) > 2*b.Error || b.Error < 1e-5 || b.Error > 1e-3 {
		t.Errorf("values 5 + 0.02 n with noise: got %+v, want form n and a slope within two standard errors of 0.02", b)
	}
	if b.At1800 < b.Low || b.At1800 > b.High || b.Low > 41 || b.High < 41 {
		t.Errorf("extrapolation to 1,800: %+v, want an interval around 41", b)
	}
	for i := range y {
		y[i] = 1 + 1e-4*n[i]*n[i]
	}
	if b, _ := bestFit(n, y); b.Form != "n^2" || math.Abs(b.At1800-325) > 1e-6 {
		t.Errorf("values 1 + 0.0001 n^2: got %+v, want form n^2 and 325 at 1,800", b)
	}
	if _, ok := bestFit(n[:3], y[:3]); ok {
		t.Error("bestFit accepted points of a single size")
	}
}
