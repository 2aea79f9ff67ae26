package brookferry

// What agents tell each other, and whom.

import (
	"time"
)

const (
	tellFan    = 8   // peers told each time: all at a small site, as many at random at a large one
	tellMissed = 4.0 // a peer that misses so many tells has stopped; one never heard counts as a mean one
	passEvery  = 2   // outcomes for each message with notes: half the price of one a request
	notesKept  = 96  // about two messages' worth
)

// onPeer takes what another agent tells: the work that its clients ask for, the delay it
// sees, and notes. Departure: by head count a busy agent would refuse at a limit that quiet
// ones do not use. Acts where agents may exchange messages and their traffic differs.
func (b *Balancer) onPeer(e PeerMessage) {
	m, ok := decode(e.Data, b.now, b.period)
	if !ok || e.From < 0 || e.From >= len(b.peers) || e.From == b.s.Self {
		return
	}
	b.hear(&b.peers[e.From], m)
	if b.notesOn() {
		b.delay = blend(b.delay, min(m.delay, 1)) // what a quiet agent sees itself comes too late
		for _, n := range m.notes {
			b.read(n)
		}
	}
}

// tell tells peers this agent's demand, and reckons its share anew. Where there are more peers
// than tellFan, a sample of them is told, and those heard lately stand for the rest: telling
// all costs messages with the square of the number of agents.
func (b *Balancer) tell() {
	b.tellToken = b.alarm(b.period)
	from, others := b.rng.IntN(b.s.Balancers), b.s.Balancers-1
	for i := 1; i <= min(tellFan, others) && !b.notesOn(); i++ {
		b.message(nil, 1+(from+i)%others)
	}
	b.reckon()
}

// hear takes a peer's demand. One whose clients are sent elsewhere hands its demand to the others, to
// each an even part, and takes it back when they return; what really comes soon counts for more.
func (b *Balancer) hear(p *peer, m tidings) {
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
