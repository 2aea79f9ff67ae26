package config

// The sections of an agent's configuration that concern its fleet and its residency policy.

import (
	"maps"
	"slices"
	"time"

	"martenbeam/internal/residency"
	"martenbeam/internal/strictconfig"
)

// Fleet configures an agent's part in a fleet.
type Fleet struct {
	Listen    string            `toml:"listen"`    // UDP and TCP, IP address and port; "": there is no fleet
	Advertise string            `toml:"advertise"` // address that other processes use; "": Listen
	Seeds     []string          `toml:"seeds"`
	Hubs      map[string]string `toml:"hubs"` // addresses, by zone; empty: a full mesh
	Label     string            `toml:"label"`
	MaxAgents int               `toml:"most"`      // maximum number of agents in the fleet
	Lists     string            `toml:"lists"`     // "own" or "relayed"
	ListRate  float64           `toml:"list_rate"` // calls to the list service per second by the whole fleet
	Matrix    bool              `toml:"matrix"`    // whether latency between zones is measured and used
	Trace     string            `toml:"trace"`     // a file; "": none
	MaxAge    MaxAge            `toml:"max_age"`
}

// MaxAge sets the maximum age at which each kind of gossip may be used.
type MaxAge struct {
	Service   strictconfig.Duration `toml:"service"`
	Latency   strictconfig.Duration `toml:"distance"`
	Residency strictconfig.Duration `toml:"residency"`
	Dead      strictconfig.Duration `toml:"gone"`
	Settings  strictconfig.Duration `toml:"settings"`
	FleetSize strictconfig.Duration `toml:"census"`
}

// Residency configures whether a residency policy is enforced, and its source.
type Residency struct {
	On     bool                  `toml:"on"`
	Policy string                `toml:"policy"` // a file, at a source; "": received from the fleet
	Bound  strictconfig.Duration `toml:"bound"`  // age of the last confirmation at which the policy becomes stale
	State  string                `toml:"state"`  // folder in which versions are saved across restarts; "": not saved
}

const (
	maxLabelBytes = 64
	minMaxAge     = strictconfig.Duration(100 * time.Millisecond)
	maxMaxAge     = strictconfig.Duration(time.Hour)
)

func (c *Config) checkFleet() error {
	f := &c.Fleet
	if f.Listen != "" {
		addresses := []addressKey{{"fleet.listen", f.Listen, true}, {"fleet.advertise", f.Advertise, false}}
		if err := checkAddresses(append(addresses, seedKeys("fleet.seeds", f.Seeds)...), c.errorAt); err != nil {
			return err
		}
	}
	switch {
	case len(f.Label) > maxLabelBytes:
		return c.errorAt("fleet.label", "%d bytes, must be at most 64", len(f.Label))
	case f.MaxAgents < 1 || f.MaxAgents > 10000:
		return c.errorAt("fleet.most", "%d is not between 1 and 10000", f.MaxAgents)
	case f.Lists != "own" && f.Lists != "relayed":
		return c.errorAt("fleet.lists", `%q is not "own" or "relayed"`, f.Lists)
	case !(f.ListRate >= 0.5 && f.ListRate <= 1000):
		return c.errorAt("fleet.list_rate", "%v is not between 0.5 and 1000", f.ListRate)
	case f.Listen != "" && c.Name == "":
		return c.errorAt("name", "is required in a fleet")
	}
	if err := c.checkHubs(); err != nil {
		return err
	}
	if err := c.checkMaxAges(); err != nil {
		return err
	}
	return c.checkResidency()
}

func (c *Config) checkHubs() error {
	f := &c.Fleet
	switch {
	case len(f.Hubs) == 0 && c.Settings.State != "":
		return c.errorAt("settings.state", "is set, but there are no hubs to receive settings from")
	case len(f.Hubs) > 0 && f.Listen == "":
		return c.errorAt("fleet.listen", "is required with hubs: they check this address to detect whether this agent has ended")
	case len(f.Hubs) > 0 && f.Label == "":
		return c.errorAt("fleet.label", "is required with hubs")
	}
	for _, zone := range slices.Sorted(maps.Keys(f.Hubs)) {
		if !slices.Contains(c.Zones.Names, zone) {
			return c.errorAt("fleet.hubs."+zone, "%q is not one of the zones", zone)
		}
		if err := (addressKey{"fleet.hubs." + zone, f.Hubs[zone], true}).check(c.errorAt); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkMaxAges() error {
	maxAge := &c.Fleet.MaxAge
	return checkMaxAges(map[string]strictconfig.Duration{
		"fleet.max_age.service": maxAge.Service, "fleet.max_age.distance": maxAge.Latency,
		"fleet.max_age.residency": maxAge.Residency, "fleet.max_age.gone": maxAge.Dead,
		"fleet.max_age.settings": maxAge.Settings, "fleet.max_age.census": maxAge.FleetSize,
		"residency.bound": c.Residency.Bound,
	}, c.errorAt)
}

// checkMaxAges checks that each key is between 100 ms and 1 h.
func checkMaxAges(maxAges map[string]strictconfig.Duration, errorAt errorAtFunc) error {
	for key, d := range maxAges {
		if d < minMaxAge || d > maxMaxAge {
			return errorAt(key, "%v is not between 100ms and 1h", d.Duration())
		}
	}
	return nil
}

// checkResidency also parses the policy file, so that an agent does not start with an unusable policy.
func (c *Config) checkResidency() error {
	r := &c.Residency
	switch {
	case !r.On && r.Policy != "":
		return c.errorAt("residency.policy", "is set, but residency.on is false")
	case r.On && r.Policy == "" && c.Fleet.Listen == "":
		return c.errorAt("residency.policy", "is required if residency.on is true and fleet.listen is not set")
	case r.Policy == "":
		return nil
	}
	_, _, err := residency.ReadFile(r.Policy)
	return err
}
