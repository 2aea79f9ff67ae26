package startup

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// Subject is what those who called the list service tell of.
const Subject = subject

// serviceLoad is what one caller saw of the service, as a fact's body.
type serviceLoad struct {
	Rate    float64 `cbor:"1,keyasint"` // calls a second that it seems to bear
	Failed  bool    `cbor:"2,keyasint"` // the call was refused, or failed
	Version int64   `cbor:"3,keyasint"` // of the list that came
}

func decodeLoad(body []byte) (l serviceLoad, err error) {
	err = cbor.Unmarshal(body, &l)
	return l, err
}

// Aggregate sums up words on the load of the list service as words of the same form: the middle rate and the highest version, as
// old as the oldest word that counts, and the youngest refusal, which holds others back by its age, as a word beside it.
func Aggregate(entries []gossip.Entry) (aggregates []gossip.Entry) {
	var rates []float64
	var total, failed serviceLoad
	oldest, youngest := time.Duration(0), time.Duration(-1)
	for _, entry := range entries {
		var load serviceLoad
		if cbor.Unmarshal(entry.Body, &load) != nil || !(load.Rate > 0) {
			continue
		}
		rates, oldest = append(rates, min(max(load.Rate, minRate), maxRate)), max(oldest, entry.Age)
		total.Version = max(total.Version, load.Version)
		if load.Failed && (youngest < 0 || entry.Age < youngest) {
			failed, youngest = load, entry.Age
		}
	}
	if len(rates) == 0 {
		return nil
	}
	slices.Sort(rates)
	total.Rate = rates[len(rates)/2]
	aggregates = []gossip.Entry{aggregateEntry(subject, total, oldest)}
	if youngest >= 0 {
		aggregates = append(aggregates, aggregateEntry(subject+" refused", failed, youngest))
	}
	return aggregates
}

func aggregateEntry(subject string, load serviceLoad, age time.Duration) gossip.Entry {
	body, err := cbor.Marshal(load)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return gossip.Entry{Kind: gossip.ListServiceLoad, Subject: subject, Age: age, Body: body}
}
