package latency

// This file defines the latency row: the body of an entry of kind gossip.LatencyRow.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// row holds the measurements of one observer. The subject of its gossip entry is the observer's site.
type row struct {
	Entries []rowEntry `cbor:"1,keyasint"`
}

// rowEntry is the measurement from the observer's site to one site.
type rowEntry struct {
	Site         string `cbor:"1,keyasint"`
	RTTMicros    uint32 `cbor:"2,keyasint"` // median round trip
	JitterMicros uint32 `cbor:"3,keyasint"` // distance from the median to the jitterQuantile
	LossPercent  uint8  `cbor:"4,keyasint"` // probes without a reply
	Count        uint16 `cbor:"5,keyasint"` // replies; 0: the round trip is unknown
}

// Limits of a row that is accepted from the network.
const (
	maxSites = 64
	maxRTT   = 10 * time.Second
)

// validate checks a row against the limits.
func (r row) validate() error {
	if len(r.Entries) > maxSites {
		return fmt.Errorf("latency row has too many sites: %d", len(r.Entries))
	}
	for _, e := range r.Entries {
		if e.Site == "" || e.LossPercent > 100 || time.Duration(e.RTTMicros)*time.Microsecond > maxRTT {
			return fmt.Errorf("latency row has an invalid entry %+v", e)
		}
	}
	return nil
}

var rowDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * maxSites, MaxMapPairs: 16, MaxNestedLevels: 6,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// unmarshalRow decodes and checks a row. All callers of gossip.DecodeBody for rows pass this function.
func unmarshalRow(body []byte) (row, error) {
	var r row
	if err := rowDecMode.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("decode latency row: %w", err)
	}
	return r, r.validate()
}

// DecodeRow decodes the body of a latency row and returns its estimates by site. It returns an error if the row is malformed
// or exceeds a limit.
func DecodeRow(body []byte) (map[string]Estimate, error) {
	decoded, err := unmarshalRow(body)
	if err != nil {
		return nil, err
	}
	estimates := map[string]Estimate{}
	for _, e := range decoded.Entries {
		estimate := Estimate{Loss: float64(e.LossPercent) / 100}
		if e.Count > 0 {
			estimate.RTT = time.Duration(e.RTTMicros) * time.Microsecond
			estimate.Jitter = time.Duration(e.JitterMicros) * time.Microsecond
		}
		estimates[e.Site] = estimate
	}
	return estimates, nil
}

// Row returns the estimates from one site to the others in the form of a latency row, and the age of the oldest row from
// which they were computed. Row omits estimates older than maxAge, since they would raise the age of the row. body is nil if
// no estimate is left or the row exceeds gossip.MaxBodyBytes. A hub sends these rows to its agents.
func (m Matrix) Row(site string, maxAge time.Duration) (body []byte, age time.Duration) {
	var r row
	for p, e := range m {
		other := p.B
		if p.B == site {
			other = p.A
		}
		if p.A != site && p.B != site || e.Age > maxAge {
			continue
		}
		age = max(age, e.Age)
		r.Entries = append(r.Entries, rowEntry{Site: other, RTTMicros: uint32(e.RTT.Microseconds()),
			JitterMicros: uint32(e.Jitter.Microseconds()), LossPercent: uint8(e.Loss * 100), Count: uint16(min(1, e.RTT))})
	}
	if len(r.Entries) == 0 {
		return nil, 0
	}
	slices.SortFunc(r.Entries, func(a, b rowEntry) int { return strings.Compare(a.Site, b.Site) })
	r.Entries = r.Entries[:min(len(r.Entries), maxSites)]
	body, err := cbor.Marshal(r)
	if err != nil || len(body) > gossip.MaxBodyBytes {
		return nil, 0
	}
	return body, age
}
