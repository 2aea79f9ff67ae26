package hub

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// FleetSize is how many agents there are: at one hub, as hubs tell each other, or of a fleet, as they tell their agents.
type FleetSize struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // of these
	Dead     uint32 `cbor:"3,keyasint"` // dead for certain; of a fleet alone
}

// FleetSubject is the subject of the census of a fleet; a hub's own has its name.
const FleetSubject = "fleet"

const maxPlausibleAgents = 1 << 20 // what is above makes no sense

// MarshalBody writes a census as a fact's body.
func (s FleetSize) MarshalBody() []byte {
	body, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return body
}

// ParseFleetSize reads a fact's body.
func ParseFleetSize(body []byte) (size FleetSize, err error) {
	if err = cbor.Unmarshal(body, &size); err != nil {
		return size, err
	}
	if size.Attached > maxPlausibleAgents || size.Dead > maxPlausibleAgents || size.Starting > size.Attached {
		return FleetSize{}, fmt.Errorf("a census of %d, %d and %d", size.Attached, size.Starting, size.Dead)
	}
	return size, nil
}
