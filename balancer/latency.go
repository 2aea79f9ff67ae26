package balancer

// Latency ratios: how much slower than expected a backend is, and how much slower than others a kind of backend serves a
// class. The structs stand alone.

const (
	priorSamples     = 2.0 // samples that the fleet mean counts for in a new backend's latency ratio
	maxLatencyRatio  = 8.0 // bound of one latency sample, relative to the mean
	lateLatencyRatio = 3.0 // latency ratio that an overdue attempt counts as
)

// latencyEstimate is the latency of one backend. The zero value must be reset before use.
type latencyEstimate struct {
	latencyRatio   float64 // moving average of its latency, relative to the expected latency
	latencySamples float64 // samples behind latencyRatio
}

// resetLatency forgets all samples: the backend counts as average.
func (l *latencyEstimate) resetLatency() { l.latencyRatio, l.latencySamples = 1, 0 }

// learnLatency adds one sample, a multiple of the expected latency. The first few samples weigh more, since an agent
// with little traffic gets an answer from each backend only now and then.
func (l *latencyEstimate) learnLatency(sample float64) {
	l.latencySamples++
	weight := max(smoothing, 1/(l.latencySamples+priorSamples))
	l.latencyRatio += weight * (min(sample, maxLatencyRatio) - l.latencyRatio)
}

// kindRatios holds, by class and kind of backend, how much slower than the mean such backends serve the class.
// Departure: an agent with little traffic has few answers from each backend in each class, so it pools what it learns
// by kind.
type kindRatios [][]float64

// newKindRatios returns ratios of 1 for every kind.
func newKindRatios(classes int) kindRatios { return make([][]float64, classes) }

// of returns the ratio of a class and a kind. A kind that the settings don't name is −1, and counts as 0.
func (k kindRatios) of(class, kind int) float64 { return *k.at(class, kind) }

// learn adds one latency ratio of a backend of the kind.
func (k kindRatios) learn(class, kind int, ratio float64) {
	mean := k.at(class, kind)
	*mean += smoothing * (ratio - *mean)
}

func (k kindRatios) at(class, kind int) *float64 {
	for len(k[class]) <= max(kind, 0) {
		k[class] = append(k[class], 1)
	}
	return &k[class][max(kind, 0)]
}
