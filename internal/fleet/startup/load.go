package startup

// This file defines the published load of the list service and its aggregate over many processes.

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// Subject is the subject of the gossip entries that a Pacer publishes.
const Subject = subject

// serviceLoad is the load of the list service as observed by one caller. It is the body of an entry of kind
// gossip.ListServiceLoad.
type serviceLoad struct {
	Rate    float64 `cbor:"1,keyasint"` // estimate of the calls per second that the service sustains
	Failed  bool    `cbor:"2,keyasint"` // the call was rejected or failed
	Version int64   `cbor:"3,keyasint"` // of the list in the response
}

// decodeLoad decodes the body of an entry. All callers of gossip.DecodeBody for loads pass this function.
func decodeLoad(body []byte) (l serviceLoad, err error) {
	err = cbor.Unmarshal(body, &l)
	return l, err
}

// Aggregate combines entries of kind gossip.ListServiceLoad into at most two entries of the same form. The first has the
// median rate and the highest version, and is as old as the oldest valid entry. The second is the most recent failure, if
// there is one, with its own age, which other processes compare with the pause after a failure. Malformed entries are
// ignored. Hubs publish the aggregate instead of the loads of all their agents; the caller sets observer, incarnation and
// sequence number.
func Aggregate(entries []gossip.Entry) (aggregates []gossip.Entry) {
	var rates []float64
	var combined, latestFailure serviceLoad
	oldest, failureAge := time.Duration(0), time.Duration(-1)
	for _, entry := range entries {
		var load serviceLoad
		if cbor.Unmarshal(entry.Body, &load) != nil || !(load.Rate > 0) {
			continue
		}
		rates, oldest = append(rates, min(max(load.Rate, minRate), maxRate)), max(oldest, entry.Age)
		combined.Version = max(combined.Version, load.Version)
		if load.Failed && (failureAge < 0 || entry.Age < failureAge) {
			latestFailure, failureAge = load, entry.Age
		}
	}
	if len(rates) == 0 {
		return nil
	}
	slices.Sort(rates)
	combined.Rate = rates[len(rates)/2]
	aggregates = []gossip.Entry{aggregateEntry(subject, combined, oldest)}
	if failureAge >= 0 {
		aggregates = append(aggregates, aggregateEntry(subject+" refused", latestFailure, failureAge))
	}
	return aggregates
}

// aggregateEntry returns an entry with the given load.
func aggregateEntry(subject string, load serviceLoad, age time.Duration) gossip.Entry {
	body, err := cbor.Marshal(load)
	if err != nil {
		panic(err) // a load consists of numbers and a bool, which always encode
	}
	return gossip.Entry{Kind: gossip.ListServiceLoad, Subject: subject, Age: age, Body: body}
}
