// Package config reads the configuration of an agent and of a hub: one TOML file each, decoded strictly. The defaults are a
// file of the same form, which "martenbeam config print" prints. The package also reads settings, a document that overrides
// keys in the files of all agents.
//
// # State and owners
//
// The only state of the package in memory is its embedded defaults. The files belong to the operator; the package reads a
// file once per call, and never watches or writes it. The caller owns the result of Read and decides when to read again: an
// agent reads its file at the start and at SIGHUP, a hub only at the start.
//
// Each read checks the merged configuration: the defaults, overridden by the file, overridden by the settings. An error is
// either a file system error or a *strictconfig.Error, which names the document that set the value, the line and the key.
package config

// The configuration of an agent, and reading it.

import (
	_ "embed"
	"os"

	"martenbeam/internal/strictconfig"
)

// Default is the default configuration of an agent, with a comment on what each key means, its unit and its range.
//
//go:embed default.toml
var Default string

// Config is the configuration of one agent. Default explains the keys and their units. Diff lists keys in the order of the
// fields.
type Config struct {
	Name      string    `toml:"name"`
	Listen    string    `toml:"listen"`    // for clients; IP address and port
	Discovery string    `toml:"discovery"` // IP address and port
	Mgmt      string    `toml:"mgmt"`      // for operators; IP address and port, or ""
	Lists     string    `toml:"lists"`     // how the agent gets endpoint lists: "pushed" or "asked"
	Seed      string    `toml:"seed"`      // hexadecimal; "": random
	Zones     Zones     `toml:"zones"`
	Zone      string    `toml:"zone"`
	Kinds     []string  `toml:"kinds"` // of machines
	Limits    Limits    `toml:"limits"`
	Peers     Peers     `toml:"peers"`
	Fleet     Fleet     `toml:"fleet"`
	Residency Residency `toml:"residency"`
	Settings  struct {
		State string `toml:"state"` // folder in which settings are saved across restarts; "": not saved
	} `toml:"settings"`
	Attempts Attempts `toml:"attempts"`
	Refusals Refusals `toml:"refusals"`
	Backends Backends `toml:"backends"`
	Prices   Prices   `toml:"prices"`
	Classes  []Class  `toml:"class"`

	file, text string
	overlay    *Settings // overrides keys of the file; nil: none
}

// Limits are the resources that an agent may use.
type Limits struct {
	Cores    float64 `toml:"cores"`     // 0: all
	MemoryMB int     `toml:"memory_mb"` // 0: no limit
	Sockets  int     `toml:"sockets"`   // file descriptors
	MaxOpen  int     `toml:"open"`      // concurrent requests; 0: as many as the descriptors allow
}

// Peers are the other agents of a fleet that is configured by addresses.
type Peers struct {
	Addresses []string `toml:"addresses"` // of all agents, including this one; in the same order at each agent
	Self      int      `toml:"self"`      // index of this agent in Addresses
	Listen    string   `toml:"listen"`
}

// Attempts configures how a request is sent to backends.
type Attempts struct {
	Max            int                   `toml:"most"` // attempts of one request, including the first
	ConnectTimeout strictconfig.Duration `toml:"connect_timeout"`
	IdleClose      strictconfig.Duration `toml:"idle_close"` // idle time after which backends close a connection
	SourceAddr     string                `toml:"from"`       // local IP address; "": the system chooses
	Hedging        bool                  `toml:"second_copies"`
	Cancel         bool                  `toml:"cancel"`
	HealthChecks   bool                  `toml:"probes"`
	Tick           strictconfig.Duration `toml:"tick"` // minimum time between two decisions
}

// Refusals configures the responses to requests that are not served.
type Refusals struct {
	RetryAfter    bool                  `toml:"retry_after"`
	MaxRetryAfter strictconfig.Duration `toml:"most_retry_after"`
	Grace         strictconfig.Duration `toml:"grace"` // time after a request's deadline in which a final answer still counts
}

// Backends describes how backends start, drain and become overloaded.
type Backends struct {
	DrainGrace       strictconfig.Duration `toml:"drain_grace"`
	InitialCapacity  float64               `toml:"cold_from"` // fraction of the capacity, 0 to 1
	SlowStartWindow  strictconfig.Duration `toml:"ramp"`
	OverloadMultiple float64               `toml:"fall_multiple"` // of its current capacity; a starting backend fails above this load; 0: never
	OverloadWindow   strictconfig.Duration `toml:"fall_window"`   // time over which load and capacity are compared
	WarmKeys         bool                  `toml:"warm_keys"`
}

// Prices are the costs of sending to another zone, as fractions of a request's value, 0 to 1.
type Prices struct {
	CrossZone   float64 `toml:"cross_zone"`
	CrossRegion float64 `toml:"cross_region"`
}

// Class is a class of requests, selected by the first part of the path.
type Class struct {
	Name             string                `toml:"name"`
	Idempotency      string                `toml:"effect"` // "safe", "keyed" or "once"
	Group            string                `toml:"group"`  // backends that drop each other's duplicates: "all", "zone" or "pod"; "": "all"
	DedupWindow      strictconfig.Duration `toml:"window"` // time for which backends drop duplicates; only for "keyed"
	LatencyObjective strictconfig.Duration `toml:"aim"`
	Deadline         strictconfig.Duration `toml:"deadline"`
	PriorityWeight   float64               `toml:"worth"`
}

// Read reads and checks an agent's file.
func Read(file string) (*Config, error) { return ReadWithSettings(file, nil) }

// ReadWithSettings reads an agent's file, overrides its keys with those of overlay, and checks the result. overlay may be
// nil.
func ReadWithSettings(file string, overlay *Settings) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseWithSettings(file, string(text), overlay)
}

// Parse parses and checks the text of an agent's file. file names the text in errors.
func Parse(file, text string) (*Config, error) { return parseWithSettings(file, text, nil) }

// parseWithSettings merges the defaults, the file and the settings: the file overrides the defaults, and the settings override
// the file. If a check fails, parseWithSettings returns the configuration along with the error.
func parseWithSettings(file, text string, overlay *Settings) (*Config, error) {
	c := &Config{}
	if err := strictconfig.Decode("default.toml", Default, c); err != nil {
		panic(err) // the defaults are part of the program
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

// errorAt returns an error that names a key, and the document and line that set its value.
func (c *Config) errorAt(key, format string, args ...any) error {
	if c.overlay != nil && c.overlay.sets(key) {
		return c.overlay.errorAt(key, format, args...)
	}
	return strictconfig.ErrorAt(c.file, c.text, key, format, args...)
}
