package simagent

// The network between simulated agents, and its faults.

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Network is the network between simulated agents, and injects faults into it. Its methods may be called from any
// goroutine. A fault also applies to connections that are already open.
type Network struct {
	zones  sync.Map // zone name by netip.AddrPort; the list service and real agents have no zone
	faults atomic.Pointer[faults]
}

// faults is immutable: each change stores a new one.
type faults struct {
	isolated map[string]bool // zones that cannot exchange data with any other
	lossRate float64         // share of datagrams that are dropped and of stream writes that are delayed, 0 to 1
}

// retransmitDelay is the delay of a lost write to a stream. It stands for one retransmission by TCP.
const retransmitDelay = 200 * time.Millisecond

// NewNetwork returns a network without faults.
func NewNetwork() *Network { return &Network{} }

// SetZone sets the zone of an agent's or hub's address, host:port. An address that doesn't parse is ignored.
func (n *Network) SetZone(addr, zone string) {
	if addrPort, err := netip.ParseAddrPort(addr); err == nil {
		n.zones.Store(addrPort, zone)
	}
}

// Isolate partitions each of these zones from all others and from the list service, and ends the isolation of every other
// zone. Without arguments it ends all isolation.
func (n *Network) Isolate(zones ...string) {
	next := &faults{isolated: map[string]bool{}}
	if current := n.faults.Load(); current != nil {
		next.lossRate = current.lossRate
	}
	for _, zone := range zones {
		next.isolated[zone] = true
	}
	n.faults.Store(next)
}

// SetLoss sets the share of datagrams that the network drops, from 0 to 1. It delays the same share of writes to streams
// by retransmitDelay.
func (n *Network) SetLoss(rate float64) {
	next := &faults{lossRate: rate}
	if current := n.faults.Load(); current != nil {
		next.isolated = current.isolated
	}
	n.faults.Store(next)
}

// zoneOf returns the zone of an address; "" if the address has no zone.
func (n *Network) zoneOf(addr netip.AddrPort) string {
	zone, _ := n.zones.Load(addr)
	name, _ := zone.(string)
	return name
}

// partitioned reports whether a partition separates two zones.
func (n *Network) partitioned(a, b string) bool {
	f := n.faults.Load()
	return f != nil && a != b && (f.isolated[a] || f.isolated[b])
}

// drops reports whether the network drops a datagram, or delays a write to a stream. It returns true at random, with the
// current loss rate as the probability.
func (n *Network) drops() bool {
	f := n.faults.Load()
	return f != nil && f.lossRate > 0 && rand.Float64() < f.lossRate
}
