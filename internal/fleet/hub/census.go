package hub

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Census is how many agents there are: at one hub, as hubs tell each other, or of a fleet, as they tell their agents.
type Census struct {
	Attached uint32 `cbor:"1,keyasint"`
	Starting uint32 `cbor:"2,keyasint"` // of these
	Gone     uint32 `cbor:"3,keyasint"` // dead for certain; of a fleet alone
}

// FleetCensus is the subject of the census of a fleet; a hub's own has its name.
const FleetCensus = "fleet"

const mostAgents = 1 << 20 // what is above makes no sense

// MarshalBody writes a census as a fact's body.
func (c Census) MarshalBody() []byte {
	body, err := cbor.Marshal(c)
	if err != nil {
		panic(err) // it holds numbers alone
	}
	return body
}

// ParseCensus reads a fact's body.
func ParseCensus(body []byte) (c Census, err error) {
	if err = cbor.Unmarshal(body, &c); err != nil {
		return c, err
	}
	if c.Attached > mostAgents || c.Gone > mostAgents || c.Starting > c.Attached {
		return Census{}, fmt.Errorf("a census of %d, %d and %d", c.Attached, c.Starting, c.Gone)
	}
	return c, nil
}
