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
		Open     int     `toml:"open"`
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
		Most           int                   `toml:"most"`
		ConnectTimeout strictconfig.Duration `toml:"connect_timeout"`
		IdleClose      strictconfig.Duration `toml:"idle_close"`
		From           string                `toml:"from"`
		SecondCopies   bool                  `toml:"second_copies"`
		Cancel         bool                  `toml:"cancel"`
		Probes         bool                  `toml:"probes"`
		Tick           strictconfig.Duration `toml:"tick"`
	} `toml:"attempts"`
	Refusals struct {
		RetryAfter     bool                  `toml:"retry_after"`
		MostRetryAfter strictconfig.Duration `toml:"most_retry_after"`
		Grace          strictconfig.Duration `toml:"grace"`
	} `toml:"refusals"`
	Backends struct {
		DrainGrace   strictconfig.Duration `toml:"drain_grace"`
		ColdFrom     float64               `toml:"cold_from"`
		Ramp         strictconfig.Duration `toml:"ramp"`
		FallMultiple float64               `toml:"fall_multiple"`
		FallWindow   strictconfig.Duration `toml:"fall_window"`
		WarmKeys     bool                  `toml:"warm_keys"`
	} `toml:"backends"`
	Prices struct {
		CrossZone   float64 `toml:"cross_zone"`
		CrossRegion float64 `toml:"cross_region"`
	} `toml:"prices"`
	Classes []Class `toml:"class"`

	file, text string
	over       *Settings // laid over the file; may be nil
}

// Zones are the zones there are: a list of names, where each stands alone, or a table from names to regions.
type Zones struct {
	Names   []string // sorted by name if they came as a table
	Regions []string // of each; nil: they stand alone

	bad, why string // a key that holds what can't be: told by check, which knows its line
}

// UnmarshalTOML reads either form.
func (z *Zones) UnmarshalTOML(data any) error {
	*z = Zones{}
	switch data := data.(type) {
	case []any:
		for _, x := range data {
			name, ok := x.(string)
			if !ok {
				z.bad, z.why = "zones", fmt.Sprintf("%v is no name", x)
			}
			z.Names = append(z.Names, name)
		}
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(data)) {
			region, ok := data[name].(string)
			if !ok {
				z.bad, z.why = "zones."+name, fmt.Sprintf("%v is no region's name", data[name])
			}
			z.Names, z.Regions = append(z.Names, name), append(z.Regions, region)
		}
	default:
		z.bad, z.why = "zones", fmt.Sprintf("%v is neither a list of names nor a table from names to regions", data)
	}
	return nil
}

// numbers are the regions by the number of the first zone that is in each; nil: zones stand alone.
func (z *Zones) numbers() (list []int) {
	for _, region := range z.Regions {
		list = append(list, slices.Index(z.Regions, region))
	}
	return list
}

// Class is one class of requests.
type Class struct {
	Name     string                `toml:"name"`
	Effect   string                `toml:"effect"`
	Group    string                `toml:"group"`
	Window   strictconfig.Duration `toml:"window"`
	Aim      strictconfig.Duration `toml:"aim"`
	Deadline strictconfig.Duration `toml:"deadline"`
	Worth    float64               `toml:"worth"`
}

// What the words of a class are called on the platform's wire.
var (
	effects = map[string]string{"safe": "repeatable", "keyed": "by_key", "once": "once"}
	groups  = map[string]string{"": "all", "all": "all", "zone": "zone", "pod": "cell"}
)

// Read reads and checks a file.
func Read(file string) (*Config, error) { return ReadWith(file, nil) }

// ReadWith reads a file and lays settings over it, if there are any, and checks the whole.
func ReadWith(file string, over *Settings) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseWith(file, string(text), over)
}

// Parse checks a configuration. file names it in errors.
func Parse(file, text string) (*Config, error) { return parseWith(file, text, nil) }

func parseWith(file, text string, over *Settings) (*Config, error) {
	c := &Config{}
	if err := strictconfig.Decode("default.toml", Default, c); err != nil {
		panic(err) // it is part of the program
	}
	if err := strictconfig.Decode(file, text, c); err != nil {
		return nil, err
	}
	if over != nil {
		if err := over.lay(c); err != nil {
			return nil, err
		}
	}
	c.file, c.text, c.over = file, text, over
	return c, c.check()
}

