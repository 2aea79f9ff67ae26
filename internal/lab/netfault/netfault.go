// Package netfault models the faults of an emulated network: latency, loss, partitions and refused connections between
// endpoints. Rules for these faults are added and removed while a scenario runs.
//
// The package has no clock and no sockets. Each message has its own random stream, so an additional message does not change
// the draws of others. A rule acts on one direction: a fault from A to B has no effect from B to A.
package netfault

import (
	"time"

	"martenbeam/internal/lab/rng"
)

// Role is the kind of an endpoint.
type Role uint8

// The roles of an emulated fleet.
const (
	Client Role = iota
	Agent
	Backend
	Discovery
	Member // an agent, at its fleet address
	Hub
)

// String returns the role's name in lower case. The names of random streams contain it.
func (r Role) String() string {
	return [...]string{"client", "agent", "backend", "discovery", "member", "hub"}[r]
}

// Endpoint is one end of a link. The client and the discovery service of an agent have the agent's number.
type Endpoint struct {
	Role   Role
	Number int
}

// Fault is the effect of a rule on each message in its direction. The zero value is a healthy network. Rates are shares from
// 0 to 1.
type Fault struct {
	Cut           bool          // no message arrives, and the sender gets no error
	Refuse        bool          // connections are refused
	Reset         bool          // established connections are reset when the rule is added
	Delay         time.Duration // added to the latency
	Jitter        time.Duration // upper bound of an additional, evenly distributed delay
	LossRate      float64       // of TCP segments, which are retransmitted, and of datagrams, which are not
	DuplicateRate float64       // of datagrams
	ReorderRate   float64       // of datagrams that get an additional delay of up to maxReorderDelay
}

// Protocol is a set of transport protocols.
type Protocol uint8

// The transport protocols.
const (
	TCP Protocol = 1 << iota
	UDP
)

// Rule applies a fault to every link from one set of endpoints to another.
type Rule struct {
	From, To  func(Endpoint) bool
	Protocols Protocol
	Fault
}

type direction struct {
	from, to Endpoint
	protocol Protocol
}

// Network holds the rules in force. It is not safe for concurrent use.
type Network struct {
	baseLatency func(from, to Endpoint) time.Duration
	random      rng.Source
	jitter      float64 // share of the base latency
	rules       map[int]Rule
	lastRule    int
	faultCache  map[direction]Fault // cleared when the rules change
}

// New returns a network without faults. baseLatency returns the one-way latency of a healthy link. Each message gets an
// additional random latency of up to the share jitter of the base latency.
func New(baseLatency func(from, to Endpoint) time.Duration, jitter float64, random rng.Source) *Network {
	return &Network{baseLatency: baseLatency, random: random, jitter: jitter, rules: map[int]Rule{}, faultCache: map[direction]Fault{}}
}

// Add puts a rule in force and returns its number for Remove.
func (n *Network) Add(r Rule) int {
	n.lastRule++
	n.rules[n.lastRule] = r
	clear(n.faultCache)
	return n.lastRule
}

// Remove removes the rule with the number that Add returned.
func (n *Network) Remove(rule int) {
	delete(n.rules, rule)
	clear(n.faultCache)
}

// Fault returns the combined fault of all rules for one direction, with the highest value of each property.
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

// Unreachable reports whether a cut prevents TCP connections between two endpoints. A handshake needs both directions, so a
// cut in either direction prevents the connection.
func (n *Network) Unreachable(from, to Endpoint) bool {
	return n.Fault(from, to, TCP).Cut || n.Fault(to, from, TCP).Cut
}

// Refused reports whether TCP connections from one endpoint to another are refused with an error.
func (n *Network) Refused(from, to Endpoint) bool { return n.Fault(from, to, TCP).Refuse }

const (
	retransmitTimeout = 200 * time.Millisecond // before the first retransmission of a TCP segment; doubled for each further one
	maxRetransmits    = 5                      // per TCP segment; the segment then arrives
	maxReorderDelay   = 20 * time.Millisecond  // upper bound of the additional delay of a reordered or duplicate datagram
)

// Arrivals returns the delays after which the copies of one message arrive: one delay, two if the message is duplicated, none
// if it is lost. message names the random stream of the message. A message in a cut direction is lost; a caller that delays
// messages until the cut ends checks Fault first.
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
