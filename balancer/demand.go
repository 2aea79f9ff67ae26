package balancer

// The demand of clients, here and at peers. Nothing is decided here.

import (
	"math"
	"time"
)

type peer struct {
	demand        float64
	drainedDemand float64       // demand of its clients that operators have moved elsewhere; 0: not drained
	validUntil    time.Duration // its last message holds until then
}

// steadyDemand is the decayed work that clients ask for, extrapolated to an agent that has run for long. Without that
// a restarted agent would take itself for a quiet one beside its peers.
func (b *Balancer) steadyDemand() float64 {
	age := max(float64(b.now-b.startedAt), float64(b.maxObjective)/4)
	return b.demand.value(b.now) / (1 - math.Exp(-age/b.demand.timeConstant))
}

// onPeerDemand applies a peer's demand. A drained peer's demand is distributed evenly over the other agents, and taken
// back when its clients return; the traffic that really arrives soon outweighs the estimate.
func (b *Balancer) onPeerDemand(sender *peer, message gossipMessage) {
	sender.validUntil = b.now + time.Duration(peerExpiry*float64(b.maxObjective))
	moved := 0.0
	switch {
	case message.drained && sender.drainedDemand == 0:
		moved = max(message.demand, 1)
		sender.demand, sender.drainedDemand = 0, moved
	case !message.drained:
		moved = -sender.drainedDemand
		sender.demand, sender.drainedDemand = message.demand, 0
	}
	if moved == 0 {
		return
	}
	others := []*peer{}
	for i := range b.peers {
		if peer := &b.peers[i]; peer != sender && i != b.settings.Self && b.now < peer.validUntil && peer.drainedDemand == 0 {
			others = append(others, peer)
		}
	}
	share := moved / float64(len(others)+1)
	for _, peer := range others {
		peer.demand = max(0, peer.demand+share)
	}
	b.demand.total = max(0, b.demand.value(b.now)+share)
	b.recomputeQuota()
}