// wrong blames the text that the value comes from.
func (c *Config) wrong(key, format string, args ...any) error {
	if c.over != nil && c.over.sets(key) {
		return c.over.wrong(key, format, args...)
	}
	return strictconfig.At(c.file, c.text, key, format, args...)
}

func (c *Config) address(key, value string, needed bool) error {
	return addressKey{key, value, needed}.check(c.wrong)
}

func (c *Config) check() error {
	if c.Zones.bad != "" {
		return c.wrong(c.Zones.bad, "%s", c.Zones.why)
	}
	alone := len(c.Peers.Addresses) == 0
	for _, a := range []struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"discovery", c.Discovery, true}, {"mgmt", c.Mgmt, false}, {"peers.listen", c.Peers.Listen, !alone}} {
		if err := c.address(a.key, a.value, a.needed); err != nil {
			return err
		}
	}
	for _, a := range c.Peers.Addresses {
		if err := c.address("peers.addresses", a, true); err != nil {
			return err
		}
	}
	for _, r := range []struct {
		key            string
		value, low, up float64
	}{
		{"limits.cores", c.Limits.Cores, 0, 64}, {"limits.memory_mb", float64(c.Limits.MemoryMB), 0, 65536},
		{"limits.sockets", float64(c.Limits.Sockets), 32, 1 << 20}, {"limits.open", float64(c.Limits.Open), 0, 1e6},
		{"attempts.most", float64(c.Attempts.Most), 1, 20}, {"backends.cold_from", c.Backends.ColdFrom, 0, 1},
		{"backends.fall_multiple", c.Backends.FallMultiple, 0, 1000}, {"prices.cross_zone", c.Prices.CrossZone, 0, 1},
		{"prices.cross_region", c.Prices.CrossRegion, 0, 1},
		{"peers.self", float64(c.Peers.Self), 0, max(0, float64(len(c.Peers.Addresses)-1))},
	} {
		if !(r.value >= r.low && r.value <= r.up) {
			return c.wrong(r.key, "%v is not between %v and %v", r.value, r.low, r.up)
		}
	}
	const longest = strictconfig.Duration(24 * time.Hour)
	least := strictconfig.Duration(time.Millisecond)
	for _, r := range []struct {
		key            string
		value, low, up strictconfig.Duration
	}{
		{"attempts.connect_timeout", c.Attempts.ConnectTimeout, least, longest}, {"attempts.idle_close", c.Attempts.IdleClose, least, longest},
		{"attempts.tick", c.Attempts.Tick, 0, strictconfig.Duration(time.Second)}, {"refusals.grace", c.Refusals.Grace, 0, strictconfig.Duration(time.Second)},
		{"refusals.most_retry_after", c.Refusals.MostRetryAfter, 0, longest}, {"backends.drain_grace", c.Backends.DrainGrace, 0, longest},
		{"backends.ramp", c.Backends.Ramp, 0, longest}, {"backends.fall_window", c.Backends.FallWindow, 0, longest},
	} {
		if r.value < r.low || r.value > r.up {
			return c.wrong(r.key, "%v is not between %v and %v", r.value.D(), r.low.D(), r.up.D())
		}
	}
	if _, err := strconv.ParseUint(c.Seed, 16, 64); c.Seed != "" && err != nil {
		return c.wrong("seed", "%q is not a hexadecimal number of up to 16 digits", c.Seed)
	}
	if c.Lists != "pushed" && c.Lists != "asked" {
		return c.wrong("lists", `%q is none of "pushed", "asked"`, c.Lists)
	}
	if _, err := netip.ParseAddr(c.Attempts.From); c.Attempts.From != "" && err != nil {
		return c.wrong("attempts.from", "%q is no IP address", c.Attempts.From)
	}
	if err := c.checkFleet(); err != nil {
		return err
	}
	if !slices.Contains(c.Zones.Names, c.Zone) {
		return c.wrong("zone", "%q is none of zones", c.Zone)
	}
	if len(c.Classes) == 0 {
		return c.wrong("class", "at least one [[class]] is needed")
	}
	for i, k := range c.Classes {
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i, name) }
		switch {
		case k.Name == "":
			return c.wrong(key("name"), "is needed")
		case effects[k.Effect] == "":
			return c.wrong(key("effect"), `%q is none of "safe", "keyed", "once"`, k.Effect)
		case groups[k.Group] == "":
			return c.wrong(key("group"), `%q is none of "all", "zone", "pod"`, k.Group)
		case k.Effect == "keyed" && k.Window <= 0:
			return c.wrong(key("window"), "a keyed class needs the time for which repeats are dropped")
		case k.Aim <= 0 || k.Deadline < k.Aim || k.Deadline > longest:
			return c.wrong(key("deadline"), "aim %v and deadline %v: both above 0, the aim no later", k.Aim.D(), k.Deadline.D())
		case !(k.Worth >= 0):
			return c.wrong(key("worth"), "%v is negative", k.Worth)
		}
	}
	return nil
}

