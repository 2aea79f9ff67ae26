package latency

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"martenbeam/internal/fleet/gossip"
)

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
