package balancer

// What clients ask for, here and at peers. Nothing is decided here.

import (
	"math"
	"time"
)

type peer struct {
	demand        float64
	drainedDemand float64       // what its clients asked for when operators sent them elsewhere; 0: they are there
	validUntil    time.Duration // what it told holds until then
}

// steadyDemand is the decayed work that clients asked for, as it will stand once the agent has run for
// long: one that was restarted would reckon itself quiet beside peers that were not.
func (b *Balancer) steadyDemand() float64 {
	age := max(float64(b.now-b.startedAt), float64(b.maxObjective)/4)
	return b.demand.value(b.now) / (1 - math.Exp(-age/b.demand.timeConstant))
}

// onPeerDemand takes a peer's demand. One whose clients are sent elsewhere hands its demand to the others, to
// each an even part, and takes it back when they return; what really comes soon counts for more.
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
