// Package config reads the product's own configuration of an agent: one TOML file, strict, whose defaults are a
// file of the same form that anyone can print.
package config

import (
	_ "embed"
	"os"

	"martenbeam/internal/strictconfig"
)

// Default is every key with its default and what it means.
//
//go:embed default.toml
var Default string

// Config is one agent's configuration.
type Config struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Discovery string   `toml:"discovery"`
	Mgmt      string   `toml:"mgmt"`
	Lists     string   `toml:"lists"`
	Seed      string   `toml:"seed"`
	Zones     Zones    `toml:"zones"`
	Zone      string   `toml:"zone"`
	Kinds     []string `toml:"kinds"`
	Limits    struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
		MaxOpen  int     `toml:"open"`
	} `toml:"limits"`
	Peers struct {
		Addresses []string `toml:"addresses"`
		Self      int      `toml:"self"`
		Listen    string   `toml:"listen"`
	} `toml:"peers"`
	Fleet     Fleet     `toml:"fleet"`
	Residency Residency `toml:"residency"`
	Settings  struct {
		State string `toml:"state"`
	} `toml:"settings"`
	Attempts struct {
		Max            int                   `toml:"most"`
		ConnectTimeout strictconfig.Duration `toml:"connect_timeout"`
		IdleClose      strictconfig.Duration `toml:"idle_close"`
		SourceAddr     string                `toml:"from"`
		Hedging        bool                  `toml:"second_copies"`
		Cancel         bool                  `toml:"cancel"`
		HealthChecks   bool                  `toml:"probes"`
		Tick           strictconfig.Duration `toml:"tick"`
	} `toml:"attempts"`
	Rejections struct {
		RetryAfter    bool                  `toml:"retry_after"`
		MaxRetryAfter strictconfig.Duration `toml:"most_retry_after"`
		Grace         strictconfig.Duration `toml:"grace"`
	} `toml:"refusals"`
	Backends struct {
		DrainGrace       strictconfig.Duration `toml:"drain_grace"`
		InitialCapacity  float64               `toml:"cold_from"`
		SlowStartWindow  strictconfig.Duration `toml:"ramp"`
		OverloadMultiple float64               `toml:"fall_multiple"`
		OverloadWindow   strictconfig.Duration `toml:"fall_window"`
		WarmKeys         bool                  `toml:"warm_keys"`
	} `toml:"backends"`
	Prices struct {
		CrossZone   float64 `toml:"cross_zone"`
		CrossRegion float64 `toml:"cross_region"`
	} `toml:"prices"`
	Classes []Class `toml:"class"`

	file, text string
	overlay    *Settings // laid over the file; may be nil
}

// Class is one class of requests.
type Class struct {
	Name             string                `toml:"name"`
	Idempotency      string                `toml:"effect"`
	Group            string                `toml:"group"`
	DedupWindow      strictconfig.Duration `toml:"window"`
	LatencyObjective strictconfig.Duration `toml:"aim"`
	Deadline         strictconfig.Duration `toml:"deadline"`
	PriorityWeight   float64               `toml:"worth"`
}

// Read reads and checks a file.
func Read(file string) (*Config, error) { return ReadWithSettings(file, nil) }

// ReadWithSettings reads a file and lays settings over it, if there are any, and checks the whole.
func ReadWithSettings(file string, overlay *Settings) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseWithSettings(file, string(text), overlay)
}

// Parse checks a configuration. file names it in errors.
func Parse(file, text string) (*Config, error) { return parseWithSettings(file, text, nil) }

func parseWithSettings(file, text string, overlay *Settings) (*Config, error) {
	c := &Config{}
	if err := strictconfig.Decode("default.toml", Default, c); err != nil {
		panic(err) // it is part of the program
	}
	if err := strictconfig.Decode(file, text, c); err != nil {
		return nil, err
	}
	if overlay != nil {
		if err := overlay.overlayOn(c); err != nil {
			return nil, err
		}
	}
	c.file, c.text, c.overlay = file, text, overlay
	return c, c.check()
}

// errorAt blames the text that the value comes from.
func (c *Config) errorAt(key, format string, args ...any) error {
	if c.overlay != nil && c.overlay.sets(key) {
		return c.overlay.errorAt(key, format, args...)
	}
	return strictconfig.ErrorAt(c.file, c.text, key, format, args...)
}

func (c *Config) checkAddress(key, value string, required bool) error {
	return addressKey{key, value, required}.check(c.errorAt)
}
