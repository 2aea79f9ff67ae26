package balancer

// What agents tell each other, and whom.

const (
	gossipFanout      = 8   // peers told each time: all at a small site, as many at random at a large one
	peerExpiry        = 4.0 // a peer that misses so many tells has stopped; one never heard counts as a mean one
	outcomesPerGossip = 2   // outcomes for each message with notes: half the price of one a request
	maxObservations   = 96  // about two messages' worth
)

// onGossip takes what another agent tells: the work that its clients ask for, the delay it
// sees, and notes. Departure: by head count a busy agent would refuse at a limit that quiet
// ones do not use. Acts where agents may exchange messages and their traffic differs.
func (b *Balancer) onGossip(event GossipReceived) {
	message, ok := decode(event.Data, b.now, b.maxObjective)
	if !ok || event.From < 0 || event.From >= len(b.peers) || event.From == b.settings.Self {
		return
	}
	b.onPeerDemand(&b.peers[event.From], message)
	b.onLossReport(event.From, message.lostZones)
	if b.gossipsObservations() {
		b.latencyRatio = ewma(b.latencyRatio, min(message.latencyRatio, 1)) // what a quiet agent sees itself comes too late
		for _, entry := range message.observations {
			b.applyObservation(entry)
		}
	}
}

// gossip tells peers this agent's demand, and reckons its share anew. Where there are more peers
// than gossipFanout, a sample of them is told, and those heard lately stand for the rest: telling
// all costs messages with the square of the number of agents.
func (b *Balancer) gossip() {
	b.gossipTimer = b.setTimer(b.maxObjective)
	if !b.gossipsObservations() {
		b.gossipToSample()
	}
	b.recomputeQuota()
}

// gossipToSample tells a sample of the peers.
func (b *Balancer) gossipToSample() {
	from, others := b.rng.IntN(b.settings.Balancers), b.settings.Balancers-1
	for i := 1; i <= min(gossipFanout, others); i++ {
		b.sendGossip(nil, 1+(from+i)%others)
	}
}
