package latency

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A datagram: the byte that tells it from the membership's, what it is, the fleet's label, a number that only who was
// asked has seen, and in an answer how long it dwelt there. Big-endian.
const (
	ask, reply = 1, 2
	size       = 1 + 1 + 8 + 8 + 4
)

type datagram struct {
	what  byte
	label uint64
	nonce uint64
	dwell uint32 // us
}

var errForm = errors.New("a datagram of round trips of another form")

func (d datagram) encode(first byte) []byte {
	b := make([]byte, 0, size)
	b = append(b, first, d.what)
	b = binary.BigEndian.AppendUint64(b, d.label)
	b = binary.BigEndian.AppendUint64(b, d.nonce)
	return binary.BigEndian.AppendUint32(b, d.dwell)
}

func decode(b []byte) (datagram, error) {
	if len(b) < size { // a later version's may be longer
		return datagram{}, errForm
	}
	d := datagram{what: b[1], label: binary.BigEndian.Uint64(b[2:]), nonce: binary.BigEndian.Uint64(b[10:]), dwell: binary.BigEndian.Uint32(b[18:])}
	if d.what != ask && d.what != reply {
		return datagram{}, errForm
	}
	return d, nil
}

// row is what one observer measured from its site, as a fact's body.
type row struct {
	Entries []entry `cbor:"1,keyasint"`
}

type entry struct {
	Site   string `cbor:"1,keyasint"`
	Micros uint32 `cbor:"2,keyasint"` // the median round trip
	Spread uint32 `cbor:"3,keyasint"` // from there to a high one, us
	Loss   uint8  `cbor:"4,keyasint"` // of 100
	Count  uint16 `cbor:"5,keyasint"` // round trips it rests on; 0: none came back
}

const (
	mostSites = 64
	longest   = 10 * time.Second
)

func (r row) check() error {
	if len(r.Entries) > mostSites {
		return fmt.Errorf("a row of %d sites", len(r.Entries))
	}
	for _, e := range r.Entries {
		if e.Site == "" || e.Loss > 100 || time.Duration(e.Micros)*time.Microsecond > longest {
			return fmt.Errorf("an entry %+v", e)
		}
	}
	return nil
}

var rowDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * mostSites, MaxMapPairs: 16, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func decodeRow(body []byte) (row, error) {
	var r row
	if err := rowDecoder.Unmarshal(body, &r); err != nil {
		return r, err
	}
	return r, r.check()
}
