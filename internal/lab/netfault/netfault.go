// Package netfault says what the network does to a message between two parties, by rules that come and go.
//
// It is pure: it is told what is sent, and draws from numbers that belong to the message. Rules act on one
// direction each: what a fault does to A's words to B says nothing of B's words to A.
package netfault

import (
	"time"

	"martenbeam/internal/lab/rng"
)

// Role is a kind of party.
type Role uint8

const (
	Client Role = iota
	Agent
	Backend
	Discovery
	Member // an agent, as others of its fleet meet it
	Hub    // of the fleet
)

func (r Role) String() string {
	return [...]string{"client", "agent", "backend", "discovery", "member", "hub"}[r]
}

// Party is one end of a link. The client and discovery of agent 3 have its number.
type Party struct {
	Role Role
	N    int
}

// Fault is what a rule does to each message of its direction. The zero value does nothing.
type Fault struct {
	Cut       bool          // nothing arrives; the sender is not told
	Refuse    bool          // connections are refused
	Reset     bool          // connections that stand are reset when the rule begins
	Delay     time.Duration // added to the way
	Jitter    time.Duration // up to so much more, evenly
	Lose      float64       // share lost: over TCP sent again, over UDP gone
	Duplicate float64       // share of datagrams that arrive twice
	Reorder   float64       // share of datagrams that later ones overtake
}

// Protocol is how a message travels.
type Protocol uint8

const (
	TCP Protocol = 1 << iota
	UDP
)

// Rule puts a fault on every link from one set of parties to another.
type Rule struct {
	From, To  func(Party) bool
	Protocols Protocol
	Fault
}

type pair struct {
	from, to Party
	p        Protocol
}

// Net is a network. Calls must not run at the same time.
type Net struct {
	base   func(from, to Party) time.Duration
	draws  rng.Source
	jitter float64 // of the ordinary way, as a share
	rules  map[int]Rule
	next   int
	known  map[pair]Fault // by pair, until the rules change
}

// New returns a network without faults. base is the ordinary one-way time.
func New(base func(from, to Party) time.Duration, jitter float64, draws rng.Source) *Net {
	return &Net{base: base, draws: draws, jitter: jitter, rules: map[int]Rule{}, known: map[pair]Fault{}}
}

// Add lets a rule begin and returns its number.
func (n *Net) Add(r Rule) int {
	n.next++
	n.rules[n.next] = r
	clear(n.known)
	return n.next
}

// Remove ends a rule.
func (n *Net) Remove(rule int) {
	delete(n.rules, rule)
	clear(n.known)
}

// Fault is what all rules together do to one direction: the worst of each.
func (n *Net) Fault(from, to Party, p Protocol) Fault {
	k := pair{from, to, p}
	f, ok := n.known[k]
	if ok {
		return f
	}
	for _, r := range n.rules {
		if r.Protocols&p == 0 || !r.From(from) || !r.To(to) {
			continue
		}
		f.Cut, f.Refuse, f.Reset = f.Cut || r.Cut, f.Refuse || r.Refuse, f.Reset || r.Reset
		f.Delay, f.Jitter = max(f.Delay, r.Delay), max(f.Jitter, r.Jitter)
		f.Lose, f.Duplicate, f.Reorder = max(f.Lose, r.Lose), max(f.Duplicate, r.Duplicate), max(f.Reorder, r.Reorder)
	}
	n.known[k] = f
	return f
}

// Shut reports whether no connection can come up between two parties: one word in either direction
// that does not arrive is enough.
func (n *Net) Shut(from, to Party) bool {
	return n.Fault(from, to, TCP).Cut || n.Fault(to, from, TCP).Cut
}

// Refused reports whether connections are refused.
func (n *Net) Refused(from, to Party) bool { return n.Fault(from, to, TCP).Refuse }

const (
	resend    = 200 * time.Millisecond // the least time after which TCP sends a lost segment again
	resends   = 5                      // it doubles so often
	overtaken = 20 * time.Millisecond  // a reordered datagram is late by up to this
)

// Way is what happens to one message: the times after which its copies arrive. None: it is lost.
// A message of a cut direction is lost here; who holds it back for later asks Fault first.
func (n *Net) Way(from, to Party, p Protocol, message string) []time.Duration {
	f := n.Fault(from, to, p)
	if f.Cut {
		return nil
	}
	d := n.base(from, to)
	if f == (Fault{}) && n.jitter == 0 {
		return []time.Duration{d}
	}
	draw := n.draws.Stream("way/" + from.Role.String() + "/" + message)
	d += time.Duration(n.jitter*draw.Float64()*float64(d)) + f.Delay + time.Duration(draw.Float64()*float64(f.Jitter))
	if p == TCP {
		for i := 0; i < resends && draw.Float64() < f.Lose; i++ {
			d += resend << i
		}
		return []time.Duration{d}
	}
	lost, twice, late := draw.Float64() < f.Lose, draw.Float64() < f.Duplicate, draw.Float64() < f.Reorder
	shift, again := draw.Float64(), draw.Float64()
	switch {
	case lost:
		return nil
	case late:
		d += time.Duration(shift * float64(overtaken))
	}
	if twice {
		return []time.Duration{d, d + time.Duration(again*float64(overtaken))}
	}
	return []time.Duration{d}
}
