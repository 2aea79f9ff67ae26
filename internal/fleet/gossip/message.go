package gossip

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the wire's. A message of a later one is read as far as its fields are known here.
const Version = 1

// Bounds of what is taken off the wire.
const (
	MaxMessageBytes   = 8 << 10 // bytes of a message
	maxMessageEntries = 128     // in a message
	maxNameBytes      = 64      // bytes of a subject's or an observer's name
	MaxBodyBytes      = 2 << 10 // bytes
	maxAge            = time.Hour
)

// Message is what one process tells another: facts, and the sender's own clock, against which the way is measured.
type Message struct {
	Version     uint8         `cbor:"1,keyasint"`
	Sender      string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"` // of the sender's process
	Clock       time.Duration `cbor:"4,keyasint"` // the sender's monotonic time since its start, at writing
	Entries     []Entry       `cbor:"5,keyasint"`
}

var (
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: maxMessageEntries, MaxMapPairs: 32, MaxNestedLevels: 8,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err) // the options are constants
		}
		return m
	}()
	errTooLong = fmt.Errorf("a message of more than %d bytes", MaxMessageBytes)
	errVersion = errors.New("a message without a version")
)

// DecodeMessage reads a message. What makes no sense in it is an error: half of a message is not taken.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, errTooLong
	}
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, err
	}
	switch {
	case m.Version == 0:
		return nil, errVersion
	case m.Sender == "" || len(m.Sender) > maxNameBytes:
		return nil, fmt.Errorf("a sender's name of %d bytes", len(m.Sender))
	case m.Clock < 0:
		return nil, fmt.Errorf("a clock of %v", m.Clock)
	}
	for _, e := range m.Entries {
		switch {
		case e.Kind == 0 || e.Observer == "" || len(e.Observer) > maxNameBytes || len(e.Subject) > maxNameBytes:
			return nil, fmt.Errorf("a fact of kind %d with names of %d and %d bytes", e.Kind, len(e.Subject), len(e.Observer))
		case e.Age < 0 || e.Age > maxAge:
			return nil, fmt.Errorf("a fact %v old", e.Age)
		case len(e.Body) > MaxBodyBytes:
			return nil, fmt.Errorf("a fact of %d bytes", len(e.Body))
		}
	}
	return &m, nil
}

// EncodeMessage writes a message.
func EncodeMessage(m *Message) ([]byte, error) { return cbor.Marshal(m) }
