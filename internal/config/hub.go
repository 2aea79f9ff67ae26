package config

// The configuration of a hub.

import (
	_ "embed"
	"os"
	"slices"

	"martenbeam/internal/residency"
	"martenbeam/internal/strictconfig"
)

// DefaultHub is the default configuration of a hub, with a comment on what each key means, its unit and its range.
//
//go:embed hub.toml
var DefaultHub string

// Hub is the configuration of one hub. DefaultHub explains the keys and their units.
type Hub struct {
	Name      string   `toml:"name"`
	Zones     Zones    `toml:"zones"`
	Zone      string   `toml:"zone"`
	Label     string   `toml:"label"`
	Listen    string   `toml:"listen"`    // UDP and TCP, IP address and port
	Advertise string   `toml:"advertise"` // address that other processes use; "": Listen
	Seeds     []string `toml:"seeds"`
	MaxAgents int      `toml:"most"` // maximum number of agents in the fleet
	Matrix    bool     `toml:"matrix"`
	Discovery string   `toml:"discovery"`  // "": the hub has no endpoint list
	ListRate  float64  `toml:"list_rate"`  // calls to the list service per second by the whole fleet
	AdmitRate float64  `toml:"admit_rate"` // agents that may attach per second
	Trace     string   `toml:"trace"`      // a file; "": none
	Settings  struct {
		File  string `toml:"file"`  // at a source; "": received from other hubs
		State string `toml:"state"` // folder in which versions are saved across restarts; "": not saved
	} `toml:"settings"`
	Residency struct {
		File  string                `toml:"file"`  // at a source; "": received from other hubs
		State string                `toml:"state"` // folder in which versions are saved across restarts; "": not saved
		Bound strictconfig.Duration `toml:"bound"`
	} `toml:"residency"`
	MaxAge map[string]strictconfig.Duration `toml:"max_age"` // by the keys of the type MaxAge

	file, text string
}

// ReadHub reads and checks a hub's file.
func ReadHub(file string) (*Hub, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseHub(file, string(text))
}

// ParseHub parses and checks the text of a hub's file, and checks the documents whose paths the file contains. file names the
// text in errors.
func ParseHub(file, text string) (*Hub, error) {
	h := &Hub{}
	if err := strictconfig.Decode("hub.toml", DefaultHub, h); err != nil {
		panic(err) // the defaults are part of the program
	}
	knownKeys := len(h.MaxAge)
	if err := strictconfig.Decode(file, text, h); err != nil {
		return nil, err
	}
	h.file, h.text = file, text
	if len(h.MaxAge) > knownKeys { // the decoder accepts any key in a map
		return nil, h.errorAt("max_age", "the only keys are service, distance, residency, gone, settings and census")
	}
	return h, h.check()
}

func (h *Hub) errorAt(key, format string, args ...any) error {
	return strictconfig.ErrorAt(h.file, h.text, key, format, args...)
}

func (h *Hub) check() error {
	addresses := []addressKey{{"listen", h.Listen, true}, {"advertise", h.Advertise, false}, {"discovery", h.Discovery, false}}
	if err := checkAddresses(append(addresses, seedKeys("seeds", h.Seeds)...), h.errorAt); err != nil {
		return err
	}
	switch {
	case h.Zones.invalidKey != "":
		return h.errorAt(h.Zones.invalidKey, "%s", h.Zones.reason)
	case h.Name == "" || len(h.Name) > 64:
		return h.errorAt("name", "%d bytes, must be 1 to 64", len(h.Name))
	case !slices.Contains(h.Zones.Names, h.Zone):
		return h.errorAt("zone", "%q is not one of the zones", h.Zone)
	case h.Label == "" || len(h.Label) > maxLabelBytes:
		return h.errorAt("label", "%d bytes, must be 1 to 64", len(h.Label))
	case h.MaxAgents < 1 || h.MaxAgents > 10000:
		return h.errorAt("most", "%d is not between 1 and 10000", h.MaxAgents)
	case !(h.ListRate >= 0.5 && h.ListRate <= 1000):
		return h.errorAt("list_rate", "%v is not between 0.5 and 1000", h.ListRate)
	case !(h.AdmitRate >= 1 && h.AdmitRate <= 10000):
		return h.errorAt("admit_rate", "%v is not between 1 and 10000", h.AdmitRate)
	}
	maxAges := map[string]strictconfig.Duration{"residency.bound": h.Residency.Bound}
	for kind, d := range h.MaxAge {
		maxAges["max_age."+kind] = d
	}
	if err := checkMaxAges(maxAges, h.errorAt); err != nil {
		return err
	}
	return h.checkDocuments()
}

// checkDocuments parses the documents that a source publishes, so that a hub does not start with an unusable
// document.
func (h *Hub) checkDocuments() error {
	if h.Residency.File != "" {
		if _, _, err := residency.ReadFile(h.Residency.File); err != nil {
			return err
		}
	}
	if h.Settings.File == "" {
		return nil
	}
	text, err := os.ReadFile(h.Settings.File)
	if err == nil {
		_, err = ParseSettings(h.Settings.File, string(text))
	}
	return err
}
