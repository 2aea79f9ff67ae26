package simagent

// Counters of the bytes on a simulated agent's sockets, by purpose.

import (
	"encoding/binary"
	"sync/atomic"
)

// TrafficKind is the purpose of bytes on an agent's sockets.
type TrafficKind int

const (
	Membership        TrafficKind = iota // memberlist's own packets and streams
	Gossip                               // gossiped entries within memberlist's packets
	Latencies                            // probes of round trips; the latency rows themselves are Gossip
	Lists                                // endpoint lists
	Policies                             // residency policies
	HubStream                            // states and gossiped entries between an agent and its hub
	SettingsDocuments                    // settings
	numTrafficKinds
)

// TrafficKinds lists all kinds, in the order of their constants.
var TrafficKinds = []TrafficKind{Membership, Gossip, Latencies, Lists, Policies, HubStream, SettingsDocuments}

// String returns the name that tables use.
func (k TrafficKind) String() string {
	return [...]string{"members", "facts", "distances", "list", "policy", "hub stream", "settings"}[k]
}

// Count counts payload bytes and messages. A message is a datagram, or one read or write on a stream.
type Count struct{ Bytes, Messages int64 }

// Traffic is the traffic of an agent's sockets, indexed by TrafficKind.
type Traffic struct {
	In, Out        [numTrafficKinds]Count
	FromRealAgents Count // received datagrams whose sender is not simulated
}

// counter is a Count that several goroutines may add to.
type counter struct{ bytes, messages atomic.Int64 }

func (c *counter) add(n int) {
	c.bytes.Add(int64(n))
	c.messages.Add(1)
}

func (c *counter) snapshot() Count { return Count{c.bytes.Load(), c.messages.Load()} }

// Message types of memberlist, which are the first byte of its packets.
const (
	compoundMsg, userMsg, hasCRCMsg, hasLabelMsg = 7, 8, 12, 244
)

// gossipBytes returns how many bytes of a memberlist packet are gossiped entries: a user message, or the user messages in a
// compound. In a truncated packet it counts only complete messages.
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
	sizes, rest, total := packet[2:2+2*n], packet[2+2*n:], 0
	for i := range n {
		size := int(binary.BigEndian.Uint16(sizes[2*i:]))
		if size == 0 || size > len(rest) {
			return total
		}
		if rest[0] == userMsg {
			total += size
		}
		rest = rest[size:]
	}
	return total
}
