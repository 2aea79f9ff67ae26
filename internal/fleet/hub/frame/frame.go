// Package frame defines the frames that an agent and its hub exchange on the agent's stream: CBOR maps, each preceded by its
// length in four bytes, big-endian. Frames are bounded and versioned; fields that a later version adds are skipped. The
// package keeps no state: its functions may be called from any goroutine.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the wire's. A frame of a later one is read as far as its fields are known here.
	Version = 1
	// Path is what an agent asks its hub for, and Protocol what both then speak on the connection.
	Path, Protocol = "/hub", "martenbeam-hub"

	maxFrame  = 16 << 10 // bytes; a message of facts is at most half of it
	maxName   = 64       // bytes of a name, a zone, an address
	maxReason = 512      // bytes of a reason
	maxWait   = time.Minute
)

// Frame is one message of either side. At least one of its fields besides Version is set.
type Frame struct {
	Version        uint8    `cbor:"1,keyasint"`
	Hello          *Hello   `cbor:"2,keyasint,omitempty"` // the agent's first
	Welcome        *Welcome `cbor:"3,keyasint,omitempty"` // the hub's first, if it takes the agent
	Busy           *Busy    `cbor:"4,keyasint,omitempty"` // the hub's only one, if it does not
	State          *State   `cbor:"5,keyasint,omitempty"` // the agent's, every second
	Gossip         []byte   `cbor:"6,keyasint,omitempty"` // a fact.Message of the sender's own
	Echo           *Echo    `cbor:"7,keyasint,omitempty"` // the hub's, of the last State
	Leave          bool     `cbor:"8,keyasint,omitempty"` // the agent ends for good: nobody uses its part of the limit
	QuotaConfirmed bool     `cbor:"9,keyasint,omitempty"` // the hub's: nobody uses this agent's part of the limit but itself
}

// Hello says who an agent is.
type Hello struct {
	Label          string `cbor:"1,keyasint"` // of the fleet
	Name           string `cbor:"2,keyasint"`
	Incarnation    uint64 `cbor:"3,keyasint"` // which process of the name it is; a later one replaces an earlier
	Site           string `cbor:"4,keyasint"` // its zone
	Addr           string `cbor:"5,keyasint"` // where a refused connection tells that the process has ended
	ProgramVersion string `cbor:"6,keyasint"` // its version
}

// Welcome says which hub the agent is attached to.
type Welcome struct {
	Hub            string `cbor:"1,keyasint"`
	Incarnation    uint64 `cbor:"2,keyasint"`
	ProgramVersion string `cbor:"3,keyasint"`
}

// Busy rejects an agent, which may retry after RetryAfter or attach to another hub.
type Busy struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
}

// State is an agent's report of itself.
type State struct {
	Seq      uint32         `cbor:"1,keyasint"`
	Serving  bool           `cbor:"2,keyasint"`
	Settings AppliedVersion `cbor:"3,keyasint"`
	Policy   AppliedVersion `cbor:"4,keyasint"`
}

// AppliedVersion is the version of a document that an agent has applied.
type AppliedVersion struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}

// Echo answers a State. The agent's round trip to the hub is the time between the two, less HoldTime.
type Echo struct {
	Seq      uint32        `cbor:"1,keyasint"`
	HoldTime time.Duration `cbor:"2,keyasint"`
}

var (
	decoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 32, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
			TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
		if err != nil {
			panic(err) // the options are constants
		}
		return m
	}()
	errNoVersion = errors.New("a frame without a version")
)

// Encode sets the frame's version and returns the frame preceded by its length. It returns an error if the frame is longer
// than Read accepts.
func Encode(f *Frame) ([]byte, error) {
	f.Version = Version
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, err
	}
	if len(data) > maxFrame {
		return nil, fmt.Errorf("a frame of %d bytes, at most %d", len(data), maxFrame)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data))), data...), nil
}

// Read reads and validates the next frame. It returns io.EOF if the stream ended before the frame. Any error ends the stream:
// after a malformed frame nobody knows where the next one begins.
func Read(r io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, fmt.Errorf("a frame of %d bytes, at most %d", n, maxFrame)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return decode(data)
}

func decode(data []byte) (*Frame, error) {
	var f Frame
	if err := decoder.Unmarshal(data, &f); err != nil {
		return nil, err
	}
	return &f, f.validate()
}

// validate returns an error if a field is out of its bounds.
func (f *Frame) validate() error {
	if f.Version == 0 {
		return errNoVersion
	}
	if hello := f.Hello; hello != nil {
		for _, state := range []string{hello.Label, hello.Name, hello.Site, hello.Addr, hello.ProgramVersion} {
			if len(state) > maxName {
				return fmt.Errorf("a name of %d bytes, at most %d", len(state), maxName)
			}
		}
		if hello.Name == "" {
			return errors.New("a hello without a name")
		}
	}
	if welcome := f.Welcome; welcome != nil && (welcome.Hub == "" || len(welcome.Hub) > maxName || len(welcome.ProgramVersion) > maxName) {
		return fmt.Errorf("a welcome of names of %d and %d bytes", len(welcome.Hub), len(welcome.ProgramVersion))
	}
	if busy := f.Busy; busy != nil && (busy.RetryAfter < 0 || busy.RetryAfter > maxWait) {
		return fmt.Errorf("a wait of %v", busy.RetryAfter)
	}
	if state := f.State; state != nil {
		for _, applied := range []AppliedVersion{state.Settings, state.Policy} {
			if applied.Version < 0 || len(applied.Digest) > maxName || len(applied.Reason) > maxReason {
				return fmt.Errorf("a standing of version %d with %d and %d bytes", applied.Version, len(applied.Digest), len(applied.Reason))
			}
		}
	}
	if echo := f.Echo; echo != nil && (echo.HoldTime < 0 || echo.HoldTime > maxWait) {
		return fmt.Errorf("a dwell of %v", echo.HoldTime)
	}
	return nil
}
