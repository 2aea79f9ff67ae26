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

// Endpoint is one end of a link. The client and discovery of agent 3 have its number.
type Endpoint struct {
	Role   Role
	Number int
}

// Fault is what a rule does to each message of its direction. The zero value does nothing.
type Fault struct {
	Cut           bool          // nothing arrives; the sender is not told
	Refuse        bool          // connections are refused
	Reset         bool          // connections that stand are reset when the rule begins
	Delay         time.Duration // added to the way
	Jitter        time.Duration // up to so much more, evenly
	LossRate      float64       // share lost: over TCP sent again, over UDP gone
	DuplicateRate float64       // share of datagrams that arrive twice
	ReorderRate   float64       // share of datagrams that later ones overtake
}

// Protocol is how a message travels.
type Protocol uint8

const (
	TCP Protocol = 1 << iota
	UDP
)

// Rule puts a fault on every link from one set of parties to another.
type Rule struct {
	From, To  func(Endpoint) bool
	Protocols Protocol
	Fault
}

type direction struct {
	from, to Endpoint
	protocol Protocol
}

// Network is a network. Calls must not run at the same time.
type Network struct {
	baseLatency func(from, to Endpoint) time.Duration
	random      rng.Source
	jitter      float64 // of the ordinary way, as a share
	rules       map[int]Rule
	lastRule    int
	faultCache  map[direction]Fault // by pair, until the rules change
}

// New returns a network without faults. base is the ordinary one-way time.
func New(baseLatency func(from, to Endpoint) time.Duration, jitter float64, random rng.Source) *Network {
	return &Network{baseLatency: baseLatency, random: random, jitter: jitter, rules: map[int]Rule{}, faultCache: map[direction]Fault{}}
}

// Add lets a rule begin and returns its number.
func (n *Network) Add(r Rule) int {
	n.lastRule++
	n.rules[n.lastRule] = r
	clear(n.faultCache)
	return n.lastRule
}

// Remove ends a rule.
func (n *Network) Remove(rule int) {
	delete(n.rules, rule)
	clear(n.faultCache)
}

// Fault is what all rules together do to one direction: the worst of each.
func (n *Network) Fault(from, to Endpoint, protocol Protocol) Fault {
	key := direction{from, to, protocol}
	fault, ok := n.faultCache[key]
	if ok {
		return fault
	}
	for _, rule := range n.rules {
		if rule.Protocols&protocol == 0 || !rule.From(from) || !rule.To(to) {
			continue
		}
		fault.Cut, fault.Refuse, fault.Reset = fault.Cut || rule.Cut, fault.Refuse || rule.Refuse, fault.Reset || rule.Reset
		fault.Delay, fault.Jitter = max(fault.Delay, rule.Delay), max(fault.Jitter, rule.Jitter)
		fault.LossRate, fault.DuplicateRate, fault.ReorderRate = max(fault.LossRate, rule.LossRate), max(fault.DuplicateRate, rule.DuplicateRate), max(fault.ReorderRate, rule.ReorderRate)
	}
	n.faultCache[key] = fault
	return fault
}

// Unreachable reports whether no connection can come up between two parties: one word in either direction
// that does not arrive is enough.
func (n *Network) Unreachable(from, to Endpoint) bool {
	return n.Fault(from, to, TCP).Cut || n.Fault(to, from, TCP).Cut
}

// Refused reports whether connections are refused.
func (n *Network) Refused(from, to Endpoint) bool { return n.Fault(from, to, TCP).Refuse }

const (
	retransmitTimeout = 200 * time.Millisecond // the least time after which TCP sends a lost segment again
	maxRetransmits    = 5                      // it doubles so often
	maxReorderDelay   = 20 * time.Millisecond  // a reordered datagram is late by up to this
)

// Arrivals is what happens to one message: the times after which its copies arrive. None: it is lost.
// A message of a cut direction is lost here; who holds it back for later asks Fault first.
func (n *Network) Arrivals(from, to Endpoint, protocol Protocol, message string) []time.Duration {
	fault := n.Fault(from, to, protocol)
	if fault.Cut {
		return nil
	}
	latency := n.baseLatency(from, to)
	if fault == (Fault{}) && n.jitter == 0 {
		return []time.Duration{latency}
	}
	draw := n.random.Stream("way/" + from.Role.String() + "/" + message)
	latency += time.Duration(n.jitter*draw.Float64()*float64(latency)) + fault.Delay + time.Duration(draw.Float64()*float64(fault.Jitter))
	if protocol == TCP {
		for i := 0; i < maxRetransmits && draw.Float64() < fault.LossRate; i++ {
			latency += retransmitTimeout << i
		}
		return []time.Duration{latency}
	}
	lost, duplicated, reordered := draw.Float64() < fault.LossRate, draw.Float64() < fault.DuplicateRate, draw.Float64() < fault.ReorderRate
	shift, duplicateShift := draw.Float64(), draw.Float64()
	switch {
	case lost:
		return nil
	case reordered:
		latency += time.Duration(shift * float64(maxReorderDelay))
	}
	if duplicated {
		return []time.Duration{latency, latency + time.Duration(duplicateShift*float64(maxReorderDelay))}
	}
	return []time.Duration{latency}
}
