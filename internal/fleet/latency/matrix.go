package latency

// This file combines latency rows into the matrix of all sites.

import (
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

// Estimate is the fleet's estimate for a pair of sites.
type Estimate struct {
	RTT       time.Duration // third lowest of the observers' median round trips; 0: unknown, as at least half got no reply
	Jitter    time.Duration // distance from the median round trip to its 0.75 quantile; median of the observers
	Loss      float64       // fraction of probes without a reply, from 0 to 1; median of the observers
	Observers int           // rows from which the estimate was computed
	Age       time.Duration // of the oldest of these rows
}

// Pair is an unordered pair of sites, with A <= B: a round trip has no direction.
type Pair struct{ A, B string }

// pairOf returns the pair of two sites in any order.
func pairOf(a, b string) Pair {
	if b < a {
		a, b = b, a
	}
	return Pair{a, b}
}

// Matrix holds the estimates of all pairs of sites that were measured. It must not be changed once it is shared.
type Matrix map[Pair]Estimate

// Between returns the estimate for two sites, and false if there is none.
func (m Matrix) Between(a, b string) (Estimate, bool) {
	e, ok := m[pairOf(a, b)]
	return e, ok
}

// NewMatrix builds a matrix from the entries of kind gossip.LatencyRow. Each observer counts once for a pair. A row counts only
// if its observer is a member, in the view, of the site that is the row's subject; malformed rows are ignored.
func NewMatrix(rows []gossip.Entry, view *member.View) Matrix {
	matrix := Matrix{}
	for pair, reports := range reportsByPair(rows, view) {
		matrix[pair] = estimateOf(reports)
	}
	return matrix
}

// report is the measurement of one pair of sites in one row.
type report struct {
	rowEntry
	age time.Duration // of the row
}

// reportsByPair groups the entries of all valid rows by pair of sites.
func reportsByPair(rows []gossip.Entry, view *member.View) map[Pair][]report {
	reports := map[Pair][]report{}
	for _, row := range rows {
		decoded, err := gossip.DecodeBody(row, unmarshalRow)
		if m, found := view.ByName(row.Observer); err != nil || row.Subject == "" || !found || m.Site != row.Subject {
			continue
		}
		seen := map[string]bool{}
		for _, e := range decoded.Entries {
			if !seen[e.Site] {
				seen[e.Site] = true
				pair := pairOf(row.Subject, e.Site)
				reports[pair] = append(reports[pair], report{e, row.Age})
			}
		}
	}
	return reports
}

// estimateOf combines the reports on a pair. The round trip is the third lowest one reported, or unknown if at most half of
// the observers report one. Jitter and loss are medians.
func estimateOf(reports []report) Estimate {
	var rtts, jitters, losses []time.Duration
	e := Estimate{Observers: len(reports)}
	for _, report := range reports {
		if report.Count > 0 {
			rtts = append(rtts, time.Duration(report.RTTMicros)*time.Microsecond)
			jitters = append(jitters, time.Duration(report.JitterMicros)*time.Microsecond)
		}
		losses = append(losses, time.Duration(report.LossPercent))
		e.Age = max(e.Age, report.age)
	}
	if 2*len(rtts) > len(reports) {
		e.RTT, e.Jitter = thirdLowest(rtts), median(jitters)
	}
	e.Loss = float64(median(losses)) / 100
	return e
}

// thirdLowest returns the third lowest value, or of fewer than five values the median. It sorts list. Of five or more
// values, two that are too low cannot make the result too low, and values that are too high cannot make it too high while
// three others remain. An observer measures too high a value if it probes members that are stopped or delay their replies.
func thirdLowest(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[min(2, (len(list)-1)/2)]
}

// median returns the median, the lower one of two. It sorts list.
func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return quantile(list, 0.5)
}
