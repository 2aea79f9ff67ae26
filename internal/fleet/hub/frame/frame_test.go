package frame

import (
	"bytes"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// The decoder ignores fields of a later version, and rejects frames that are out of bounds.
func TestOutOfBoundFramesAreRejected(t *testing.T) {
	type later struct {
		Frame
		More map[string]int `cbor:"99,keyasint"`
	}
	data, err := cbor.Marshal(later{Frame{Version: 7, Hello: &Hello{Name: "n"}}, map[string]int{"a": 1}})
	if err != nil {
		t.Fatal(err)
	}
	if f, err := decode(data); err != nil || f.Version != 7 || f.Hello.Name != "n" {
		t.Errorf("frame of a later version: got %+v and error %v, want version 7, the name n and no error", f, err)
	}
	for name, f := range map[string]Frame{
		"no name":            {Hello: &Hello{}},
		"a long name":        {Hello: &Hello{Name: strings.Repeat("n", maxName+1)}},
		"a long reason":      {State: &State{Policy: AppliedVersion{Reason: strings.Repeat("w", maxReason+1)}}},
		"a negative wait":    {Busy: &Busy{RetryAfter: -1}},
		"a negative version": {State: &State{Settings: AppliedVersion{Version: -1}}},
	} {
		data, err := Encode(&f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Read(bytes.NewReader(data)); err == nil {
			t.Errorf("Read accepted a frame with %s, want an error", name)
		}
	}
	if _, err := Encode(&Frame{Gossip: make([]byte, maxFrame)}); err == nil {
		t.Error("Encode accepted a frame that is too long for Read, want an error")
	}
	if _, err := Read(bytes.NewReader([]byte{0xff, 0, 0, 0})); err == nil {
		t.Error("Read accepted a frame with a length of about 4 GiB, want an error")
	}
}

// For any input Read returns an error, or a frame that can be encoded and read again.
func FuzzRead(f *testing.F) {
	for _, x := range []Frame{
		{Hello: &Hello{Label: "l", Name: "n", Site: "z"}},
		{State: &State{Seq: 3, Settings: AppliedVersion{2, "d", "w"}}},
		{Gossip: []byte{1, 2}, Echo: &Echo{Seq: 1, ProcessingDelay: 5}, QuotaConfirmed: true},
		{Busy: &Busy{RetryAfter: 1}},
		{Leave: true},
	} {
		data, err := Encode(&x)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0, 0, 0, 2, 0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		reencoded, err := Encode(x)
		if err != nil {
			t.Skip("the encoded frame is too long: Encode also writes fields that the input omits")
		}
		if _, err := Read(bytes.NewReader(reencoded)); err != nil {
			t.Fatal(err)
		}
	})
}
