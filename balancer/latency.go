package balancer

// Latency ratios: the latency of a backend, or of a kind of backend in a class, relative to the expected latency. The
// types don't access the Balancer.

const (
	priorSamples     = 2.0 // weight of the initial ratio 1, the fleet mean, in a new backend's latency ratio, in samples
	maxLatencyRatio  = 8.0 // bound of one latency sample, as a multiple of the expected latency
	lateLatencyRatio = 3.0 // latency sample that is recorded for an overdue or rejected attempt
)

// latencyEstimate is the latency of one backend. The zero value must be reset before use.
type latencyEstimate struct {
	latencyRatio   float64 // moving average of the backend's latency, relative to the expected latency
	latencySamples float64 // number of samples in latencyRatio
}

// resetLatency discards all samples: the backend counts as average.
func (l *latencyEstimate) resetLatency() { l.latencyRatio, l.latencySamples = 1, 0 }

// recordLatency adds one sample, a multiple of the expected latency. The first few samples weigh more, since an agent
// with little traffic seldom gets a response from each backend.
func (l *latencyEstimate) recordLatency(sample float64) {
	l.latencySamples++
	weight := max(smoothing, 1/(l.latencySamples+priorSamples))
	l.latencyRatio += weight * (min(sample, maxLatencyRatio) - l.latencyRatio)
}

// kindRatios holds, by class and kind of backend, the moving average of the latency relative to the expected latency.
// Departure: an agent with little traffic has few responses from each backend in each class, so it pools samples by
// kind.
type kindRatios [][]float64

// newKindRatios returns ratios of 1 for every kind.
func newKindRatios(classes int) kindRatios { return make([][]float64, classes) }

// of returns the ratio for a class and a kind. A kind below 0, which the settings don't list, counts as kind 0.
func (k kindRatios) of(class, kind int) float64 { return *k.at(class, kind) }

// recordRatio adds one latency sample of a backend of the kind, relative to the expected latency.
func (k kindRatios) recordRatio(class, kind int, ratio float64) {
	mean := k.at(class, kind)
	*mean += smoothing * (ratio - *mean)
}

// at returns the stored ratio for a class and a kind, and adds it with the value 1 if it is new.
func (k kindRatios) at(class, kind int) *float64 {
	for len(k[class]) <= max(kind, 0) {
		k[class] = append(k[class], 1)
	}
	return &k[class][max(kind, 0)]
}
