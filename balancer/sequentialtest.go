package balancer

// The sequential test for the loss of a zone. A zone that is lost or partitioned off doesn't respond; one that is
// merely slow does. The structs don't access the Balancer.

import (
	"math"
	"slices"
	"time"
)

const (
	lostUnansweredRate = 0.9  // share of unanswered attempts, those without any response, in a lost zone
	minUnansweredRate  = 0.05 // minimum of the same share in normal operation; see baselineUnansweredRate
	// The log-likelihood ratio at which the sequential probability ratio test (Wald) decides that a zone is lost, for a
	// false-positive rate of one in a thousand; one loss in a hundred is missed at first. Three unresponsive backends
	// at once, or two that remain unresponsive, reach the threshold; a single backend never does.
	failOverThreshold = 6.9
	reportWeight      = 2.4 // weight of a peer's report: three peers with evidence of their own reach failOverThreshold
	reportObjectives  = 2.0 // validity of a report in longest objectives; peers repeat reports once per longest objective
)

// sequentialTest is a sequential probability ratio test on attempts with and without a response. The zero value has no
// evidence.
type sequentialTest struct {
	logLikelihoodRatio float64       // of a loss against normal operation; 0: no evidence
	suspicionPeriod    int           // number of the latest period in which the ratio was above 0
	suspectedSince     time.Duration // when that period's first unanswered attempt was sent, or as recordReport sets it
	unansweredRate     float64       // moving average of the share of unanswered attempts
	lastResponseAt     time.Duration // latest response of any kind
	reports            []lossReport  // reports of peers that found the zone lost, one per peer
}

// lossReport is a peer's report that a zone is lost.
type lossReport struct {
	from       int
	receivedAt time.Duration
}

// unansweredCount counts the unanswered attempts of one backend in the zone's latest suspicion period.
type unansweredCount struct{ period, attempts int }

// weigh counts an unanswered attempt in a suspicion period and returns its weight: 1 for the first attempt, 0.5 for the
// second, and 0 for further attempts, since one backend shows little about the others.
func (c *unansweredCount) weigh(period int) float64 {
	if c.period != period {
		c.period, c.attempts = period, 0
	}
	weight := [...]float64{1, 0.5, 0}[min(c.attempts, 2)]
	c.attempts++
	return weight
}

// recordUnanswered adds an unanswered attempt, sent at the given time, as evidence of a loss. baseline is the share of
// unanswered attempts in normal operation.
func (t *sequentialTest) recordUnanswered(sentAt time.Duration, baseline float64, backend *unansweredCount) {
	t.unansweredRate += smoothing / 2 * (1 - t.unansweredRate)
	if t.logLikelihoodRatio == 0 {
		t.suspicionPeriod++
		t.suspectedSince = sentAt
	}
	t.logLikelihoodRatio += math.Log(lostUnansweredRate/baseline) * backend.weigh(t.suspicionPeriod)
}

// recordResponse records a response of any kind, and discards all reports.
func (t *sequentialTest) recordResponse(now time.Duration) {
	t.unansweredRate -= smoothing / 2 * t.unansweredRate
	t.lastResponseAt, t.reports = now, nil
}

// suspected reports whether this agent has evidence of a loss.
func (t *sequentialTest) suspected() bool { return t.logLikelihoodRatio > 0 }

// refute counts a response as evidence against a loss. baseline is as in recordUnanswered.
func (t *sequentialTest) refute(baseline float64) {
	t.logLikelihoodRatio = max(0, t.logLikelihoodRatio+math.Log((1-lostUnansweredRate)/(1-baseline)))
}

// recordReport adds a peer's report, which replaces an earlier one from the same peer. If this agent has no evidence of
// a loss, recordReport sets suspectedSince to the given time.
func (t *sequentialTest) recordReport(from int, now, since time.Duration) {
	if t.logLikelihoodRatio == 0 {
		t.suspectedSince = since
	}
	t.reports = slices.DeleteFunc(t.reports, func(report lossReport) bool { return report.from == from })
	t.reports = append(t.reports, lossReport{from, now})
}

// lost reports whether this agent's evidence and the reports younger than validity indicate a loss. It discards older
// reports.
func (t *sequentialTest) lost(now, validity time.Duration) bool {
	t.reports = slices.DeleteFunc(t.reports, func(report lossReport) bool { return now-report.receivedAt >= validity })
	return t.logLikelihoodRatio+reportWeight*float64(len(t.reports)) >= failOverThreshold
}

// respondedSince reports whether there was a response at or after the given time.
func (t *sequentialTest) respondedSince(at time.Duration) bool { return t.lastResponseAt >= at }

// respondedRecently reports whether the latest response is younger than the span.
func (t *sequentialTest) respondedRecently(now, span time.Duration) bool {
	return now-t.lastResponseAt < span
}

// healthyAfter reports whether there was a response after the given time, and the evidence of a loss is below half of
// failOverThreshold.
func (t *sequentialTest) healthyAfter(at time.Duration) bool {
	return t.lastResponseAt > at && t.logLikelihoodRatio < failOverThreshold/2
}

// reset discards all evidence, and counts the zone as having responded now.
func (t *sequentialTest) reset(now time.Duration) {
	t.logLikelihoodRatio, t.lastResponseAt, t.reports = 0, now, nil
}
