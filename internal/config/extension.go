package config

// The sections that martenbeam adds to the platform's form of a configuration.

import "encoding/json"

// Extension holds the keys of the platform's form of a configuration that configure an agent's part in a fleet. The
// platform's own program ignores the sections fleet and residency.
type Extension struct {
	Fleet     *FleetExtension     `json:"fleet"`     // nil: there is no fleet
	Residency *ResidencyExtension `json:"residency"` // nil: there is no policy
	Name      string              `json:"name"`
	Settings  struct {
		Zone int      `json:"Zone"` // index in Dcs
		Dcs  []string `json:"Dcs"`  // names of the zones
	} `json:"settings"`
}

// FleetExtension is the section fleet: the fields of Fleet, and the folder of the settings.
type FleetExtension struct {
	Listen    string             `json:"listen"`
	Advertise string             `json:"advertise"`
	Seeds     []string           `json:"seeds"`
	Hubs      map[string]string  `json:"hubs"`           // addresses, by zone
	Settings  string             `json:"settings_state"` // a folder; "": not saved
	Label     string             `json:"label"`
	MaxAgents int                `json:"most"`
	Lists     string             `json:"lists"`
	ListRate  float64            `json:"list_rate"` // calls per second
	Matrix    bool               `json:"matrix"`
	Trace     string             `json:"trace"`
	MaxAgeMs  map[string]float64 `json:"max_age_ms"` // by the keys of MaxAge
}

// ResidencyExtension is the section residency: the fields of Residency except On.
type ResidencyExtension struct {
	Policy  string  `json:"policy"`
	BoundMs float64 `json:"bound_ms"`
	State   string  `json:"state"`
}

// ReadExtension decodes the extension of a configuration in the platform's form. It does not check the values.
func ReadExtension(raw []byte) (Extension, error) {
	var extension Extension
	err := json.Unmarshal(raw, &extension)
	return extension, err
}

// extensions returns the sections fleet and residency; nil if there is none.
func (c *Config) extensions() (fleet *FleetExtension, policy *ResidencyExtension) {
	if f := &c.Fleet; f.Listen != "" {
		fleet = &FleetExtension{
			Listen: f.Listen, Advertise: f.Advertise, Seeds: f.Seeds, Hubs: f.Hubs, Settings: c.Settings.State, Label: f.Label,
			MaxAgents: f.MaxAgents, Lists: f.Lists, ListRate: f.ListRate, Matrix: f.Matrix, Trace: f.Trace,
			MaxAgeMs: map[string]float64{
				"service": millis(f.MaxAge.Service), "distance": millis(f.MaxAge.Latency),
				"residency": millis(f.MaxAge.Residency), "gone": millis(f.MaxAge.Dead),
				"settings": millis(f.MaxAge.Settings), "census": millis(f.MaxAge.FleetSize),
			},
		}
	}
	if r := &c.Residency; r.On {
		policy = &ResidencyExtension{Policy: r.Policy, BoundMs: millis(r.Bound), State: r.State}
	}
	return fleet, policy
}
