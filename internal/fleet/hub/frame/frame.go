// Package frame defines the frames that an agent and its hub exchange on the agent's stream: CBOR maps, each preceded
// by its length in four bytes, big-endian. Frames are bounded and versioned; fields that a later version adds are
// skipped. The package keeps no state: its functions may be called from any goroutine.
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
	// Version is the version of the wire format. A frame of a later version is read as far as its fields are known
	// here.
	Version = 1
	// Path is what an agent requests of its hub, with an upgrade to Protocol.
	Path, Protocol = "/hub", "martenbeam-hub"

	maxFrame  = 16 << 10 // bytes; a gossip message is at most half of it
	maxName   = 64       // bytes of a name, a zone, a digest or an address
	maxReason = 512      // bytes
	maxWait   = time.Minute
)

// Frame is one message of either side. At least one of its fields besides Version is set.
type Frame struct {
	Version uint8    `cbor:"1,keyasint"`           // set by Encode
	Hello   *Hello   `cbor:"2,keyasint,omitempty"` // from the agent: its first frame
	Welcome *Welcome `cbor:"3,keyasint,omitempty"` // from the hub: its first frame, if it admits the agent
	Busy    *Busy    `cbor:"4,keyasint,omitempty"` // from the hub: its only frame, if it does not
	State   *State   `cbor:"5,keyasint,omitempty"` // from the agent: every second
	Gossip  []byte   `cbor:"6,keyasint,omitempty"` // an encoded gossip.Message with the sender's own entries
	Echo    *Echo    `cbor:"7,keyasint,omitempty"` // from the hub: the answer to the last State
	Leave   bool     `cbor:"8,keyasint,omitempty"` // from the agent: it ends for good, and does not use its quota any more
	// QuotaConfirmed comes from the hub: nobody but the agent uses the agent's quota.
	QuotaConfirmed bool `cbor:"9,keyasint,omitempty"`
}

// Hello says who an agent is.
type Hello struct {
	Label          string `cbor:"1,keyasint"` // of the agent's fleet
	Name           string `cbor:"2,keyasint"`
	Incarnation    uint64 `cbor:"3,keyasint"` // of the process; of two processes of one name the one with the higher remains
	Site           string `cbor:"4,keyasint"` // the agent's zone
	Addr           string `cbor:"5,keyasint"` // a refused connection to it shows that the process is dead
	ProgramVersion string `cbor:"6,keyasint"`
}

// Welcome says which hub the agent is attached to.
type Welcome struct {
	Hub            string `cbor:"1,keyasint"` // the hub's name
	Incarnation    uint64 `cbor:"2,keyasint"` // of the hub's process
	ProgramVersion string `cbor:"3,keyasint"`
}

// Busy rejects an agent, which may retry after RetryAfter or attach to another hub.
type Busy struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
}

// State is an agent's report of itself.
type State struct {
	Seq      uint32         `cbor:"1,keyasint"` // one more than that of the agent's State before on the stream
	Serving  bool           `cbor:"2,keyasint"` // false: it is starting
	Settings AppliedVersion `cbor:"3,keyasint"`
	Policy   AppliedVersion `cbor:"4,keyasint"`
}

// AppliedVersion is the version of a document that an agent has applied.
type AppliedVersion struct {
	Version int64  `cbor:"1,keyasint"`           // 0: none
	Digest  string `cbor:"2,keyasint,omitempty"` // of the applied text
	Reason  string `cbor:"3,keyasint,omitempty"` // why a later version is not applied, or what is wrong with this one
}

// Echo answers a State. The agent's round trip to the hub is the time between the two, less ProcessingDelay.
type Echo struct {
	Seq             uint32        `cbor:"1,keyasint"` // of the State
	ProcessingDelay time.Duration `cbor:"2,keyasint"` // from the arrival of the State to the writing of the Echo
}

var errNoVersion = errors.New("frame without a version")

// decoder rejects what no frame contains, before it costs memory.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 32, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Encode sets the frame's version and returns the frame preceded by its length. It returns an error if the frame is
// longer than Read accepts.
func Encode(f *Frame) ([]byte, error) {
	f.Version = Version
	data, err := cbor.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > maxFrame {
		return nil, fmt.Errorf("encode frame: %d bytes, at most %d", len(data), maxFrame)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data))), data...), nil
}

// Read reads and validates the next frame. It returns io.EOF if the stream ended before the frame. Any error ends the
// stream: after a malformed frame nobody knows where the next one begins.
func Read(r io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, fmt.Errorf("read frame: %d bytes, at most %d", n, maxFrame)
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
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return &f, f.validate()
}

// validate returns an error if a field is out of its bounds.
func (f *Frame) validate() error {
	if f.Version == 0 {
		return errNoVersion
	}
	if hello := f.Hello; hello != nil {
		for _, s := range []string{hello.Label, hello.Name, hello.Site, hello.Addr, hello.ProgramVersion} {
			if len(s) > maxName {
				return fmt.Errorf("hello: a name of %d bytes, at most %d", len(s), maxName)
			}
		}
		if hello.Name == "" {
			return errors.New("hello without a name")
		}
	}
	if w := f.Welcome; w != nil && (w.Hub == "" || len(w.Hub) > maxName || len(w.ProgramVersion) > maxName) {
		return fmt.Errorf("welcome: a name of %d bytes and a version of %d", len(w.Hub), len(w.ProgramVersion))
	}
	if b := f.Busy; b != nil && (b.RetryAfter < 0 || b.RetryAfter > maxWait) {
		return fmt.Errorf("busy: retry after %v", b.RetryAfter)
	}
	if state := f.State; state != nil {
		for _, applied := range []AppliedVersion{state.Settings, state.Policy} {
			if applied.Version < 0 || len(applied.Digest) > maxName || len(applied.Reason) > maxReason {
				return fmt.Errorf("state: version %d, a digest of %d bytes, a reason of %d",
					applied.Version, len(applied.Digest), len(applied.Reason))
			}
		}
	}
	if e := f.Echo; e != nil && (e.ProcessingDelay < 0 || e.ProcessingDelay > maxWait) {
		return fmt.Errorf("echo: a hold time of %v", e.ProcessingDelay)
	}
	return nil
}
