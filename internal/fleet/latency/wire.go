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
	probeRequest, probeReply = 1, 2
	datagramBytes            = 1 + 1 + 8 + 8 + 4
)

type datagram struct {
	kind  byte
	label uint64
	nonce uint64
	dwell uint32 // us
}

var errMalformed = errors.New("a datagram of round trips of another form")

func (d datagram) encode(first byte) []byte {
	b := make([]byte, 0, datagramBytes)
	b = append(b, first, d.kind)
	b = binary.BigEndian.AppendUint64(b, d.label)
	b = binary.BigEndian.AppendUint64(b, d.nonce)
	return binary.BigEndian.AppendUint32(b, d.dwell)
}

func decodeDatagram(b []byte) (datagram, error) {
	if len(b) < datagramBytes { // a later version's may be longer
		return datagram{}, errMalformed
	}
	d := datagram{kind: b[1], label: binary.BigEndian.Uint64(b[2:]), nonce: binary.BigEndian.Uint64(b[10:]), dwell: binary.BigEndian.Uint32(b[18:])}
	if d.kind != probeRequest && d.kind != probeReply {
		return datagram{}, errMalformed
	}
	return d, nil
}

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
