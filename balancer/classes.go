package balancer

// Classes of requests: what is learned about each, and what a unit of work spent on it is worth. The structs stand
// alone.

import (
	"math"
	"time"
)

// classState is what is known about one class of requests.
type classState struct {
	Class
	latency       float64       // moving average of the latency of answers, ns
	marginalValue float64       // what a unit of work adds to the operator's goal, in this step
	usualTimeout  time.Duration // usual timeout of a client's attempt
	meanWork      float64       // moving average of the announced work, ns
	arrivals      float64       // decayed count of requests
	metObjective  float64       // decayed count of requests answered within the objective
}

// expectedLatency is the mean latency of a request of the announced work (0: unknown), ns.
func (c *classState) expectedLatency(work float64) float64 {
	if work > 0 && c.meanWork > 0 {
		return c.latency * work / c.meanWork
	}
	return c.latency
}

// meanWorkLatency scales the latency of a request of the announced work to mean work: an expensive request does not
// indicate a queue.
func (c *classState) meanWorkLatency(latency, work float64) float64 {
	if work > 0 && c.meanWork > 0 {
		latency *= c.meanWork / work
	}
	return latency
}

// learnLatency adds the latency of an answer, scaled to mean work, ns.
func (c *classState) learnLatency(latency float64) { c.latency = ewma(c.latency, max(latency, 1)) }

// restore continues from the latency that an earlier process saw, ns. One beyond the objective is ignored.
func (c *classState) restore(latency float64) {
	if latency >= 1 && latency <= float64(c.LatencyObjective) {
		c.latency = latency
	}
}

// learnWork adds the announced work of a request, ns; 0: unknown.
func (c *classState) learnWork(work float64) {
	if work > 0 {
		c.meanWork = ewma(c.meanWork, work)
	}
}

// learnTimeout adds the timeout of a client's attempt, and reports whether it is unusual. Clients give all their
// attempts one usual timeout, and the last one what is left of their deadline. An attempt with any other timeout is
// therefore a retry, and the difference tells when the client started.
func (c *classState) learnTimeout(timeout, tick time.Duration, clientRetry bool) (unusual bool) {
	if c.usualTimeout == 0 {
		c.usualTimeout = timeout
	}
	offset := timeout - c.usualTimeout
	if !clientRetry {
		c.usualTimeout += min(max(offset, -tick/4), tick/4) // converges to the median
	}
	return offset > 2*tick || offset < -2*tick
}

// arrive counts a request.
func (c *classState) arrive() { c.arrivals++ }

// meet counts a request that was answered within its objective.
func (c *classState) meet() { c.metObjective++ }

// weightUnit is what the priority weight applies to: a request, or the work of a mean request.
func (c *classState) weightUnit(byWork bool) float64 {
	if byWork {
		return c.latency
	}
	return 1
}

// classTable holds the classes by number.
type classTable []classState

// newClassTable returns the classes of the settings. Their latency starts at a quarter of the objective.
func newClassTable(classes []Class) (t classTable) {
	for _, class := range classes {
		t = append(t, classState{Class: class, latency: float64(class.LatencyObjective) / 4})
	}
	return t
}

// maxObjective is the longest latency objective of all classes.
func (t classTable) maxObjective() (objective time.Duration) {
	for i := range t {
		objective = max(objective, t[i].LatencyObjective)
	}
	return objective
}

// decay makes older requests count less. It is called for each request, so that the last few hundred count.
func (t classTable) decay() {
	for i := range t {
		t[i].arrivals *= 1 - smoothing/20
		t[i].metObjective *= 1 - smoothing/20
	}
}

// recomputeValues updates what a unit of work spent on each class now adds to the operator's goal.
func (t classTable) recomputeValues(s *Settings) {
	for i := range t {
		t[i].marginalValue = t.valueOf(i, s)
	}
}

func (t classTable) valueOf(class int, s *Settings) float64 {
	total, worst, lowestShare := 0.0, -1, math.Inf(1)
	for i := range t {
		c := &t[i]
		total += c.arrivals * c.PriorityWeight * c.weightUnit(s.WeightByWork)
		if share := (c.metObjective + 1) / (c.arrivals + 1); share < lowestShare {
			worst, lowestShare = i, share
		}
	}
	c := &t[class]
	value := (s.GoalOverall + s.GoalWorstWindow) * c.PriorityWeight * c.weightUnit(s.WeightByWork) / c.latency / max(total, 1e-9)
	if class == worst {
		value += s.GoalWorstClass / (max(c.arrivals, 1) * c.latency)
	}
	return value
}

// arrivingWork returns the arriving work of all classes, and the part of it in classes of a higher marginal value.
func (t classTable) arrivingWork(class int) (above, total float64) {
	for i := range t {
		c := &t[i]
		if total += c.arrivals * c.latency; c.marginalValue > t[class].marginalValue {
			above += c.arrivals * c.latency
		}
	}
	return above, total
}

// lowestPriority reports whether no class has a lower priority weight.
func (t classTable) lowestPriority(class int) bool {
	for i := range t {
		if t[i].PriorityWeight < t[class].PriorityWeight {
			return false
		}
	}
	return true
}
