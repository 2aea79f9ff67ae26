package latency

import (
	"encoding/binary"
	"errors"
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
