package balancer

// Gossip: the messages that agents exchange, and the peers that an agent sends to.

const gossipFanout = 8 // most peers per gossip round: all of them at a small site, a random sample at a large one

// onGossip applies a peer's message: the demand of its clients, its latency ratio, its loss reports and its
// observations. Departure: with even quotas a busy agent would refuse requests while idle agents don't use their quota.
// Quotas by demand have an effect only where agents may exchange messages and their traffic differs.
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
		b.limiter.recordPeerLatency(message.latencyRatio)
		for _, entry := range message.observations {
			b.applyObservation(entry)
		}
	}
}

// gossip recomputes this agent's quota, sends its demand to peers, and sets the timer of the next gossip round. Agents
// that gossip observations send their demand in the same messages instead. The number of messages to all peers would
// grow with the square of the number of agents. With more peers than gossipFanout, gossip therefore sends to a random
// sample, and the quota treats the peers that have reported recently as representative of all peers.
func (b *Balancer) gossip() {
	b.gossipTimer = b.setTimer(b.maxObjective)
	if !b.gossipsObservations() {
		b.gossipToSample()
	}
	b.recomputeQuota()
}

// gossipToSample sends a message without observations to a random sample of at most gossipFanout peers.
func (b *Balancer) gossipToSample() {
	offset, others := b.rng.IntN(b.settings.Balancers), b.settings.Balancers-1
	for i := 1; i <= min(gossipFanout, others); i++ {
		b.sendGossip(nil, 1+(offset+i)%others)
	}
}

// recordObservation adds an observation to the log that is sent to peers. Departure: an agent with a sparse quota sends
// too few attempts to each backend to measure its speed or to detect that its process has died. Where agents may
// exchange messages, each agent therefore forwards its own and received observations for up to eight longest
// objectives. It sends one message to one peer after every outcomesPerGossip of its own outcomes.
func (b *Balancer) recordObservation(entry observation) {
	if backend := b.byGossipKey[entry.key]; backend != nil {
		backend.observedAt = entry.observedAt
	}
	b.observations.add(entry)
}

// countOutcome counts an outcome, and sends the recent observations to a random peer after every outcomesPerGossip.
func (b *Balancer) countOutcome() {
	if due := b.observations.countOutcome(); due && b.gossipsObservations() {
		b.sendGossip(b.observations.recent, 1+b.rng.IntN(b.settings.Balancers-1))
	}
}

// sendGossip sends a message with the given observations to the peer whose number is this agent's plus step, modulo the
// number of agents.
func (b *Balancer) sendGossip(observations []observation, step int) {
	message := gossipMessage{demand: b.demand.steady(b.now), latencyRatio: b.limiter.latencyRatio,
		observations: observations, lostZones: b.zones.recentlyLost(b.now, b.maxObjective)}
	if b.drainedDemand > 0 {
		message.demand, message.drained = b.drainedDemand, true
	}
	data := message.encode(b.now, b.maxObjective)
	b.actions = append(b.actions, SendGossip{To: (b.settings.Self + step) % b.settings.Balancers, Data: data})
}
