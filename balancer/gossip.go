package balancer

// Gossip: what agents tell each other, and which peers an agent sends to.

const (
	gossipFanout      = 8  // peers per gossip round: all peers at a small site, a random sample at a large one
	outcomesPerGossip = 2  // outcomes per message with observations: half the cost of one per request
	maxObservations   = 96 // about two messages' worth
)

// onGossip applies a peer's message: the demand of its clients, the latency that it sees, and its observations.
// Departure: with even quotas a busy agent would refuse at a limit that quiet agents don't use. This has an effect
// only where agents may exchange messages and their traffic differs.
func (b *Balancer) onGossip(event GossipReceived) {
	message, ok := decode(event.Data, b.now, b.maxObjective)
	if !ok || !b.peers.has(event.From) {
		return
	}
	if share, changed := b.peers.receive(event.From, message.demand, message.drained, b.now); changed {
		b.demand.shift(b.now, share)
		b.recomputeQuota()
	}
	b.onLossReport(event.From, message.lostZones)
	if b.gossipsObservations() {
		b.limiter.learnFromPeer(message.latencyRatio)
		for _, entry := range message.observations {
			b.applyObservation(entry)
		}
	}
}

// gossip tells peers this agent's demand, and recomputes its quota. With more peers than gossipFanout it tells a
// sample of them, and those heard from recently stand for the rest: messages to all would grow with the square of the
// number of agents.
func (b *Balancer) gossip() {
	b.gossipTimer = b.setTimer(b.maxObjective)
	if !b.gossipsObservations() {
		b.gossipToSample()
	}
	b.recomputeQuota()
}

// gossipToSample sends a message to a random sample of the peers.
func (b *Balancer) gossipToSample() {
	from, others := b.rng.IntN(b.settings.Balancers), b.settings.Balancers-1
	for i := 1; i <= min(gossipFanout, others); i++ {
		b.sendGossip(nil, 1+(from+i)%others)
	}
}
