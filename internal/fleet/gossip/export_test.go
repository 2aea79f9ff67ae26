package gossip

import "github.com/fxamacker/cbor/v2"

func marshalCBOR(v any) ([]byte, error) { return cbor.Marshal(v) }
