// Package config reads the product's own configuration of an agent: one TOML file, strict, whose defaults are a
// file of the same form that anyone can print.
package config

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

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

// Zones are the zones there are: a list of names, where each stands alone, or a table from names to regions.
type Zones struct {
	Names   []string // sorted by name if they came as a table
	Regions []string // of each; nil: they stand alone

	invalidKey, reason string // a key that holds what can't be: told by check, which knows its line
}

// UnmarshalTOML reads either form.
func (z *Zones) UnmarshalTOML(data any) error {
	*z = Zones{}
	switch data := data.(type) {
	case []any:
		for _, item := range data {
			name, ok := item.(string)
			if !ok {
				z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is no name", item)
			}
			z.Names = append(z.Names, name)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(data)) {
			region, ok := data[name].(string)
			if !ok {
				z.invalidKey, z.reason = "zones."+name, fmt.Sprintf("%v is no region's name", data[name])
			}
			z.Names, z.Regions = append(z.Names, name), append(z.Regions, region)
		}
	default:
		z.invalidKey, z.reason = "zones", fmt.Sprintf("%v is neither a list of names nor a table from names to regions", data)
	}
	return nil
}

// regionIDs are the regions by the number of the first zone that is in each; nil: zones stand alone.
func (z *Zones) regionIDs() (list []int) {
	for _, region := range z.Regions {
		list = append(list, slices.Index(z.Regions, region))
	}
	return list
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

// What the words of a class are called on the platform's wire.
var (
	semanticsByEffect = map[string]string{"safe": "repeatable", "keyed": "by_key", "once": "once"}
	wireGroups        = map[string]string{"": "all", "all": "all", "zone": "zone", "pod": "cell"}
)

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

func (c *Config) check() error {
	if c.Zones.invalidKey != "" {
		return c.errorAt(c.Zones.invalidKey, "%s", c.Zones.reason)
	}
	hasNoPeers := len(c.Peers.Addresses) == 0
	for _, a := range []struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"mgmt", c.Mgmt, false}, {"peers.listen", c.Peers.Listen, !hasNoPeers}} {
		if err := c.checkAddress(a.key, a.value, a.needed); err != nil {
			return err
		}
	}
	for _, a := range c.Peers.Addresses {
		if err := c.checkAddress("peers.addresses", a, true); err != nil {
			return err
		}
	}
	for _, limit := range []struct {
		key            string
		value, low, up float64
	}{
		{"limits.cores", c.Limits.Cores, 0, 64}, {"limits.memory_mb", float64(c.Limits.MemoryMB), 0, 65536},
		{"limits.sockets", float64(c.Limits.Sockets), 32, 1 << 20}, {"limits.open", float64(c.Limits.MaxOpen), 0, 1e6},
		{"attempts.most", float64(c.Attempts.Max), 1, 20}, {"backends.cold_from", c.Backends.InitialCapacity, 0, 1},
		{"backends.fall_multiple", c.Backends.OverloadMultiple, 0, 1000}, {"prices.cross_zone", c.Prices.CrossZone, 0, 1},
		{"prices.cross_region", c.Prices.CrossRegion, 0, 1},
		{"peers.self", float64(c.Peers.Self), 0, max(0, float64(len(c.Peers.Addresses)-1))},
	} {
		if !(limit.value >= limit.low && limit.value <= limit.up) {
			return c.errorAt(limit.key, "%v is not between %v and %v", limit.value, limit.low, limit.up)
		}
	}
	const maxDuration = strictconfig.Duration(24 * time.Hour)
	minDuration := strictconfig.Duration(time.Millisecond)
	for _, limit := range []struct {
		key            string
		value, low, up strictconfig.Duration
	}{
		{"attempts.connect_timeout", c.Attempts.ConnectTimeout, minDuration, maxDuration}, {"attempts.idle_close", c.Attempts.IdleClose, minDuration, maxDuration},
		{"attempts.tick", c.Attempts.Tick, 0, strictconfig.Duration(time.Second)}, {"refusals.grace", c.Rejections.Grace, 0, strictconfig.Duration(time.Second)},
		{"refusals.most_retry_after", c.Rejections.MaxRetryAfter, 0, maxDuration}, {"backends.drain_grace", c.Backends.DrainGrace, 0, maxDuration},
		{"backends.ramp", c.Backends.SlowStartWindow, 0, maxDuration}, {"backends.fall_window", c.Backends.OverloadWindow, 0, maxDuration},
	} {
		if limit.value < limit.low || limit.value > limit.up {
			return c.errorAt(limit.key, "%v is not between %v and %v", limit.value.Duration(), limit.low.Duration(), limit.up.Duration())
		}
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		return c.errorAt("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if c.Lists != "pushed" && c.Lists != "asked" {
		return c.errorAt("lists", `%q is none of "pushed", "asked"`, c.Lists)
	}
	if _, err := netip.ParseAddr(c.Attempts.SourceAddr); c.Attempts.SourceAddr != "" && err != nil {
		return c.errorAt("attempts.from", "%q is no IP address", c.Attempts.SourceAddr)
	}
	if err := c.checkFleet(); err != nil {
		return err
	}
	if !slices.Contains(c.Zones.Names, c.Zone) {
		return c.errorAt("zone", "%q is none of zones", c.Zone)
	}
	if len(c.Classes) == 0 {
		return c.errorAt("class", "at least one [[class]] is needed")
	}
	for i, class := range c.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		switch {
		case class.Name == "":
			return c.errorAt(key("name"), "is needed")
		case semanticsByEffect[class.Idempotency] == "":
			return c.errorAt(key("effect"), `%q is none of "safe", "keyed", "once"`, class.Idempotency)
		case wireGroups[class.Group] == "":
			return c.errorAt(key("group"), `%q is none of "all", "zone", "pod"`, class.Group)
		case class.Idempotency == "keyed" && class.DedupWindow <= 0:
			return c.errorAt(key("window"), "a keyed class needs the time for which repeats are dropped")
		case class.LatencyObjective <= 0 || class.Deadline < class.LatencyObjective || class.Deadline > maxDuration:
			return c.errorAt(key("deadline"), "aim %v and deadline %v: both above 0, the aim no later", class.LatencyObjective.Duration(), class.Deadline.Duration())
		case !(class.PriorityWeight >= 0):
			return c.errorAt(key("worth"), "%v is negative", class.PriorityWeight)
		}
	}
	return nil
}

