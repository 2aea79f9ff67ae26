package lab

import (
	"slices"
	"time"
)

// maxConnectionsPerSecond returns the maximum number of connections opened to one backend in one second after the warm-up.
// Lab.mu is held.
func (l *Lab) maxConnectionsPerSecond() (maxCount int) {
	warmUp := l.Scenario.WarmUp.Duration() / time.Second
	for _, h := range l.hosts {
		h.mu.Lock()
		for second, n := range h.opened {
			if second >= warmUp {
				maxCount = max(maxCount, n)
			}
		}
		h.mu.Unlock()
	}
	return maxCount
}

// restartTimePercentiles returns percentiles of the time from the restart of an agent until it accepts clients. Lab.mu is held.
func (l *Lab) restartTimePercentiles() Percentiles {
	if len(l.restartTimes) == 0 {
		return Percentiles{}
	}
	list := slices.Sorted(slices.Values(l.restartTimes))
	at := func(q float64) float64 { return list[int(q*float64(len(list)-1)+0.5)].Seconds() * 1e3 }
	return Percentiles{at(0.5), at(0.99), at(0.999)}
}

// recoveryTime returns the seconds from the first fault until the service recovered. The service is degraded in a second in
// which the share served within the objective is below 95% of the share before the fault. It recovers at the first of three
// consecutive seconds that reach 95% again. recoveryTime returns nil if there is no fault or no full second between the warm-up
// and the first fault, 0 if no second was degraded, and -1 if the service did not recover. Lab.mu is held.
func (l *Lab) recoveryTime() *float64 {
	if len(l.Scenario.Faults) == 0 {
		return nil
	}
	first := l.Scenario.Faults[0].At.Duration()
	for _, f := range l.Scenario.Faults {
		first = min(first, f.At.Duration())
	}
	from, to := int(l.Scenario.WarmUp.Duration()/time.Second), int(first/time.Second)
	if to <= from {
		return nil
	}
	servedShare := func(a, b int) float64 {
		weight, inObjective := 0.0, 0.0
		for i := a; i < b && i < len(l.tally.Windows); i++ {
			weight, inObjective = weight+l.tally.Windows[i].Weight, inObjective+l.tally.Windows[i].WeightInObjective
		}
		return share(inObjective, weight)
	}
	before, recovery := servedShare(from, to), -1.0
	degraded := false
	for i := to; i+3 <= len(l.tally.Windows); i++ {
		if servedShare(i, i+1) < 0.95*before {
			degraded = true
		} else if degraded && servedShare(i+1, i+2) >= 0.95*before && servedShare(i+2, i+3) >= 0.95*before {
			after := float64(i) - first.Seconds()
			return &after
		}
	}
	if !degraded {
		recovery = 0
	}
	return &recovery
}
