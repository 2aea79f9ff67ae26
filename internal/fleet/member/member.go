// Package member knows who is in the fleet: a driver over hashicorp/memberlist (SWIM with Lifeguard), which has
// suspicion, refutation and incarnations right.
package member

import (
	"net/netip"
	"time"
)

// Phase is how far a process has come.
type Phase uint8

const (
	Starting Phase = iota // it has no list from discovery yet
	Serving
)

// Meta is what a member says of itself with its name.
type Meta struct {
	Site        string `cbor:"1,keyasint"` // its zone
	Phase       Phase  `cbor:"2,keyasint"`
	Version     string `cbor:"3,keyasint"`           // of the program
	Incarnation uint64 `cbor:"4,keyasint"`           // which process of the name it is
	Hub         bool   `cbor:"5,keyasint,omitempty"` // it serves agents, and is none itself: no part of the limit is its own
}

// Member is one of the fleet, as known here.
type Member struct {
	Name string
	Addr netip.AddrPort
	Meta
	JoinedAt time.Time // known here since then, by the monotonic clock
}
