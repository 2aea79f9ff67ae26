package latency

import (
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

// Estimate is what the fleet knows of a pair of sites.
type Estimate struct {
	RTT       time.Duration // 0: not known, since nothing came back
	Jitter    time.Duration
	Loss      float64 // share of asks without an answer
	Observers int
	Age       time.Duration // of the oldest word that it rests on
}

// Pair is two sites, the lower name first: a round trip has no direction.
type Pair struct{ A, B string }

func pairOf(a, b string) Pair {
	if b < a {
		a, b = b, a
	}
	return Pair{a, b}
}

// Matrix is every pair of sites that is known. A pair that is not in it is not known.
type Matrix map[Pair]Estimate

// Between is what is known of two sites.
func (m Matrix) Between(a, b string) (Estimate, bool) {
	e, ok := m[pairOf(a, b)]
	return e, ok
}

// NewMatrix makes a matrix of rows. Each observer has one word on a pair, and the third lowest of their words counts. A row counts only from an observer of that site; whose site is
// not known here says nothing.
func NewMatrix(rows []gossip.Entry, view *member.View) Matrix {
	type word struct {
		rowEntry
		age time.Duration
	}
	reports := map[Pair][]word{}
	for _, row := range rows {
		decoded, err := gossip.DecodeBody(row, unmarshalRow)
		if m, there := view.ByName(row.Observer); err != nil || row.Subject == "" || !there || m.Site != row.Subject {
			continue
		}
		seen := map[string]bool{}
		for _, e := range decoded.Entries {
			if !seen[e.Site] {
				seen[e.Site] = true
				p := pairOf(row.Subject, e.Site)
				reports[p] = append(reports[p], word{e, row.Age})
			}
		}
	}
	m := Matrix{}
	for p, list := range reports {
		var rtts, jitters, losses []time.Duration
		e := Estimate{Observers: len(list)}
		for _, report := range list {
			if report.Count > 0 {
				rtts = append(rtts, time.Duration(report.RTTMicros)*time.Microsecond)
				jitters = append(jitters, time.Duration(report.JitterMicros)*time.Microsecond)
			}
			losses = append(losses, time.Duration(report.LossPercent))
			e.Age = max(e.Age, report.age)
		}
		if 2*len(rtts) > len(list) {
			e.RTT, e.Jitter = thirdLowest(rtts), median(jitters)
		}
		e.Loss = float64(median(losses)) / 100
		m[p] = e
	}
	return m
}

// thirdLowest is the third lowest word, or the middle one of fewer than five: two observers that say too little are left out, and
// all but three that say too much, as everyone does who asks a false or stopped member.
func thirdLowest(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[min(2, (len(list)-1)/2)]
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return quantile(list, 0.5)
}
