package simagent

// Counting of the bytes that pass a simulated agent's sockets, by what they are about.

import (
	"encoding/binary"
	"sync/atomic"
)

// TrafficKind is what bytes between agents are about.
type TrafficKind int

const (
	Membership TrafficKind = iota // the membership, its packets and its streams
	Gossip
	Latencies // round trips; the rows that tell of them are facts
	Lists
	Policies
	HubStream // states and facts, between an agent and its hub
	SettingsDocuments
	numTrafficKinds
)

// Parts are all of them.
var TrafficKinds = []TrafficKind{Membership, Gossip, Latencies, Lists, Policies, HubStream, SettingsDocuments}

func (p TrafficKind) String() string {
	return [...]string{"members", "facts", "distances", "list", "policy", "hub stream", "settings"}[p]
}

// Count is bytes of payload, and messages: datagrams, and writes or reads of a stream.
type Count struct{ Bytes, Messages int64 }

// Traffic is what has passed an agent's sockets, by part.
type Traffic struct {
	In, Out        [numTrafficKinds]Count
	FromRealAgents Count // of the datagrams that came, those of agents that are not hollow
}

type counter struct{ bytes, messages atomic.Int64 }

func (c *counter) add(n int) {
	c.bytes.Add(int64(n))
	c.messages.Add(1)
}

func (c *counter) snapshot() Count { return Count{c.bytes.Load(), c.messages.Load()} }

// First bytes of memberlist's packets.
const (
	compoundMsg, userMsg, hasCRCMsg, hasLabelMsg = 7, 8, 12, 244
)

// gossipBytes is how many bytes of a membership's packet are facts: its users' messages, alone or among others.
func gossipBytes(packet []byte) int {
	if len(packet) > 2 && packet[0] == hasLabelMsg {
		packet = packet[min(len(packet), 2+int(packet[1])):]
	}
	if len(packet) > 5 && packet[0] == hasCRCMsg {
		packet = packet[5:]
	}
	switch {
	case len(packet) > 0 && packet[0] == userMsg:
		return len(packet)
	case len(packet) < 2 || packet[0] != compoundMsg:
		return 0
	}
	n := int(packet[1])
	if len(packet) < 2+2*n {
		return 0
	}
	sizes, rest, gossip := packet[2:2+2*n], packet[2+2*n:], 0
	for i := range n {
		size := int(binary.BigEndian.Uint16(sizes[2*i:]))
		if size == 0 || size > len(rest) {
			return gossip
		}
		if rest[0] == userMsg {
			gossip += size
		}
		rest = rest[size:]
	}
	return gossip
}
