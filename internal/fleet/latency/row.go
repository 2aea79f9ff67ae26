package latency

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

// row is what one observer measured from its site, as a fact's body.
type row struct {
	Entries []rowEntry `cbor:"1,keyasint"`
}

type rowEntry struct {
	Site         string `cbor:"1,keyasint"`
	RTTMicros    uint32 `cbor:"2,keyasint"` // the median round trip
	JitterMicros uint32 `cbor:"3,keyasint"` // from there to a high one, us
	LossPercent  uint8  `cbor:"4,keyasint"` // of 100
	Count        uint16 `cbor:"5,keyasint"` // round trips it rests on; 0: none came back
}

const (
	maxSites = 64
	maxRTT   = 10 * time.Second
)

func (r row) validate() error {
	if len(r.Entries) > maxSites {
		return fmt.Errorf("a row of %d sites", len(r.Entries))
	}
	for _, e := range r.Entries {
		if e.Site == "" || e.LossPercent > 100 || time.Duration(e.RTTMicros)*time.Microsecond > maxRTT {
			return fmt.Errorf("an entry %+v", e)
		}
	}
	return nil
}

var rowDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * maxSites, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func unmarshalRow(body []byte) (row, error) {
	var r row
	if err := rowDecMode.Unmarshal(body, &r); err != nil {
		return r, err
	}
	return r, r.validate()
}

// DecodeRow reads how far sites are from the one of whose row a fact tells, by site.
func DecodeRow(body []byte) (map[string]Estimate, error) {
	decoded, err := unmarshalRow(body)
	if err != nil {
		return nil, err
	}
	row := map[string]Estimate{}
	for _, e := range decoded.Entries {
		estimate := Estimate{Loss: float64(e.LossPercent) / 100}
		if e.Count > 0 {
			estimate.RTT, estimate.Jitter = time.Duration(e.RTTMicros)*time.Microsecond, time.Duration(e.JitterMicros)*time.Microsecond
		}
		row[e.Site] = estimate
	}
	return row, nil
}

// Row is what a matrix says of a site, as the body that an observer there would tell, and the age of the oldest word that it
// rests on. nil: it says nothing. What rests on a word older than this is left out: it would make the rest as old.
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
		r.Entries = append(r.Entries, rowEntry{Site: other, RTTMicros: uint32(e.RTT.Microseconds()), JitterMicros: uint32(e.Jitter.Microseconds()),
			LossPercent: uint8(e.Loss * 100), Count: uint16(min(1, e.RTT))})
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
