package balancer

// What clients ask for, here and at peers. Nothing is decided here.

import (
	"math"
	"time"
)

type peer struct {
	demand float64
	moved  float64       // what its clients asked for when operators sent them elsewhere; 0: they are there
	until  time.Duration // what it told holds until then
}

// asked is the decayed work that clients asked for, as it will stand once the agent has run for
// long: one that was restarted would reckon itself quiet beside peers that were not.
func (b *Balancer) asked() float64 {
	age := max(float64(b.now-b.born), float64(b.period)/4)
	return b.demand.sum(b.now) / (1 - math.Exp(-age/b.demand.span))
}

// onPeerDemand takes a peer's demand. One whose clients are sent elsewhere hands its demand to the others, to
// each an even part, and takes it back when they return; what really comes soon counts for more.
func (b *Balancer) onPeerDemand(p *peer, m statusMessage) {
	p.until = b.now + time.Duration(tellMissed*float64(b.period))
	moved := 0.0
	switch {
	case m.away && p.moved == 0:
		moved = max(m.demand, 1)
		p.demand, p.moved = 0, moved
	case !m.away:
		moved = -p.moved
		p.demand, p.moved = m.demand, 0
	}
	if moved == 0 {
		return
	}
	others := []*peer{}
	for i := range b.peers {
		if q := &b.peers[i]; q != p && i != b.s.Self && b.now < q.until && q.moved == 0 {
			others = append(others, q)
		}
	}
	part := moved / float64(len(others)+1)
	for _, q := range others {
		q.demand = max(0, q.demand+part)
	}
	b.demand.total = max(0, b.demand.sum(b.now)+part)
	b.reckon()
}
