// Package frame is what an agent and its hub write to each other on their one stream: frames of CBOR behind their
// length, each bounded, versioned, and with fields that a later program may add skipped by an earlier one.
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

	maxFrame = 16 << 10 // bytes; a message of facts is at most half of it
	maxName  = 64       // bytes of a name, a zone, an address
	maxWhy   = 512      // bytes of a reason
	maxWait  = time.Minute
)

// Frame is one word from either side. Of the pointers at least one is set, or Facts or Bye.
type Frame struct {
	Version uint8    `cbor:"1,keyasint"`
	Hello   *Hello   `cbor:"2,keyasint,omitempty"` // the agent's first
	Welcome *Welcome `cbor:"3,keyasint,omitempty"` // the hub's first, if it takes the agent
	Busy    *Busy    `cbor:"4,keyasint,omitempty"` // the hub's only one, if it does not
	State   *State   `cbor:"5,keyasint,omitempty"` // the agent's, every second
	Facts   []byte   `cbor:"6,keyasint,omitempty"` // a fact.Message of the sender's own
	Echo    *Echo    `cbor:"7,keyasint,omitempty"` // the hub's, of the last State
	Bye     bool     `cbor:"8,keyasint,omitempty"` // the agent ends for good: nobody uses its part of the limit
	Sure    bool     `cbor:"9,keyasint,omitempty"` // the hub's: nobody uses this agent's part of the limit but itself
}

// Hello says who an agent is.
type Hello struct {
	Label       string `cbor:"1,keyasint"` // of the fleet
	Name        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"` // which process of the name it is; a later one replaces an earlier
	Site        string `cbor:"4,keyasint"` // its zone
	Addr        string `cbor:"5,keyasint"` // where a refused connection tells that the process has ended
	Program     string `cbor:"6,keyasint"` // its version
}

// Welcome says whose stream it is.
type Welcome struct {
	Hub         string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Program     string `cbor:"3,keyasint"`
}

// Busy asks an agent to come again, or to go elsewhere.
type Busy struct {
	After time.Duration `cbor:"1,keyasint"`
}

// State is how an agent stands.
type State struct {
	Seq      uint32   `cbor:"1,keyasint"`
	Serving  bool     `cbor:"2,keyasint"`
	Settings Standing `cbor:"3,keyasint"`
	Policy   Standing `cbor:"4,keyasint"`
}

// Standing is the version of a text that is in force at an agent, and what is wrong with the latest one, if anything is.
type Standing struct {
	Version int64  `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint,omitempty"`
	Why     string `cbor:"3,keyasint,omitempty"`
}

// Echo answers a State: a round trip, less what it dwelt.
type Echo struct {
	Seq   uint32        `cbor:"1,keyasint"`
	Dwell time.Duration `cbor:"2,keyasint"`
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
	errVersion = errors.New("a frame without a version")
)

// Encode writes a frame with its length before it.
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

// Read reads the next frame. Any error ends the stream: half of a frame is not taken, and behind a malformed one nobody
// knows where the next begins.
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
	return &f, f.check()
}

func (f *Frame) check() error {
	if f.Version == 0 {
		return errVersion
	}
	if h := f.Hello; h != nil {
		for _, s := range []string{h.Label, h.Name, h.Site, h.Addr, h.Program} {
			if len(s) > maxName {
				return fmt.Errorf("a name of %d bytes, at most %d", len(s), maxName)
			}
		}
		if h.Name == "" {
			return errors.New("a hello without a name")
		}
	}
	if w := f.Welcome; w != nil && (w.Hub == "" || len(w.Hub) > maxName || len(w.Program) > maxName) {
		return fmt.Errorf("a welcome of names of %d and %d bytes", len(w.Hub), len(w.Program))
	}
	if b := f.Busy; b != nil && (b.After < 0 || b.After > maxWait) {
		return fmt.Errorf("a wait of %v", b.After)
	}
	if s := f.State; s != nil {
		for _, x := range []Standing{s.Settings, s.Policy} {
			if x.Version < 0 || len(x.Digest) > maxName || len(x.Why) > maxWhy {
				return fmt.Errorf("a standing of version %d with %d and %d bytes", x.Version, len(x.Digest), len(x.Why))
			}
		}
	}
	if e := f.Echo; e != nil && (e.Dwell < 0 || e.Dwell > maxWait) {
		return fmt.Errorf("a dwell of %v", e.Dwell)
	}
	return nil
}