// Platform is the same configuration in the platform's form.
func (c *Config) Platform() ([]byte, error) {
	ms := func(d strictconfig.Duration) float64 { return d.Duration().Seconds() * 1e3 }
	var profiles []map[string]any
	for _, class := range c.Classes {
		profiles = append(profiles, map[string]any{"Name": class.Name, "AimMs": ms(class.LatencyObjective), "DeadlineMs": ms(class.Deadline), "Worth": class.PriorityWeight,
			"Semantics": semanticsByEffect[class.Idempotency], "Group": wireGroups[class.Group], "WindowMs": ms(class.DedupWindow)})
	}
	seed := c.Seed
	if seed == "" {
		seed = fmt.Sprintf("%016x", rand.Uint64())
	}
	fleet, residency := c.extensions()
	return json.Marshal(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "mgmt": c.Mgmt, "seed": seed,
		"limits":    map[string]any{"cores": c.Limits.Cores, "memory_mb": c.Limits.MemoryMB, "sockets": c.Limits.Sockets},
		"dial_from": c.Attempts.SourceAddr, "peer_listen": c.Peers.Listen, "peers": c.Peers.Addresses,
		"settings": map[string]any{
			"Balancers": max(1, len(c.Peers.Addresses)), "Me": c.Peers.Self, "Zone": slices.Index(c.Zones.Names, c.Zone), "Dcs": c.Zones.Names, "Regions": c.Zones.regionIDs(), "Kinds": c.Kinds,
			"CountedBy": "request", "MembershipMode": map[string]string{"pushed": "automatic", "asked": "subscribe"}[c.Lists], "TickMs": ms(c.Attempts.Tick), "Profiles": profiles,
			"PolicyLimits": map[string]any{"TryLimit": c.Attempts.Max, "SecondCopies": c.Attempts.Hedging, "MayProbe": c.Attempts.HealthChecks,
				"Cancel": c.Attempts.Cancel, "RetryAfter": c.Rejections.RetryAfter, "Peers": len(c.Peers.Addresses) > 1,
				"MaxRetryAfterMs": ms(c.Rejections.MaxRetryAfter), "ConnectTimeoutMs": ms(c.Attempts.ConnectTimeout),
				"IdleCloseMs": ms(c.Attempts.IdleClose), "MaxOpen": c.Limits.MaxOpen},
			"Contract": map[string]any{"AskWithinMs": listPollInterval.Seconds() * 1e3, "DrainGraceMs": ms(c.Backends.DrainGrace), "GraceToAnswerMs": ms(c.Rejections.Grace), "ColdFrom": c.Backends.InitialCapacity,
				"RampTimeMs": ms(c.Backends.SlowStartWindow), "FallMultiple": c.Backends.OverloadMultiple, "FallMs": ms(c.Backends.OverloadWindow)},
			"FamilyInfo": map[string]any{"WarmKeys": c.Backends.WarmKeys}, "Prices": map[string]any{"CrossZone": c.Prices.CrossZone, "CrossRegion": c.Prices.CrossRegion},
			"Goal": map[string]any{"Whole": 1}, "Report": map[string]any{"Source": "off"},
		}})
}
