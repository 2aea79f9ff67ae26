// Package config reads the configuration of an agent and of a hub: one TOML file each, decoded strictly, whose defaults are a
// file of the same form that anyone can print. It also reads settings, a document that is laid over the files of all agents.
//
// # State and owners
//
// The package has no state in memory but its embedded defaults. The files belong to the operator; the package reads one when
// asked to and never watches or writes it. What Read returns belongs to the caller. How old it may be is the caller's
// choice: an agent reads its file at the start and at SIGHUP, a hub at the start alone.
//
// A configuration is checked as a whole when it is read, after the defaults, the file and the settings have been laid over
// each other. Errors are of type *strictconfig.Error and name the text that the value came from, its line and key; or they
// are those of the file system.
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

// Config is the configuration of one agent. The keys and their units are explained in Default. The order of the fields is
// the order in which Diff lists them.
type Config struct {
	Name      string    `toml:"name"`
	Listen    string    `toml:"listen"`    // for clients; IP address and port
	Discovery string    `toml:"discovery"` // IP address and port
	Mgmt      string    `toml:"mgmt"`      // for operators; IP address and port, or ""
	Lists     string    `toml:"lists"`     // "pushed" or "asked"
	Seed      string    `toml:"seed"`      // hexadecimal; "": random
	Zones     Zones     `toml:"zones"`
	Zone      string    `toml:"zone"`
	Kinds     []string  `toml:"kinds"` // of machines
	Limits    Limits    `toml:"limits"`
	Peers     Peers     `toml:"peers"`
	Fleet     Fleet     `toml:"fleet"`
	Residency Residency `toml:"residency"`
	Settings  struct {
		State string `toml:"state"` // a folder in which settings are saved over restarts; "": nowhere
	} `toml:"settings"`
	Attempts   Attempts   `toml:"attempts"`
	Rejections Rejections `toml:"refusals"`
	Backends   Backends   `toml:"backends"`
	Prices     Prices     `toml:"prices"`
	Classes    []Class    `toml:"class"`

	file, text string
	overlay    *Settings // laid over the file; nil: none
}

// Limits are the resources that an agent may use.
type Limits struct {
	Cores    float64 `toml:"cores"`     // 0: all
	MemoryMB int     `toml:"memory_mb"` // 0: no limit
	Sockets  int     `toml:"sockets"`   // file descriptors
	MaxOpen  int     `toml:"open"`      // requests at a time; 0: as many as the descriptors allow
}

// Peers are the other agents of a fleet that is configured by addresses.
type Peers struct {
	Addresses []string `toml:"addresses"` // in the same order at each agent, this one included
	Self      int      `toml:"self"`      // index of this agent in Addresses
	Listen    string   `toml:"listen"`
}

// Attempts says how a request is sent to backends.
type Attempts struct {
	Max            int                   `toml:"most"` // of one request, the first included
	ConnectTimeout strictconfig.Duration `toml:"connect_timeout"`
	IdleClose      strictconfig.Duration `toml:"idle_close"` // after which backends close an idle connection
	SourceAddr     string                `toml:"from"`       // local IP address; "": the system chooses
	Hedging        bool                  `toml:"second_copies"`
	Cancel         bool                  `toml:"cancel"`
	HealthChecks   bool                  `toml:"probes"`
	Tick           strictconfig.Duration `toml:"tick"` // minimum time between two decisions
}

// Rejections says how a request that is not served is answered.
type Rejections struct {
	RetryAfter    bool                  `toml:"retry_after"`
	MaxRetryAfter strictconfig.Duration `toml:"most_retry_after"`
	Grace         strictconfig.Duration `toml:"grace"` // past a request's deadline, in which an answer still counts
}

// Backends says how backends start and leave.
type Backends struct {
	DrainGrace       strictconfig.Duration `toml:"drain_grace"`
	InitialCapacity  float64               `toml:"cold_from"` // share of the capacity, 0 to 1
	SlowStartWindow  strictconfig.Duration `toml:"ramp"`
	OverloadMultiple float64               `toml:"fall_multiple"` // of the present capacity; 0: never overloaded
	OverloadWindow   strictconfig.Duration `toml:"fall_window"`
	WarmKeys         bool                  `toml:"warm_keys"`
}

// Prices are the costs of sending to another zone, as shares of a request's value, 0 to 1.
type Prices struct {
	CrossZone   float64 `toml:"cross_zone"`
	CrossRegion float64 `toml:"cross_region"`
}

// Class is a class of requests, by the first part of their path.
type Class struct {
	Name             string                `toml:"name"`
	Idempotency      string                `toml:"effect"` // "safe", "keyed" or "once"
	Group            string                `toml:"group"`  // of backends that drop repeats: "all", "zone" or "pod"; "": "all"
	DedupWindow      strictconfig.Duration `toml:"window"` // for which repeats are dropped, if keyed
	LatencyObjective strictconfig.Duration `toml:"aim"`
	Deadline         strictconfig.Duration `toml:"deadline"`
	PriorityWeight   float64               `toml:"worth"`
}

// Read reads and checks an agent's file.
func Read(file string) (*Config, error) { return ReadWithSettings(file, nil) }

// ReadWithSettings reads an agent's file, lays settings over it and checks the result. overlay may be nil.
func ReadWithSettings(file string, overlay *Settings) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseWithSettings(file, string(text), overlay)
}

// Parse checks the text of an agent's file. file names it in errors.
func Parse(file, text string) (*Config, error) { return parseWithSettings(file, text, nil) }

// parseWithSettings lays the file over the defaults, and the settings over both. It returns a configuration also with the
// error of a check.
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

// errorAt returns an error about a key, at the text that its value came from.
func (c *Config) errorAt(key, format string, args ...any) error {
	if c.overlay != nil && c.overlay.sets(key) {
		return c.overlay.errorAt(key, format, args...)
	}
	return strictconfig.ErrorAt(c.file, c.text, key, format, args...)
}
