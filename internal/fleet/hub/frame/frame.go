// Package frame defines the frames that an agent and its hub exchange on the agent's stream: CBOR maps, each preceded
// by its length in four bytes, big-endian. Frames have a maximum size and a version; the decoder ignores fields that a later
// version adds. The package has no state: its functions may be called from any goroutine.
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
	// Version is the version of the wire format. The decoder accepts frames of later versions and ignores their unknown
	// fields.
	Version = 1
	// Path is the path of an agent's request to its hub, and Protocol is the protocol of the requested upgrade.
	Path, Protocol = "/hub", "martenbeam-hub"

	maxFrame  = 16 << 10    // bytes; a gossip message has at most half of that size
	maxName   = 64          // bytes of a name, a zone, a digest or an address
	maxReason = 512         // bytes
	maxWait   = time.Minute // of Busy.RetryAfter and of Echo.ProcessingDelay
)

// Frame is a message from an agent or a hub. All fields except Version are optional.
type Frame struct {
	Version uint8    `cbor:"1,keyasint"`           // set by Encode
	Hello   *Hello   `cbor:"2,keyasint,omitempty"` // from the agent: its first frame
	Welcome *Welcome `cbor:"3,keyasint,omitempty"` // from the hub: its first frame, if it admits the agent
	Busy    *Busy    `cbor:"4,keyasint,omitempty"` // from the hub: its only frame, if it rejects the agent
	State   *State   `cbor:"5,keyasint,omitempty"` // from the agent: every second
	Gossip  []byte   `cbor:"6,keyasint,omitempty"` // an encoded gossip.Message with the sender's own entries
	Echo    *Echo    `cbor:"7,keyasint,omitempty"` // from the hub: the response to the last State
	Leave   bool     `cbor:"8,keyasint,omitempty"` // from the agent: its process ends and no longer uses its quota
	// QuotaConfirmed is sent by the hub: the agent is the only user of its quota.
	QuotaConfirmed bool `cbor:"9,keyasint,omitempty"`
}

// Hello identifies an agent and its process.
type Hello struct {
	Label          string `cbor:"1,keyasint"` // of the agent's fleet
	Name           string `cbor:"2,keyasint"`
	Incarnation    uint64 `cbor:"3,keyasint"` // of two processes with one name, the one with the higher incarnation stays attached
	Site           string `cbor:"4,keyasint"` // the agent's zone
	Addr           string `cbor:"5,keyasint"` // if this address refuses a connection, the process is dead
	ProgramVersion string `cbor:"6,keyasint"`
}

// Welcome identifies the hub that the agent is attached to.
type Welcome struct {
	Hub            string `cbor:"1,keyasint"` // the hub's name
	Incarnation    uint64 `cbor:"2,keyasint"` // of the hub's process
	ProgramVersion string `cbor:"3,keyasint"`
}

// Busy rejects an agent, which may retry after RetryAfter or attach to another hub.
type Busy struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
}

// State is an agent's report of its own state.
type State struct {
	Seq      uint32         `cbor:"1,keyasint"` // one more than in the agent's previous State on the stream
	Serving  bool           `cbor:"2,keyasint"` // false while the agent is starting
	Settings AppliedVersion `cbor:"3,keyasint"`
	Policy   AppliedVersion `cbor:"4,keyasint"`
}

// AppliedVersion is the version of a document that an agent has applied.
type AppliedVersion struct {
	Version int64  `cbor:"1,keyasint"`           // 0: none
	Digest  string `cbor:"2,keyasint,omitempty"` // of the applied text
	Reason  string `cbor:"3,keyasint,omitempty"` // why a later version is not applied, or what is wrong with this one
}

// Echo is the response to a State. The agent's round-trip time to the hub is the time from sending the State to receiving
// the Echo, less ProcessingDelay.
type Echo struct {
	Seq             uint32        `cbor:"1,keyasint"` // of the State
	ProcessingDelay time.Duration `cbor:"2,keyasint"` // from the receipt of the State to the sending of the Echo
}

var errNoVersion = errors.New("frame has no version")

// decoder rejects data that no valid frame contains before it allocates memory for that data.
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
		return nil, fmt.Errorf("encode frame: frame has %d bytes, maximum is %d", len(data), maxFrame)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data))), data...), nil
}

// Read reads and validates the next frame. It returns io.EOF if the stream ended before the frame. Any error ends the
// stream, because the start of the next frame is unknown after a malformed one.
func Read(r io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > maxFrame {
		return nil, fmt.Errorf("read frame: frame has %d bytes, must be 1 to %d", n, maxFrame)
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
				return fmt.Errorf("hello: field has %d bytes, maximum is %d", len(s), maxName)
			}
		}
		if hello.Name == "" {
			return errors.New("hello has no name")
		}
	}
	if w := f.Welcome; w != nil && (w.Hub == "" || len(w.Hub) > maxName || len(w.ProgramVersion) > maxName) {
		return fmt.Errorf("welcome: field out of bounds: hub name of %d bytes, program version of %d bytes", len(w.Hub), len(w.ProgramVersion))
	}
	if b := f.Busy; b != nil && (b.RetryAfter < 0 || b.RetryAfter > maxWait) {
		return fmt.Errorf("busy: retry delay of %v is out of bounds", b.RetryAfter)
	}
	if state := f.State; state != nil {
		for _, applied := range []AppliedVersion{state.Settings, state.Policy} {
			if applied.Version < 0 || len(applied.Digest) > maxName || len(applied.Reason) > maxReason {
				return fmt.Errorf("state: field out of bounds: version %d, digest of %d bytes, reason of %d bytes",
					applied.Version, len(applied.Digest), len(applied.Reason))
			}
		}
	}
	if e := f.Echo; e != nil && (e.ProcessingDelay < 0 || e.ProcessingDelay > maxWait) {
		return fmt.Errorf("echo: processing delay of %v is out of bounds", e.ProcessingDelay)
	}
	return nil
}
