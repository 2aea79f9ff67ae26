package balancer

// Classes of requests: the statistics of each, and the value of a unit of work spent on it. The structs use no other
// state.

import (
	"math"
	"time"
)

// classState is the state of one class of requests.
type classState struct {
	Class
	latency       float64       // moving average of the latency of responses, ns
	marginalValue float64       // what a unit of work adds to the operator's goal, in this step
	usualTimeout  time.Duration // usual timeout of a client's attempt
	meanWork      float64       // moving average of the announced work, ns
	arrivals      float64       // decayed count of requests
	metObjective  float64       // decayed count of requests answered within the objective
}

// expectedLatency returns the mean latency, in ns, of a request with the announced work, in ns; 0: unknown.
func (c *classState) expectedLatency(work float64) float64 {
	if work > 0 && c.meanWork > 0 {
		return c.latency * work / c.meanWork
	}
	return c.latency
}

// meanWorkLatency scales the latency of a request with the announced work to mean work: the long latency of an
// expensive request does not indicate a queue.
func (c *classState) meanWorkLatency(latency, work float64) float64 {
	if work > 0 && c.meanWork > 0 {
		latency *= c.meanWork / work
	}
	return latency
}

// recordLatency updates the mean latency with the latency of a response, scaled to mean work, in ns.
func (c *classState) recordLatency(latency float64) { c.latency = ewma(c.latency, max(latency, 1)) }

// restore sets the mean latency to that of an earlier process, in ns. A value below 1 ns or above the objective is
// ignored.
func (c *classState) restore(latency float64) {
	if latency >= 1 && latency <= float64(c.LatencyObjective) {
		c.latency = latency
	}
}

// updateMeanWork updates the mean work with the announced work of a request, in ns; 0: unknown.
func (c *classState) updateMeanWork(work float64) {
	if work > 0 {
		c.meanWork = ewma(c.meanWork, work)
	}
}

// updateUsualTimeout updates the usual timeout with that of a client's attempt, and reports whether the timeout is
// unusual. Clients use one timeout for all their attempts, except for the last attempt, which has only the rest of the
// deadline. An attempt with an unusual timeout is therefore treated as a retry whose timeout is the rest of the
// deadline.
func (c *classState) updateUsualTimeout(timeout, tick time.Duration, clientRetry bool) (unusual bool) {
	if c.usualTimeout == 0 {
		c.usualTimeout = timeout
	}
	offset := timeout - c.usualTimeout
	if !clientRetry {
		c.usualTimeout += min(max(offset, -tick/4), tick/4) // converges to the median
	}
	return offset > 2*tick || offset < -2*tick
}

// recordArrival counts the arrival of a request.
func (c *classState) recordArrival() { c.arrivals++ }

// countMetObjective counts a request that was answered within its objective.
func (c *classState) countMetObjective() { c.metObjective++ }

// weightUnit returns the amount that the priority weight applies to: one request, or the work of a mean request in ns.
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

// maxObjective returns the longest latency objective of all classes.
func (t classTable) maxObjective() (objective time.Duration) {
	for i := range t {
		objective = max(objective, t[i].LatencyObjective)
	}
	return objective
}

// decay makes older requests count less. The balancer calls decay for each request, so that about the last 200 requests
// count.
func (t classTable) decay() {
	for i := range t {
		t[i].arrivals *= 1 - smoothing/20
		t[i].metObjective *= 1 - smoothing/20
	}
}

// recomputeValues updates the marginal value of each class.
func (t classTable) recomputeValues(s *Settings) {
	for i := range t {
		t[i].marginalValue = t.marginalValueOf(i, s)
	}
}

// marginalValueOf returns what a unit of work spent on a class now adds to the operator's goal.
func (t classTable) marginalValueOf(class int, s *Settings) float64 {
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

// arrivingWork returns the arriving work, in ns, of the classes with a higher marginal value than the given class
// (above) and of all classes (total).
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
