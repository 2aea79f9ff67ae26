package config

import (
	_ "embed"
	"os"
	"slices"
	"time"

	"martenbeam/internal/residency"
	"martenbeam/internal/strictconfig"
)

// DefaultHub is every key of a hub's configuration with its default and what it means.
//
//go:embed hub.toml
var DefaultHub string

// Hub is one hub's configuration.
type Hub struct {
	Name      string   `toml:"name"`
	Zones     Zones    `toml:"zones"`
	Zone      string   `toml:"zone"`
	Label     string   `toml:"label"`
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"`
	Seeds     []string `toml:"seeds"`
	MaxAgents int      `toml:"most"`
	Matrix    bool     `toml:"matrix"`
	Discovery string   `toml:"discovery"`
	ListRate  float64  `toml:"list_rate"`
	AdmitRate float64  `toml:"admit_rate"`
	Trace     string   `toml:"trace"`
	Settings  struct {
		File  string `toml:"file"`
		State string `toml:"state"`
	} `toml:"settings"`
	Residency struct {
		File  string                `toml:"file"`
		State string                `toml:"state"`
		Bound strictconfig.Duration `toml:"bound"`
	} `toml:"residency"`
	MaxAge map[string]strictconfig.Duration `toml:"max_age"`

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

// ParseHub checks a hub's configuration. file names it in errors.
func ParseHub(file, text string) (*Hub, error) {
	h := &Hub{}
	if err := strictconfig.Decode("hub.toml", DefaultHub, h); err != nil {
		panic(err) // it is part of the program
	}
	kinds := len(h.MaxAge)
	if err := strictconfig.Decode(file, text, h); err != nil {
		return nil, err
	}
	h.file, h.text = file, text
	if len(h.MaxAge) > kinds {
		return nil, h.errorAt("max_age", "there are service, distance, residency, gone, settings and census alone")
	}
	return h, h.check()
}

func (h *Hub) errorAt(key, format string, args ...any) error {
	return strictconfig.ErrorAt(h.file, h.text, key, format, args...)
}

func (h *Hub) check() error {
	for _, a := range append([]addressKey{{"listen", h.Listen, true}, {"advertise", h.Advertise, false}, {"discovery", h.Discovery, false}}, seedKeys("seeds", h.Seeds)...) {
		if err := a.check(h.errorAt); err != nil {
			return err
		}
	}
	switch {
	case h.Zones.invalidKey != "":
		return h.errorAt(h.Zones.invalidKey, "%s", h.Zones.reason)
	case h.Name == "" || len(h.Name) > 64:
		return h.errorAt("name", "%d bytes: 1 to 64 are needed", len(h.Name))
	case !slices.Contains(h.Zones.Names, h.Zone):
		return h.errorAt("zone", "%q is none of zones", h.Zone)
	case h.Label == "" || len(h.Label) > 64:
		return h.errorAt("label", "%d bytes: 1 to 64 are needed", len(h.Label))
	case h.MaxAgents < 1 || h.MaxAgents > 10000:
		return h.errorAt("most", "%d is not between 1 and 10000", h.MaxAgents)
	case !(h.ListRate >= 0.5 && h.ListRate <= 1000):
		return h.errorAt("list_rate", "%v is not between 0.5 and 1000", h.ListRate)
	case !(h.AdmitRate >= 1 && h.AdmitRate <= 10000):
		return h.errorAt("admit_rate", "%v is not between 1 and 10000", h.AdmitRate)
	}
	if err := h.checkDurations(); err != nil {
		return err
	}
	return h.checkDocuments()
}

func (h *Hub) checkDurations() error {
	durations := map[string]strictconfig.Duration{"residency.bound": h.Residency.Bound}
	for kind, d := range h.MaxAge {
		durations["max_age."+kind] = d
	}
	for key, d := range durations {
		if d < strictconfig.Duration(100*time.Millisecond) || d > strictconfig.Duration(time.Hour) {
			return h.errorAt(key, "%v is not between 100ms and 1h", d.Duration())
		}
	}
	return nil
}

// checkDocuments has a file that can't be used stop the hub before it starts.
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
