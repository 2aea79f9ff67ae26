package gossip

// This file defines an entry: its kind, how old it may be, and the cached decoding of its body.

import (
	"cmp"
	"strconv"
	"sync"
	"time"
)

// Kind is the subject matter of an entry. Its number is part of the wire form.
type Kind uint8

// The kinds of entries, each with who publishes it.
const (
	ListServiceLoad  Kind = 1 + iota // load of the list service, as observed by a process that called the service (package startup)
	LatencyRow                       // round trips from one site to the others, by an observer of that site (package latency)
	ResidencyVersion                 // the version of the residency policy in force at a process where operators set the policy
	DeadProcesses                    // names of processes whose machine refuses connections: confirmed dead
	SettingsVersion                  // the version of the agents' settings in force at a hub
	FleetSize                        // numbers of attached, starting and dead agents, of one hub or of the complete fleet
)

// kindNames are the names in the settings key fleet.max_age, in traces and in log lines.
var kindNames = map[Kind]string{
	ListServiceLoad:  "service",
	LatencyRow:       "distance",
	ResidencyVersion: "residency",
	DeadProcesses:    "gone",
	SettingsVersion:  "settings",
	FleetSize:        "census",
}

// String returns the kind's name in settings, traces and logs.
func (k Kind) String() string {
	return cmp.Or(kindNames[k], "kind "+strconv.Itoa(int(k)))
}

// AgeBounds maps each kind to the greatest age at which an entry may still be used. Entries of a kind that is not in the
// map are never used.
type AgeBounds map[Kind]time.Duration

// DefaultAgeBounds are the bounds where the configuration sets none. If an entry is published every
// second, two updates in a row may be lost before the last received one reaches its bound. The map must not be changed.
var DefaultAgeBounds = AgeBounds{
	// A service that rejected calls is called again after at most this time. With a longer bound old entries would delay
	// every agent.
	ListServiceLoad: 5 * time.Second,
	// Rows are published every second. A change of latency must be visible to others within 3 s.
	LatencyRow: 3 * time.Second,
	// Limits how long a version may take to spread. The residency policy has its own, separate bound.
	ResidencyVersion: 10 * time.Second,
	// Published every second while the processes are dead. A restarted process gets its quota back at most this much later.
	DeadProcesses: 3 * time.Second,
	// Published every second. Versions only rise: an old entry cannot lower the version at another process.
	SettingsVersion: 10 * time.Second,
	// Published every second. The entry contains the number of dead agents and therefore has the bound of DeadProcesses.
	FleetSize: 3 * time.Second,
}

// Entry is one observation by one process. Entries with the same kind, subject and observer replace each other: a higher
// incarnation wins, then a higher sequence number.
type Entry struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Subject     string        `cbor:"2,keyasint"` // what was observed; its meaning depends on the kind
	Observer    string        `cbor:"3,keyasint"` // name of the process that published it
	Incarnation uint64        `cbor:"4,keyasint"` // of the observer's process
	Seq         uint64        `cbor:"5,keyasint"` // rises with each entry that the observer publishes on the subject
	Age         time.Duration `cbor:"6,keyasint"` // in a message: when the message was written; from Store.Entries: now; inside a store: at storedAt
	Body        []byte        `cbor:"7,keyasint"` // CBOR whose form depends on the kind; at most MaxBodyBytes

	decoded *decodedBody // nil unless a store holds the entry
}

// decodedBody caches the result of decoding a body. Entries with equal bodies share it.
type decodedBody struct {
	once  sync.Once
	value any // of the type parameter of the first DecodeBody
	err   error
}

// DecodeBody returns the decoded body of an entry, and the error of decode. Where a store holds the entry, decode runs
// once for all entries with this body. All callers for one kind must therefore pass the same decode, and must not change
// the returned value. DecodeBody may be called from any goroutine.
func DecodeBody[T any](e Entry, decode func(body []byte) (T, error)) (T, error) {
	if e.decoded == nil {
		return decode(e.Body)
	}
	e.decoded.once.Do(func() { e.decoded.value, e.decoded.err = decode(e.Body) })
	v, _ := e.decoded.value.(T)
	return v, e.decoded.err
}
