// Package member maintains the list of the fleet's members with hashicorp/memberlist (SWIM with Lifeguard), which does the
// probing, suspicion and refutation. On the same address it carries gossip, latency probes and HTTP calls between members.
//
// Each process owns one List. Its Run joins the fleet and waits for the transport's goroutines before it returns.
// Memberlist also runs goroutines while Run runs. One lock protects the list of members, of which View returns immutable
// snapshots. The list has no age bound: memberlist removes a member that does not respond within some seconds. A removed
// member may still run behind a network partition; only ConfirmDead establishes that a process has ended.
package member

// This file defines a member and the metadata that it publishes.

import (
	"net/netip"
	"time"
)

// Phase states whether a process has an endpoint list and so serves requests.
type Phase uint8

const (
	// Starting is the phase of a process that has no endpoint list yet.
	Starting Phase = iota
	// Serving is the phase of a process that has an endpoint list.
	Serving
)

// Meta is what a member publishes about itself. Its CBOR form is part of the wire form.
type Meta struct {
	Site        string `cbor:"1,keyasint"` // its zone
	Phase       Phase  `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`           // of the program
	Incarnation uint64 `cbor:"4,keyasint"`           // of the process: a later process of the same name has a higher one
	Hub         bool   `cbor:"5,keyasint,omitempty"` // the process serves agents and is not itself an agent, so it has no quota
}

// Member is a member of the fleet, as recorded by this process.
type Member struct {
	Name string
	Addr netip.AddrPort // UDP and TCP
	Meta
	JoinedAt time.Time // when this process added it to the list, with the monotonic clock; zero for itself before Run
}
