package latency

import (
	"slices"
	"time"

	"martenbeam/internal/fleet/gossip"
	"martenbeam/internal/fleet/member"
)

// Estimate is what the fleet knows of a pair of sites.
type Estimate struct {
	Trip      time.Duration // 0: not known, since nothing came back
	Spread    time.Duration
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

// Of is what is known of two sites.
func (m Matrix) Of(a, b string) (Estimate, bool) {
	e, ok := m[pairOf(a, b)]
	return e, ok
}

// Make makes a matrix of rows. Each observer has one word on a pair, and the third lowest of their words counts. A row counts only from an observer of that site; whose site is
// not known here says nothing.
func Make(rows []gossip.Fact, who *member.View) Matrix {
	type word struct {
		entry
		age time.Duration
	}
	words := map[Pair][]word{}
	for _, f := range rows {
		r, err := gossip.Read(f, decodeRow)
		if m, there := who.Named(f.Observer); err != nil || f.Subject == "" || !there || m.Site != f.Subject {
			continue
		}
		seen := map[string]bool{}
		for _, e := range r.Entries {
			if !seen[e.Site] {
				seen[e.Site] = true
				p := pairOf(f.Subject, e.Site)
				words[p] = append(words[p], word{e, f.Age})
			}
		}
	}
	m := Matrix{}
	for p, list := range words {
		var trips, spreads, losses []time.Duration
		e := Estimate{Observers: len(list)}
		for _, w := range list {
			if w.Count > 0 {
				trips = append(trips, time.Duration(w.Micros)*time.Microsecond)
				spreads = append(spreads, time.Duration(w.Spread)*time.Microsecond)
			}
			losses = append(losses, time.Duration(w.Loss))
			e.Age = max(e.Age, w.age)
		}
		if 2*len(trips) > len(list) {
			e.Trip, e.Spread = third(trips), median(spreads)
		}
		e.Loss = float64(median(losses)) / 100
		m[p] = e
	}
	return m
}

// third is the third lowest word, or the middle one of fewer than five: two observers that say too little are left out, and
// all but three that say too much, as everyone does who asks a false or stopped member.
func third(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[min(2, (len(list)-1)/2)]
}

func median(list []time.Duration) time.Duration {
	slices.Sort(list)
	return quantile(list, 0.5)
}
