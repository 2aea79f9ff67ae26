package gossip

// This file defines the wire form of a gossip message and the limits that it is checked against.

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the wire form that this program writes. DecodeMessage accepts messages of later versions and
// skips their unknown fields.
const Version = 1

// Limits of messages from the network. DecodeMessage rejects a message that exceeds any of them.
const (
	MaxMessageBytes   = 8 << 10   // size of a message
	maxMessageEntries = 128       // entries in a message
	maxNameBytes      = 64        // length of a sender, subject or observer
	MaxBodyBytes      = 2 << 10   // size of an entry's body
	maxAge            = time.Hour // age of an entry
)

// Message carries entries from one process to another. The receiver derives the transit time from the sender's
// clock.
type Message struct {
	Version     uint8         `cbor:"1,keyasint"`
	Sender      string        `cbor:"2,keyasint"` // name of the sender's process
	Incarnation uint64        `cbor:"3,keyasint"` // of the sender's process
	Clock       time.Duration `cbor:"4,keyasint"` // the sender's monotonic time since its start, when the message was written
	Entries     []Entry       `cbor:"5,keyasint"` // each with its age when the message was written
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
	errTooLong = fmt.Errorf("message is longer than %d bytes", MaxMessageBytes)
	errVersion = errors.New("message has no version")
)

// DecodeMessage decodes and checks a message. It returns an error if any part of the message is invalid.
func DecodeMessage(data []byte) (*Message, error) {
	if len(data) > MaxMessageBytes {
		return nil, errTooLong
	}
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	switch {
	case m.Version == 0:
		return nil, errVersion
	case m.Sender == "" || len(m.Sender) > maxNameBytes:
		return nil, fmt.Errorf("sender's name is empty or too long: %d bytes", len(m.Sender))
	case m.Clock < 0:
		return nil, fmt.Errorf("message has a negative clock: %v", m.Clock)
	}
	for _, e := range m.Entries {
		switch {
		case e.Kind == 0 || e.Observer == "" || len(e.Observer) > maxNameBytes || len(e.Subject) > maxNameBytes:
			return nil, fmt.Errorf("entry has a field out of bounds: kind %d, subject of %d bytes, observer of %d bytes",
				e.Kind, len(e.Subject), len(e.Observer))
		case e.Age < 0 || e.Age > maxAge:
			return nil, fmt.Errorf("entry's age of %v is out of bounds", e.Age)
		case len(e.Body) > MaxBodyBytes:
			return nil, fmt.Errorf("entry's body is too long: %d bytes", len(e.Body))
		}
	}
	return &m, nil
}

// EncodeMessage encodes a message without checking its limits.
func EncodeMessage(m *Message) ([]byte, error) { return cbor.Marshal(m) }