// Platform is the same configuration in the platform's form.
func (c *Config) Platform() ([]byte, error) {
	ms := func(d strictconfig.Duration) float64 { return d.D().Seconds() * 1e3 }
	var profiles []map[string]any
	for _, k := range c.Classes {
		profiles = append(profiles, map[string]any{"Name": k.Name, "AimMs": ms(k.Aim), "DeadlineMs": ms(k.Deadline), "Worth": k.Worth,
			"Semantics": effects[k.Effect], "Group": groups[k.Group], "WindowMs": ms(k.Window)})
	}
	seed := c.Seed
	if seed == "" {
		seed = fmt.Sprintf("%016x", rand.Uint64())
	}
	fleet, residency := c.shared()
	return json.Marshal(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "mgmt": c.Mgmt, "seed": seed,
		"limits":    map[string]any{"cores": c.Limits.Cores, "memory_mb": c.Limits.MemoryMB, "sockets": c.Limits.Sockets},
		"dial_from": c.Attempts.From, "peer_listen": c.Peers.Listen, "peers": c.Peers.Addresses,
		"settings": map[string]any{
			"Balancers": max(1, len(c.Peers.Addresses)), "Me": c.Peers.Self, "Zone": slices.Index(c.Zones.Names, c.Zone), "Dcs": c.Zones.Names, "Regions": c.Zones.numbers(), "Kinds": c.Kinds,
			"CountedBy": "request", "MembershipMode": map[string]string{"pushed": "automatic", "asked": "subscribe"}[c.Lists], "TickMs": ms(c.Attempts.Tick), "Profiles": profiles,
			"PolicyLimits": map[string]any{"TryLimit": c.Attempts.Most, "SecondCopies": c.Attempts.SecondCopies, "MayProbe": c.Attempts.Probes,
				"Cancel": c.Attempts.Cancel, "RetryAfter": c.Refusals.RetryAfter, "Peers": len(c.Peers.Addresses) > 1,
				"MaxRetryAfterMs": ms(c.Refusals.MostRetryAfter), "ConnectTimeoutMs": ms(c.Attempts.ConnectTimeout),
				"IdleCloseMs": ms(c.Attempts.IdleClose), "MaxOpen": c.Limits.Open},
			"Contract": map[string]any{"AskWithinMs": askWithin.Seconds() * 1e3, "DrainGraceMs": ms(c.Backends.DrainGrace), "GraceToAnswerMs": ms(c.Refusals.Grace), "ColdFrom": c.Backends.ColdFrom,
				"RampTimeMs": ms(c.Backends.Ramp), "FallMultiple": c.Backends.FallMultiple, "FallMs": ms(c.Backends.FallWindow)},
			"FamilyInfo": map[string]any{"WarmKeys": c.Backends.WarmKeys}, "Prices": map[string]any{"CrossZone": c.Prices.CrossZone, "CrossRegion": c.Prices.CrossRegion},
			"Goal": map[string]any{"Whole": 1}, "Report": map[string]any{"Source": "off"},
		}})
}
