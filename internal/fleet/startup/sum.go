package startup

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// Subject is what those who called the list service tell of.
const Subject = subject

// Sum sums up words on the load of the list service as words of the same form: the middle rate and the highest version, as
// old as the oldest word that counts, and the youngest refusal, which holds others back by its age, as a word beside it.
func Sum(words []gossip.Fact) (sums []gossip.Fact) {
	var rates []float64
	var all, refused load
	oldest, youngest := time.Duration(0), time.Duration(-1)
	for _, f := range words {
		var l load
		if cbor.Unmarshal(f.Body, &l) != nil || !(l.Rate > 0) {
			continue
		}
		rates, oldest = append(rates, min(max(l.Rate, rateLeast), rateMost)), max(oldest, f.Age)
		all.Version = max(all.Version, l.Version)
		if l.Refused && (youngest < 0 || f.Age < youngest) {
			refused, youngest = l, f.Age
		}
	}
	if len(rates) == 0 {
		return nil
	}
	slices.Sort(rates)
	all.Rate = rates[len(rates)/2]
	sums = []gossip.Fact{sumOf(subject, all, oldest)}
	if youngest >= 0 {
		sums = append(sums, sumOf(subject+" refused", refused, youngest))
	}
	return sums
}

func sumOf(subject string, l load, age time.Duration) gossip.Fact {
	body, err := cbor.Marshal(l)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return gossip.Fact{Kind: gossip.Service, Subject: subject, Age: age, Body: body}
}
