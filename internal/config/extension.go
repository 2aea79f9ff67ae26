package config

import (
	"encoding/json"

	"martenbeam/internal/strictconfig"
)

// Extension is what an agent shares, in the platform's form: the platform's own program passes over it.
type Extension struct {
	Fleet     *FleetExtension     `json:"fleet"`
	Residency *ResidencyExtension `json:"residency"`
	Name      string              `json:"name"`
	Settings  struct {
		Zone int      `json:"Zone"`
		Dcs  []string `json:"Dcs"`
	} `json:"settings"`
}

// FleetExtension is [fleet].
type FleetExtension struct {
	Listen    string             `json:"listen"`
	Advertise string             `json:"advertise"`
	Seeds     []string           `json:"seeds"`
	Hubs      map[string]string  `json:"hubs"`           // addresses, by zone
	Settings  string             `json:"settings_state"` // a folder
	Label     string             `json:"label"`
	MaxAgents int                `json:"most"`
	Lists     string             `json:"lists"`
	ListRate  float64            `json:"list_rate"`
	Matrix    bool               `json:"matrix"`
	Trace     string             `json:"trace"`
	MaxAgeMs  map[string]float64 `json:"max_age_ms"`
}

// ResidencyExtension is [residency].
type ResidencyExtension struct {
	Policy  string  `json:"policy"`
	BoundMs float64 `json:"bound_ms"`
	State   string  `json:"state"`
}

func (c *Config) extensions() (fleet *FleetExtension, policy *ResidencyExtension) {
	ms := func(d strictconfig.Duration) float64 { return d.Duration().Seconds() * 1e3 }
	if c.Fleet.Listen != "" {
		maxAge := &c.Fleet.MaxAge
		fleet = &FleetExtension{c.Fleet.Listen, c.Fleet.Advertise, c.Fleet.Seeds, c.Fleet.Hubs, c.Settings.State, c.Fleet.Label, c.Fleet.MaxAgents, c.Fleet.Lists, c.Fleet.ListRate,
			c.Fleet.Matrix, c.Fleet.Trace, map[string]float64{"service": ms(maxAge.Service), "distance": ms(maxAge.Latency),
				"residency": ms(maxAge.Residency), "gone": ms(maxAge.Dead),
				"settings": ms(maxAge.Settings), "census": ms(maxAge.FleetSize)}}
	}
	if c.Residency.On {
		policy = &ResidencyExtension{c.Residency.Policy, ms(c.Residency.Bound), c.Residency.State}
	}
	return fleet, policy
}

// ReadExtension reads what an agent shares out of a configuration in the platform's form.
func ReadExtension(raw []byte) (s Extension, err error) { return s, json.Unmarshal(raw, &s) }
