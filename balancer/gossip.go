package balancer

// Gossip: what agents tell each other, and which peers an agent sends to.

const gossipFanout = 8 // peers per gossip round: all peers at a small site, a random sample at a large one

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

// recordObservation keeps an observation for peers. Departure: an agent with a sparse quota meets each backend too
// seldom to learn its speed or its death by itself. Where agents may exchange messages it passes on what it saw and
// what it was told for a few objectives, with one message to one peer for every few outcomes.
func (b *Balancer) recordObservation(n observation) {
	if backend := b.byGossipKey[n.key]; backend != nil {
		backend.observedAt = n.observedAt
	}
	b.observations.add(n)
}

// countOutcome sends the recent observations to a random peer when enough outcomes have come since.
func (b *Balancer) countOutcome() {
	if due := b.observations.countOutcome(); due && b.gossipsObservations() {
		b.sendGossip(b.observations.recent, 1+b.rng.IntN(b.settings.Balancers-1))
	}
}

// sendGossip sends a message with the given observations to the peer whose number is this agent's plus step.
func (b *Balancer) sendGossip(observations []observation, step int) {
	message := gossipMessage{demand: b.demand.steady(b.now), latencyRatio: b.limiter.latencyRatio,
		observations: observations, lostZones: b.zones.recentlyLost(b.now, b.maxObjective)}
	if b.drainedDemand > 0 {
		message.demand, message.drained = b.drainedDemand, true
	}
	data := message.encode(b.now, b.maxObjective)
	b.actions = append(b.actions, SendGossip{To: (b.settings.Self + step) % b.settings.Balancers, Data: data})
}
