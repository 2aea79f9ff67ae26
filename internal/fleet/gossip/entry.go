package gossip

import (
	"cmp"
	"strconv"
	"sync"
	"time"
)

// Kind is what a fact is about.
type Kind uint8

const (
	ListServiceLoad  Kind = 1 + iota // the load of the list service, as one who called it saw it
	LatencyRow                       // round trips from a site to the others
	ResidencyVersion                 // the version of the residency policy that its source holds
	DeadProcesses                    // processes whose machine refuses connections: dead for certain
	SettingsVersion                  // the version of the agents' settings that a hub holds
	FleetSize                        // how many agents a hub, or all hubs, know of: there, starting, dead for certain
)

var kindNames = map[Kind]string{ListServiceLoad: "service", LatencyRow: "distance", ResidencyVersion: "residency", DeadProcesses: "gone", SettingsVersion: "settings", FleetSize: "census"}

func (k Kind) String() string {
	return cmp.Or(kindNames[k], "kind "+strconv.Itoa(int(k)))
}

// AgeBounds is how old a fact of each kind may be when it is used. A kind that is not named is never used.
type AgeBounds map[Kind]time.Duration

// DefaultAgeBounds are long enough for a fact that is told anew every second to be missed twice on its way.
var DefaultAgeBounds = AgeBounds{
	// A service that was overrun is asked again a little later at the latest; older words would hold everyone back.
	ListServiceLoad: 5 * time.Second,
	// Rows are told each second. A link that has changed has to show within 3 s.
	LatencyRow: 3 * time.Second,
	// The policy's own bound goes before this one; it says how long a version may take to get round.
	ResidencyVersion: 10 * time.Second,
	// Told each second while it holds. Whoever starts again may have its part back that much later.
	DeadProcesses: 3 * time.Second,
	// Told each second. A version never goes back, so an old word does no harm; it only says less.
	SettingsVersion: 10 * time.Second,
	// Told each second. It carries how many are gone, and so has the bound of that.
	FleetSize: 3 * time.Second,
}

// Entry is what one process saw of something.
type Entry struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Subject     string        `cbor:"2,keyasint"`
	Observer    string        `cbor:"3,keyasint"`
	Incarnation uint64        `cbor:"4,keyasint"` // of the observer's process: a later one replaces all of an earlier
	Seq         uint64        `cbor:"5,keyasint"` // counts what the observer said of the subject
	Age         time.Duration `cbor:"6,keyasint"` // when the message was written
	Body        []byte        `cbor:"7,keyasint"`

	decoded *decodedBody // nil: of a fact that no store holds
}

// decodedBody is what a body says, as whoever read it first made of it.
type decodedBody struct {
	once  sync.Once
	value any
	err   error
}

// DecodeBody has a fact's body decoded, once for as long as a store holds it or one that says the same: all who read facts of
// one kind must use the same decode, and must not write to what it returns.
func DecodeBody[T any](e Entry, decode func(body []byte) (T, error)) (T, error) {
	if e.decoded == nil {
		return decode(e.Body)
	}
	e.decoded.once.Do(func() { e.decoded.value, e.decoded.err = decode(e.Body) })
	v, _ := e.decoded.value.(T)
	return v, e.decoded.err
}
