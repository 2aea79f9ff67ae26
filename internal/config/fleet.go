package config

import (
	"maps"
	"slices"
	"time"

	"martenbeam/internal/residency"
	"martenbeam/internal/strictconfig"
)

// Fleet is what an agent shares with others.
type Fleet struct {
	Listen    string            `toml:"listen"`
	Advertise string            `toml:"advertise"`
	Seeds     []string          `toml:"seeds"`
	Hubs      map[string]string `toml:"hubs"` // addresses, by zone
	Label     string            `toml:"label"`
	MaxAgents int               `toml:"most"`
	Lists     string            `toml:"lists"`
	ListRate  float64           `toml:"list_rate"`
	Matrix    bool              `toml:"matrix"`
	Trace     string            `toml:"trace"`
	MaxAge    struct {
		Service   strictconfig.Duration `toml:"service"`
		Latency   strictconfig.Duration `toml:"distance"`
		Residency strictconfig.Duration `toml:"residency"`
		Dead      strictconfig.Duration `toml:"gone"`
		Settings  strictconfig.Duration `toml:"settings"`
		FleetSize strictconfig.Duration `toml:"census"`
	} `toml:"max_age"`
}

// Residency is the policy that holds, and where it comes from.
type Residency struct {
	On     bool                  `toml:"on"`
	Policy string                `toml:"policy"`
	Bound  strictconfig.Duration `toml:"bound"`
	State  string                `toml:"state"`
}

func (c *Config) checkFleet() error {
	f, r := &c.Fleet, &c.Residency
	if f.Listen != "" {
		if err := c.checkAddress("fleet.listen", f.Listen, true); err != nil {
			return err
		}
		if err := c.checkAddress("fleet.advertise", f.Advertise, false); err != nil {
			return err
		}
		for _, s := range f.Seeds {
			if err := c.checkAddress("fleet.seeds", s, true); err != nil {
				return err
			}
		}
	}
	switch {
	case len(f.Label) > 64:
		return c.errorAt("fleet.label", "%d bytes, at most 64", len(f.Label))
	case f.MaxAgents < 1 || f.MaxAgents > 10000:
		return c.errorAt("fleet.most", "%d is not between 1 and 10000", f.MaxAgents)
	case f.Lists != "own" && f.Lists != "relayed":
		return c.errorAt("fleet.lists", `%q is none of "own", "relayed"`, f.Lists)
	case !(f.ListRate >= 0.5 && f.ListRate <= 1000):
		return c.errorAt("fleet.list_rate", "%v is not between 0.5 and 1000", f.ListRate)
	case f.Listen != "" && c.Name == "":
		return c.errorAt("name", "is needed where there is a fleet")
	}
	if err := c.checkHubs(); err != nil {
		return err
	}
	for key, d := range map[string]strictconfig.Duration{"fleet.max_age.service": f.MaxAge.Service, "fleet.max_age.distance": f.MaxAge.Latency,
		"fleet.max_age.residency": f.MaxAge.Residency, "fleet.max_age.gone": f.MaxAge.Dead,
		"fleet.max_age.settings": f.MaxAge.Settings, "fleet.max_age.census": f.MaxAge.FleetSize, "residency.bound": r.Bound} {
		if d < strictconfig.Duration(100*time.Millisecond) || d > strictconfig.Duration(time.Hour) {
			return c.errorAt(key, "%v is not between 100ms and 1h", d.Duration())
		}
	}
	switch {
	case !r.On && r.Policy != "":
		return c.errorAt("residency.policy", "is given, and residency.on is false")
	case r.On && r.Policy == "" && f.Listen == "":
		return c.errorAt("residency.policy", "is needed where there is no fleet to have it from")
	}
	if r.Policy != "" {
		if _, _, err := residency.ReadFile(r.Policy); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) checkHubs() error {
	f := &c.Fleet
	switch {
	case len(f.Hubs) == 0 && c.Settings.State != "":
		return c.errorAt("settings.state", "is given, and there are no hubs to have settings from")
	case len(f.Hubs) > 0 && f.Listen == "":
		return c.errorAt("fleet.listen", "is needed where there are hubs: they see there whether this agent has ended")
	case len(f.Hubs) > 0 && f.Label == "":
		return c.errorAt("fleet.label", "is needed where there are hubs")
	}
	for _, zone := range slices.Sorted(maps.Keys(f.Hubs)) {
		if !slices.Contains(c.Zones.Names, zone) {
			return c.errorAt("fleet.hubs."+zone, "%q is none of zones", zone)
		}
		if err := c.checkAddress("fleet.hubs."+zone, f.Hubs[zone], true); err != nil {
			return err
		}
	}
	return nil
}
