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
func (m Matrix) Row(site string, within time.Duration) (body []byte, age time.Duration) {
	var r row
	for p, e := range m {
		other := p.B
		if p.B == site {
			other = p.A
		}
		if p.A != site && p.B != site || e.Age > within {
			continue
		}
		age = max(age, e.Age)
		r.Entries = append(r.Entries, entry{Site: other, Micros: uint32(e.Trip.Microseconds()), Spread: uint32(e.Spread.Microseconds()),
			Loss: uint8(e.Loss * 100), Count: uint16(min(1, e.Trip))})
	}
	if len(r.Entries) == 0 {
		return nil, 0
	}
	slices.SortFunc(r.Entries, func(a, b entry) int { return strings.Compare(a.Site, b.Site) })
	r.Entries = r.Entries[:min(len(r.Entries), mostSites)]
	body, err := cbor.Marshal(r)
	if err != nil || len(body) > gossip.MaxBody {
		return nil, 0
	}
	return body, age
}
