package gossip

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the wire's. A message of a later one is read as far as its fields are known here.
const Version = 1

// Bounds of what is taken off the wire.
const (
	MaxMessage = 8 << 10 // bytes of a message
	maxFacts   = 128     // in a message
	maxName    = 64      // bytes of a subject's or an observer's name
	MaxBody    = 2 << 10 // bytes
	maxAge     = time.Hour
)

// Message is what one process tells another: facts, and the sender's own clock, against which the way is measured.
type Message struct {
	Version     uint8         `cbor:"1,keyasint"`
	Sender      string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"` // of the sender's process
	Clock       time.Duration `cbor:"4,keyasint"` // the sender's monotonic time since its start, at writing
	Facts       []Fact        `cbor:"5,keyasint"`
}

// Fact is what one process saw of something.
type Fact struct {
	Kind        Kind          `cbor:"1,keyasint"`
	Subject     string        `cbor:"2,keyasint"`
	Observer    string        `cbor:"3,keyasint"`
	Incarnation uint64        `cbor:"4,keyasint"` // of the observer's process: a later one replaces all of an earlier
	Seq         uint64        `cbor:"5,keyasint"` // counts what the observer said of the subject
	Age         time.Duration `cbor:"6,keyasint"` // when the message was written
	Body        []byte        `cbor:"7,keyasint"`

	sense *sense // nil: of a fact that no store holds
}

// sense is what a body says, as whoever read it first made of it.
type sense struct {
	once  sync.Once
	value any
	err   error
}

// Read has a fact's body decoded, once for as long as a store holds it or one that says the same: all who read facts of
// one kind must use the same decode, and must not write to what it returns.
func Read[T any](f Fact, decode func(body []byte) (T, error)) (T, error) {
	if f.sense == nil {
		return decode(f.Body)
	}
	f.sense.once.Do(func() { f.sense.value, f.sense.err = decode(f.Body) })
	v, _ := f.sense.value.(T)
	return v, f.sense.err
}

var (
	decoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: maxFacts, MaxMapPairs: 32, MaxNestedLevels: 8,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err) // the options are constants
		}
		return m
	}()
	errTooLong = fmt.Errorf("a message of more than %d bytes", MaxMessage)
	errVersion = errors.New("a message without a version")
)

// Decode reads a message. What makes no sense in it is an error: half of a message is not taken.
func Decode(data []byte) (*Message, error) {
	if len(data) > MaxMessage {
		return nil, errTooLong
	}
	var m Message
	if err := decoder.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	switch {
	case m.Version == 0:
		return nil, errVersion
	case m.Sender == "" || len(m.Sender) > maxName:
		return nil, fmt.Errorf("a sender's name of %d bytes", len(m.Sender))
	case m.Clock < 0:
		return nil, fmt.Errorf("a clock of %v", m.Clock)
	}
	for _, f := range m.Facts {
		switch {
		case f.Kind == 0 || f.Observer == "" || len(f.Observer) > maxName || len(f.Subject) > maxName:
			return nil, fmt.Errorf("a fact of kind %d with names of %d and %d bytes", f.Kind, len(f.Subject), len(f.Observer))
		case f.Age < 0 || f.Age > maxAge:
			return nil, fmt.Errorf("a fact %v old", f.Age)
		case len(f.Body) > MaxBody:
			return nil, fmt.Errorf("a fact of %d bytes", len(f.Body))
		}
	}
	return &m, nil
}

// Encode writes a message.
func Encode(m *Message) ([]byte, error) { return cbor.Marshal(m) }
