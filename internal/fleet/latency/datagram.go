package latency

// This file defines the datagrams that measure a round trip.

import (
	"encoding/binary"
	"errors"
)

// Wire form of a datagram, big-endian: member.ProbeByte, the kind (1 byte), the hash of the fleet's label (8), the nonce (8) and
// the dwell time (4).
const (
	probeRequest, probeReply = 1, 2
	datagramBytes            = 1 + 1 + 8 + 8 + 4
)

// datagram is a probe that measures a round trip, or the reply to a probe.
type datagram struct {
	kind  byte   // probeRequest or probeReply
	label uint64 // hash of the fleet's label
	nonce uint64 // random; the reply to a probe repeats the nonce of the probe, so that only a process that saw the probe can reply
	dwell uint32 // in a reply: time between reading the request and replying, in us
}

var errMalformed = errors.New("malformed probe datagram")

// encode returns the wire form with the given first byte.
func (d datagram) encode(first byte) []byte {
	b := make([]byte, 0, datagramBytes)
	b = append(b, first, d.kind)
	b = binary.BigEndian.AppendUint64(b, d.label)
	b = binary.BigEndian.AppendUint64(b, d.nonce)
	return binary.BigEndian.AppendUint32(b, d.dwell)
}

// decodeDatagram decodes a datagram without checking its first byte.
func decodeDatagram(b []byte) (datagram, error) {
	if len(b) < datagramBytes { // a later program version may send longer datagrams
		return datagram{}, errMalformed
	}
	d := datagram{kind: b[1], label: binary.BigEndian.Uint64(b[2:]), nonce: binary.BigEndian.Uint64(b[10:]),
		dwell: binary.BigEndian.Uint32(b[18:])}
	if d.kind != probeRequest && d.kind != probeReply {
		return datagram{}, errMalformed
	}
	return d, nil
}
