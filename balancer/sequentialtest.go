package balancer

// The sequential test for the loss of a zone. A zone that is lost or cut off is silent; one that is only slow answers.
// The structs stand alone.

import (
	"math"
	"slices"
	"time"
)

const (
	lostSilenceRate    = 0.9  // share of attempts without any answer in a lost zone
	minBaselineSilence = 0.05 // the same in a healthy zone, at least; the other zones' present share if that is higher
	// The log-likelihood ratio at which the sequential probability ratio test (Wald) decides that a zone is lost: one
	// silence in a thousand is taken for a loss by mistake, one loss in a hundred is missed at first. Three silent
	// backends at once, or two that stay silent, reach it; one never does.
	failOverThreshold = 6.9
	reportWeight      = 2.4 // weight of a peer's report: three that saw it themselves reach failOverThreshold
	reportObjectives  = 2.0 // validity of a report in longest objectives: it is repeated in each
)

// sequentialTest weighs silence against answers, attempt by attempt, until it can decide. The zero value has no evidence.
type sequentialTest struct {
	logLikelihoodRatio float64       // of a loss against normal operation; 0: no evidence
	silenceEpisode     int           // number of the latest period in which the ratio was above 0
	silenceStartedAt   time.Duration // when the first silent attempt of that period was sent
	silenceRate        float64       // moving average of the share of attempts without any answer
	lastAnswerAt       time.Duration // latest answer of any kind
	reports            []lossReport  // of peers that found the zone lost, one for each
}

// lossReport is a peer's report that a zone is lost.
type lossReport struct {
	from       int
	receivedAt time.Duration
}

// silenceCount counts the attempts of one backend without any answer in one silence episode of its zone.
type silenceCount struct{ episode, attempts int }

// weigh counts an attempt and returns its weight: the first counts in full and the second one half, further ones tell
// nothing about the other backends.
func (c *silenceCount) weigh(episode int) float64 {
	if c.episode != episode {
		c.episode, c.attempts = episode, 0
	}
	weight := [...]float64{1, 0.5, 0}[min(c.attempts, 2)]
	c.attempts++
	return weight
}

// recordSilence adds an attempt without any answer, sent at the given time, as evidence of a loss. baseline is the share
// of such attempts in normal operation.
func (t *sequentialTest) recordSilence(sentAt time.Duration, baseline float64, backend *silenceCount) {
	t.silenceRate += smoothing / 2 * (1 - t.silenceRate)
	if t.logLikelihoodRatio == 0 {
		t.silenceEpisode++
		t.silenceStartedAt = sentAt
	}
	t.logLikelihoodRatio += math.Log(lostSilenceRate/baseline) * backend.weigh(t.silenceEpisode)
}

// recordAnswer notes an answer of any kind. It refutes all reports.
func (t *sequentialTest) recordAnswer(now time.Duration) {
	t.silenceRate -= smoothing / 2 * t.silenceRate
	t.lastAnswerAt, t.reports = now, nil
}

// suspected reports whether there is own evidence of a loss.
func (t *sequentialTest) suspected() bool { return t.logLikelihoodRatio > 0 }

// refute takes an answer as evidence against a loss.
func (t *sequentialTest) refute(baseline float64) {
	t.logLikelihoodRatio = max(0, t.logLikelihoodRatio+math.Log((1-lostSilenceRate)/(1-baseline)))
}

// recordReport adds a peer's report. If there is no own evidence, the silence counts from the given time.
func (t *sequentialTest) recordReport(from int, now, silentFrom time.Duration) {
	if t.logLikelihoodRatio == 0 {
		t.silenceStartedAt = silentFrom
	}
	t.reports = slices.DeleteFunc(t.reports, func(report lossReport) bool { return report.from == from })
	t.reports = append(t.reports, lossReport{from, now})
}

// lost decides the test, by own evidence and by the reports that are younger than the validity.
func (t *sequentialTest) lost(now, validity time.Duration) bool {
	t.reports = slices.DeleteFunc(t.reports, func(report lossReport) bool { return now-report.receivedAt >= validity })
	return t.logLikelihoodRatio+reportWeight*float64(len(t.reports)) >= failOverThreshold
}

// answeredSince reports whether there was an answer at or after the given time.
func (t *sequentialTest) answeredSince(at time.Duration) bool { return t.lastAnswerAt >= at }

// answeredRecently reports whether the latest answer is younger than the span.
func (t *sequentialTest) answeredRecently(now, span time.Duration) bool {
	return now-t.lastAnswerAt < span
}

// worksAfter reports whether there was an answer after the given time, and too little evidence of a loss to doubt it.
func (t *sequentialTest) worksAfter(at time.Duration) bool {
	return t.lastAnswerAt > at && t.logLikelihoodRatio < failOverThreshold/2
}

// reset starts anew, as if there had been an answer now.
func (t *sequentialTest) reset(now time.Duration) {
	t.logLikelihoodRatio, t.lastAnswerAt, t.reports = 0, now, nil
}
