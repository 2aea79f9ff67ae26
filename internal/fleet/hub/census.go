package hub

import "github.com/fxamacker/cbor/v2"

// Census is how many agents a hub, or all of them, know of.
type Census struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // of the attached: without a list
	Gone     uint32 `cbor:"3,keyasint"` // dead for certain
}

// MarshalBody is the census as a fact's body.
func (c Census) MarshalBody() []byte {
	body, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return body
}

// ParseCensus reads a fact's body.
func ParseCensus(body []byte) (c Census, err error) {
	err = cbor.Unmarshal(body, &c)
	return c, err
}
