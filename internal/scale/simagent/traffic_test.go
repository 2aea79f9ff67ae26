package simagent

// Tests of the traffic counters.

import (
	"bytes"
	"testing"
)

// gossipBytes counts only the gossiped entries of a memberlist packet, whether the packet has a label, a checksum, both or
// neither.
func TestGossipBytesAreCountedInEveryPacketForm(t *testing.T) {
	gossip, ping := append([]byte{userMsg}, "12345"...), []byte{0, 1, 2}
	compound := append([]byte{compoundMsg, 2, 0, byte(len(ping)), 0, byte(len(gossip))}, append(bytes.Clone(ping), gossip...)...)
	label := append([]byte{hasLabelMsg, 2}, "xy"...)
	checksum := []byte{hasCRCMsg, 1, 2, 3, 4}
	for name, c := range map[string]struct {
		packet []byte
		want   int
	}{
		"user message only":  {gossip, len(gossip)},
		"no user message":    {ping, 0},
		"compound":           {compound, len(gossip)},
		"label":              {append(bytes.Clone(label), compound...), len(gossip)},
		"label and checksum": {append(append(bytes.Clone(label), checksum...), compound...), len(gossip)},
		"truncated":          {compound[:len(compound)-1], 0},
		"too short":          {[]byte{compoundMsg, 9, 0}, 0},
		"label too long":     {[]byte{hasLabelMsg, 200, 1}, 0},
	} {
		if got := gossipBytes(c.packet); got != c.want {
			t.Errorf("%s: got %d bytes, want %d", name, got, c.want)
		}
	}
}
