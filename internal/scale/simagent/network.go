package simagent

// The network between simulated agents, with the faults that hold for all of them.

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Network is what lies between agents. Its faults hold for all of them.
type Network struct {
	zones  sync.Map // by address; the list service has none
	faults atomic.Pointer[faults]
}

type faults struct {
	isolated map[string]bool // zones that reach nobody outside, and whom nobody reaches
	lossRate float64
}

// resend is how much later a stream's write arrives that was lost once.
const retransmitDelay = 200 * time.Millisecond

// NewNetwork is a network without faults.
func NewNetwork() *Network { return &Network{} }

// SetZone says in which zone an address is.
func (n *Network) SetZone(addr, zone string) {
	if addrPort, err := netip.ParseAddrPort(addr); err == nil {
		n.zones.Store(addrPort, zone)
	}
}

// Isolate cuts zones off from all others and from the list service. None: every cut is healed.
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

// SetLoss has a share of all datagrams lost, and as many of the streams' writes come late.
func (n *Network) SetLoss(share float64) {
	next := &faults{lossRate: share}
	if current := n.faults.Load(); current != nil {
		next.isolated = current.isolated
	}
	n.faults.Store(next)
}

func (n *Network) zoneOf(at netip.AddrPort) string {
	zone, _ := n.zones.Load(at)
	name, _ := zone.(string)
	return name
}

func (n *Network) partitioned(a, b string) bool {
	f := n.faults.Load()
	return f != nil && a != b && (f.isolated[a] || f.isolated[b])
}

func (n *Network) drops() bool {
	f := n.faults.Load()
	return f != nil && f.lossRate > 0 && rand.Float64() < f.lossRate
}
