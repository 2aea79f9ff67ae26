package balancer

// Peers and quota: the demand that other agents report, and this agent's share of the fleet's concurrency limit.

import "time"

const (
	peerExpiry = 4.0  // gossip rounds without a message after which a peer counts as stopped
	evenShare  = 0.25 // part of the limit that is shared evenly; the rest is shared by demand
)

// peer holds the latest report of another agent.
type peer struct {
	demand        float64
	drainedDemand float64       // demand that moved to other agents when operators drained the peer; 0: not drained
	validUntil    time.Duration // when its latest message expires; 0: no message received, its demand counts as average
}

// active reports whether the peer has sent a message recently and is not drained.
func (p *peer) active(now time.Duration) bool { return now < p.validUntil && p.drainedDemand == 0 }

// peerTable holds the reports of all agents, by agent number.
type peerTable struct {
	peers    []peer
	self     int
	validity time.Duration // how long a report counts
}

// newPeerTable returns the table of agent number self in a fleet that exchanges messages at the given interval.
func newPeerTable(agents, self int, interval time.Duration) peerTable {
	return peerTable{peers: make([]peer, agents), self: self, validity: time.Duration(peerExpiry * float64(interval))}
}

// has reports whether an agent number is that of a peer.
func (t *peerTable) has(from int) bool { return from >= 0 && from < len(t.peers) && from != t.self }

// receive applies a peer's report. When operators drain a peer, receive distributes its demand evenly over the other
// active agents, and subtracts it again when the clients return; measured traffic soon outweighs this estimate. receive
// returns the change of this agent's own demand, and whether the demand changed.
func (t *peerTable) receive(from int, demand float64, drained bool, now time.Duration) (share float64, changed bool) {
	sender := &t.peers[from]
	sender.validUntil = now + t.validity
	moved := 0.0
	switch {
	case drained && sender.drainedDemand == 0:
		moved = max(demand, 1)
		sender.demand, sender.drainedDemand = 0, moved
	case !drained:
		moved = -sender.drainedDemand
		sender.demand, sender.drainedDemand = demand, 0
	}
	if moved == 0 {
		return 0, false
	}
	others := []*peer{}
	for i := range t.peers {
		if p := &t.peers[i]; p != sender && i != t.self && p.active(now) {
			others = append(others, p)
		}
	}
	share = moved / float64(len(others)+1)
	for _, p := range others {
		p.demand = max(0, p.demand+share)
	}
	return share, true
}

// quota returns this agent's share of the concurrency limit: one part is shared evenly, the rest in proportion to this
// agent's demand among all active agents. assigned is the even share that the fleet assigned; 0: none.
func (t *peerTable) quota(own, assigned float64, now time.Duration) float64 {
	sampled := len(t.peers)-1 > gossipFanout
	total, activeAgents, agents := own, 1.0, float64(len(t.peers))
	for i := range t.peers {
		if p := &t.peers[i]; p.active(now) {
			total += p.demand
			activeAgents++
		} else if p.validUntil > 0 && !sampled {
			agents-- // stopped or drained: its clients use other agents
		}
	}
	if assigned > 0 { // the assigned share is even, so its inverse is the size of the fleet
		agents = 1 / assigned
	}
	if total > 0 {
		return (evenShare + (1-evenShare)*own/total*activeAgents) / agents
	}
	return 1 / agents
}

// snapshot returns the peers' demand by agent number, −1 for an agent without a valid report.
func (t *peerTable) snapshot(now time.Duration) (demands []float64) {
	for i := range t.peers {
		demand := -1.0
		if now < t.peers[i].validUntil {
			demand = t.peers[i].demand
		}
		demands = append(demands, demand)
	}
	return demands
}

// restore continues from the snapshot of an earlier process, which must have the table's length.
func (t *peerTable) restore(demands []float64, now time.Duration) {
	for i, demand := range demands {
		if demand >= 0 && i != t.self {
			t.peers[i] = peer{demand: demand, validUntil: now + t.validity}
		}
	}
}
