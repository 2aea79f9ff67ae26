// Package scenario reads what a lab is to play: the fleet, its load, and a schedule of faults.
package scenario

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/strictconfig"
)

// Scenario is one day in the lab.
type Scenario struct {
	Name   string                `toml:"name"`
	About  string                `toml:"about"`
	For    strictconfig.Duration `toml:"for"`
	Settle strictconfig.Duration `toml:"settle"` // nothing before counts
	Fleet  Fleet                 `toml:"fleet"`
	Load   Load                  `toml:"load"`
	World  World                 `toml:"world"`
	Lists  Lists                 `toml:"lists"`
	Limits Limits                `toml:"limits"`
	Shared Shared                `toml:"shared"`
	Faults []Fault               `toml:"fault"`

	Again strictconfig.Duration `toml:"-"` // the schedule begins anew after so long; 0: never

	file, text string
}

// Fleet is who is there.
type Fleet struct {
	Agents   int      `toml:"agents"`
	Backends int      `toml:"backends"`
	Zones    []string `toml:"zones"`
	ZoneSize []int    `toml:"zone_size"` // backends of each zone; empty: evenly
	Regions  []string `toml:"regions"`   // the region of each zone; empty: each zone stands alone
	Pod      int      `toml:"pod"`       // backends of one pod
}

// Load is what clients ask for.
type Load struct {
	Rate      float64 `toml:"rate"`       // requests a second, over all agents
	Of        float64 `toml:"of"`         // of what the warm backends can do; work is scaled to it
	Skew      float64 `toml:"skew"`       // how unevenly agents are asked: the coefficient of variation
	Keys      int     `toml:"keys"`       // distinct keys
	KeySkew   float64 `toml:"key_skew"`   // the exponent of their popularity
	Retries   int     `toml:"retries"`    // a client's further tries after a refusal or an unreachable agent
	Patience  float64 `toml:"patience"`   // share of the class's give-up time that a try waits
	Impatient float64 `toml:"impatient"`  // share of clients that leave within the aim
	Honour    float64 `toml:"honour"`     // share of clients that heed Retry-After
	OverShare float64 `toml:"over_share"` // worth of what a tenant asks beyond its share
}

// Range is drawn from evenly; one number twice is fixed.
type Range [2]float64

// World is what machines are like.
type World struct {
	SlotsPerCore Range                 `toml:"slots_per_core"`
	RoomPerCore  Range                 `toml:"room_per_core"` // requests that wait
	Thrash       Range                 `toml:"thrash"`
	ThrashAt     Range                 `toml:"thrash_at"`
	ColdFrom     Range                 `toml:"cold_from"`
	RampS        Range                 `toml:"ramp_s"`
	FallMultiple float64               `toml:"fall_multiple"`
	FallWindow   strictconfig.Duration `toml:"fall_window"`
	Choke        bool                  `toml:"choke"`
	ErrorRate    Range                 `toml:"error_rate"`
	KeyGain      Range                 `toml:"key_gain"`
	KeyForS      Range                 `toml:"key_for_s"`
	KeysPerCore  int                   `toml:"keys_per_core"`
	Conns        Range                 `toml:"conns"`
	HandshakeMs  Range                 `toml:"handshake_ms"`
	SameMs       Range                 `toml:"same_ms"` // one way within a zone
	CrossMs      Range                 `toml:"cross_ms"`
	FarMs        Range                 `toml:"far_ms"` // between regions
	PeerMs       Range                 `toml:"peer_ms"`
	Jitter       float64               `toml:"jitter"`
}

// Lists is how discovery tells of changes.
type Lists struct {
	NoticeS Range `toml:"notice_s"` // until it tells of a process that ended or drains
	SilentS Range `toml:"silent_s"` // of a machine that fell silent
	AddS    Range `toml:"add_s"`    // of one that came

	Indented bool    `toml:"indented"` // written over several lines
	Asked    bool    `toml:"asked"`    // told only to who asks, by one service of fixed capacity for all
	Rate     float64 `toml:"rate"`     // whole lists a second that it bears
	QueueS   float64 `toml:"queue_s"`  // a call that would wait longer fails
	Change   float64 `toml:"change"`   // what a call that goes on from a version costs, as a share of a whole list
	Known    string  `toml:"known"`    // what an agent that starts anew is handed: "now", "first", "none"
}

// Shared is what the agents of the fleet share.
type Shared struct {
	On      bool `toml:"on"`      // they have a fleet
	Relayed bool `toml:"relayed"` // and lists come by way of a few of them: a backend has one address for all then, and the
	// network can't keep a single agent from it
	Matrix  bool                  `toml:"matrix"`  // and round trips are measured, and steer
	Policy  string                `toml:"policy"`  // the residency policy at the start; "": none
	Bound   strictconfig.Duration `toml:"bound"`   // in which a tightening has to hold
	Sources int                   `toml:"sources"` // agents that are given the policy, the first ones; where there are hubs, hubs

	Hubs          int                   `toml:"hubs"`           // processes between the agents, hub i in zone i; 0: a flat fleet
	Flat          bool                  `toml:"flat"`           // agents that find no hub have a flat fleet to fall back to
	Settings      string                `toml:"settings"`       // of all agents at the start, given to hubs; "": none
	SettingsBound strictconfig.Duration `toml:"settings_bound"` // in which a change is in force at every agent that a hub can reach
}

// Limits are what an agent is told that it may use.
type Limits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	LateMs   float64 `toml:"late_ms"` // the lab's own lateness, 99th percentile, past which a run is void
}

// Fault is one entry of the schedule.
type Fault struct {
	At   strictconfig.Duration `toml:"at"`
	For  strictconfig.Duration `toml:"for"` // 0: to the end, or at once
	What string                `toml:"what"`
	Who  string                `toml:"who"` // a set of parties, see Parse
	From string                `toml:"from"`
	To   string                `toml:"to"`
	Both bool                  `toml:"both"` // also the other direction

	Protocol  string                `toml:"protocol"` // "tcp", "udp"; "": both
	Delay     strictconfig.Duration `toml:"delay"`
	Jitter    strictconfig.Duration `toml:"jitter"`
	Lose      float64               `toml:"lose"`
	Duplicate float64               `toml:"duplicate"`
	Reorder   float64               `toml:"reorder"`
	Cut       bool                  `toml:"cut"`
	Refuse    bool                  `toml:"refuse"`
	Reset     bool                  `toml:"reset"`

	Size    float64               `toml:"size"`    // of a burst, of failures, of what a neighbour takes
	On      strictconfig.Duration `toml:"on"`      // a neighbour's time on, and off
	After   strictconfig.Duration `toml:"after"`   // a restart's delay
	Restart string                `toml:"restart"` // "empty", "kept", "never"
	Steps   int                   `toml:"steps"`   // in so many equal parts over For
	Text    string                `toml:"text"`    // a policy, or settings
	Series  int                   `toml:"series"`  // further signals of a term: SIGHUP and SIGTERM in turn
	Step    strictconfig.Duration `toml:"step"`    // of the wall clock, in whole seconds; back after For
	Call    string                `toml:"call"`    // the system call that fails, as package inject names it
	Errno   int                   `toml:"errno"`   // with what
	Path    string                `toml:"path"`    // on files whose name holds this; "": any
	Times   int                   `toml:"times"`   // so often; 0: for all of For
}

// What a schedule may hold.
const (
	Link        = "link"
	Kill        = "kill"      // SIGKILL to agents or hubs, and a restart
	Term        = "term"      // SIGTERM, and a restart once they have ended
	Stop        = "stop"      // SIGSTOP, SIGCONT after For
	ZoneLost    = "zone-lost" // its backends fall silent and come back cold
	ZoneCut     = "zone-cut"  // nothing passes its border
	ZoneDeaf    = "zone-deaf" // it is heard but hears nothing from beyond its border
	Replace     = "replace"   // backends drain and others come in their place
	Drain       = "drain"
	Bad         = "bad"         // backends fail a share of requests at once
	Slow        = "slow"        // another program takes the share Size all the time
	Neighbour   = "neighbour"   // another program takes a share of backends, on and off
	Burst       = "burst"       // Size times the load
	ListSilent  = "list-silent" // discovery says nothing
	ListAway    = "list-away"   // discovery turns callers away
	ListRewind  = "list-rewind" // discovery starts again from an old version
	Power       = "power"       // a zone's agents and backends end at once and come back together
	Policy      = "policy"      // a residency policy is given to those of Who that are its sources
	Settings    = "settings"    // settings of all agents are given to those hubs of Who that are their sources
	Reload      = "reload"      // discovery moves to another address: a new configuration and SIGHUP
	Wall        = "wall"        // agents' wall clocks are stepped; needs an agent that package inject has built
	Fail        = "fail"        // agents' system calls fail; the same
	Crowd       = "crowd"       // Size idle clients hold connections to each agent, and come again when they are sent away
	restartNone = "never"
)

var kinds = []string{Link, Kill, Term, Stop, ZoneLost, ZoneCut, ZoneDeaf, Replace, Drain, Bad, Slow, Neighbour, Burst,
	ListSilent, ListAway, ListRewind, Power, Policy, Settings, Reload, Wall, Fail, Crowd}

// Default is a calm day: what a scenario does not say.
func Default() Scenario {
	return Scenario{
		For: strictconfig.Duration(30 * time.Second), Settle: strictconfig.Duration(3 * time.Second),
		Fleet: Fleet{Agents: 24, Backends: 24, Zones: []string{"riga-ziepniekkalns", "riga-purvciems", "marupe"}, Pod: 6},
		Load: Load{Rate: 500, Of: 0.75, Skew: 0.8, Keys: 1200, KeySkew: 0.8, Retries: 1, Patience: 0.9, Impatient: 0.01, Honour: 0.9,
			OverShare: 0.2},
		World: World{SlotsPerCore: Range{2, 6}, RoomPerCore: Range{220, 600}, Thrash: Range{0.3, 0.55},
			ThrashAt: Range{4.1, 6.8}, ColdFrom: Range{0.12, 0.35}, RampS: Range{10, 20}, FallMultiple: 3,
			FallWindow: strictconfig.Duration(2 * time.Second), Choke: true, ErrorRate: Range{0, 0.002}, KeyGain: Range{0.3, 0.6},
			KeyForS: Range{3, 8}, KeysPerCore: 15, Conns: Range{400, 520}, HandshakeMs: Range{0.2, 0.5}, SameMs: Range{0.1, 0.26},
			CrossMs: Range{0.78, 1.4}, FarMs: Range{4, 9}, PeerMs: Range{1.4, 6}, Jitter: 0.25},
		Lists:  Lists{NoticeS: Range{0.5, 2}, SilentS: Range{4.3, 6}, AddS: Range{0.44, 1.5}, Rate: 50, QueueS: 2, Change: 0.2, Known: "now"},
		Shared: Shared{Bound: strictconfig.Duration(3 * time.Second), Sources: 1, SettingsBound: strictconfig.Duration(14 * time.Second)},
		Limits: Limits{Cores: 1, MemoryMB: 128, Sockets: 768, LateMs: 20},
	}
}

//go:embed builtin/*.toml
var builtin embed.FS

// Names are the built-in scenarios, in order.
func Names() (names []string) {
	entries, err := builtin.ReadDir("builtin")
	if err != nil {
		panic(err) // it is part of the program
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Read reads a scenario by its built-in name or from a file. What it does not say is as on a calm day.
func Read(name string) (*Scenario, error) {
	file, text := name, []byte(nil)
	var err error
	if slices.Contains(Names(), name) {
		file = path.Join("builtin", name+".toml")
		text, err = builtin.ReadFile(file)
	} else if strings.HasSuffix(name, ".toml") {
		text, err = os.ReadFile(name)
	} else {
		return nil, fmt.Errorf("no scenario is called %q; there are %s, or name a .toml file", name, strings.Join(Names(), ", "))
	}
	if err != nil {
		return nil, err
	}
	return parse(file, string(text))
}

func parse(file, text string) (*Scenario, error) {
	s := Default()
	if err := strictconfig.Decode(file, text, &s); err != nil {
		return nil, err
	}
	s.file, s.text = file, text
	if s.Name == "" {
		s.Name = strings.TrimSuffix(path.Base(file), ".toml")
	}
	return &s, s.Check()
}

func (s *Scenario) wrong(key, format string, args ...any) error {
	return strictconfig.ErrorAt(s.file, s.text, key, format, args...)
}

// Most of what one lab plays.
const (
	MostAgents, MostBackends = 2000, 4000
	mostHubs                 = 64
	Longest                  = time.Hour
)

// Check says what can't be played.
func (s *Scenario) Check() error {
	zones := len(s.Fleet.Zones)
	sum := 0
	for _, n := range s.Fleet.ZoneSize {
		sum += n
	}
	if len(s.Fleet.ZoneSize) > 0 {
		s.Fleet.Backends = sum
	}
	switch {
	case s.For <= 0 || s.For.Duration() > Longest:
		return s.wrong("for", "%v is not between 0 and %v", s.For.Duration(), Longest)
	case s.Settle < 0 || s.Settle >= s.For:
		return s.wrong("settle", "%v is not below the run's %v", s.Settle.Duration(), s.For.Duration())
	case s.Fleet.Agents < 1 || s.Fleet.Agents > MostAgents:
		return s.wrong("fleet.agents", "%d is not between 1 and %d", s.Fleet.Agents, MostAgents)
	case s.Fleet.Backends < 1 || s.Fleet.Backends > MostBackends:
		return s.wrong("fleet.backends", "%d is not between 1 and %d", s.Fleet.Backends, MostBackends)
	case zones < 1:
		return s.wrong("fleet.zones", "at least one is needed")
	case len(s.Fleet.ZoneSize) > 0 && len(s.Fleet.ZoneSize) != zones:
		return s.wrong("fleet.zone_size", "%d sizes for %d zones", len(s.Fleet.ZoneSize), zones)
	case len(s.Fleet.Regions) > 0 && len(s.Fleet.Regions) != zones:
		return s.wrong("fleet.regions", "%d regions for %d zones", len(s.Fleet.Regions), zones)
	case s.Fleet.Pod < 1:
		return s.wrong("fleet.pod", "%d is not a number of backends", s.Fleet.Pod)
	case !(s.Load.Rate > 0 && s.Load.Rate <= 1e5):
		return s.wrong("load.rate", "%v is not between 0 and 100000 a second", s.Load.Rate)
	case !(s.Load.Of > 0 && s.Load.Of <= 10):
		return s.wrong("load.of", "%v is not between 0 and 10", s.Load.Of)
	case s.Load.Keys < 1:
		return s.wrong("load.keys", "%d is not a number of keys", s.Load.Keys)
	case s.Load.Retries < 0 || s.Load.Retries > 10:
		return s.wrong("load.retries", "%d is not between 0 and 10", s.Load.Retries)
	case !(s.Load.Patience > 0 && s.Load.Patience <= 1):
		return s.wrong("load.patience", "%v is not between 0 and 1", s.Load.Patience)
	case !slices.Contains([]string{"now", "first", "none"}, s.Lists.Known):
		return s.wrong("lists.known", "%q is none of now, first, none", s.Lists.Known)
	case !(s.Lists.Rate > 0 && s.Lists.QueueS >= 0 && s.Lists.Change > 0):
		return s.wrong("lists.rate", "rate %v and change %v have to be above 0, queue_s %v not below", s.Lists.Rate, s.Lists.Change, s.Lists.QueueS)
	case s.Shared.Hubs < 0 || s.Shared.Hubs > min(zones, mostHubs) || s.Shared.Hubs > 0 && !s.Shared.On:
		return s.wrong("shared.hubs", "%d hubs: they need shared.on, and there is at most one a zone, of which there are %d", s.Shared.Hubs, zones)
	case s.Shared.Policy != "" && (!s.Shared.On || s.Shared.Sources < 1 || s.Shared.Sources > s.sources() || s.Shared.Bound <= 0):
		return s.wrong("shared.policy", "a policy needs shared.on, from 1 to %d sources and a bound", s.sources())
	case s.Shared.Settings != "" && (s.Shared.Hubs < 1 || s.Shared.Sources < 1 || s.Shared.Sources > s.Shared.Hubs || s.Shared.SettingsBound <= 0):
		return s.wrong("shared.settings", "settings need hubs, from 1 to %d sources of them and a bound", s.Shared.Hubs)
	case s.Limits.Sockets < 64:
		return s.wrong("limits.sockets", "%d is not at least 64", s.Limits.Sockets)
	}
	for key, r := range map[string]Range{"world.slots_per_core": s.World.SlotsPerCore, "world.room_per_core": s.World.RoomPerCore,
		"world.cold_from": s.World.ColdFrom, "world.ramp_s": s.World.RampS, "world.conns": s.World.Conns, "lists.notice_s": s.Lists.NoticeS,
		"lists.silent_s": s.Lists.SilentS, "lists.add_s": s.Lists.AddS, "world.same_ms": s.World.SameMs, "world.cross_ms": s.World.CrossMs, "world.far_ms": s.World.FarMs} {
		if !(r[0] >= 0 && r[1] >= r[0]) {
			return s.wrong(key, "%v is not a range of two numbers, the lower first", r)
		}
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkFault(i int) error {
	f := &s.Faults[i]
	key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }
	if !slices.Contains(kinds, f.What) {
		return s.wrong(key("what"), "%q is none of %s", f.What, strings.Join(kinds, ", "))
	}
	if f.At < 0 || f.At >= s.For {
		return s.wrong(key("at"), "%v is not within the run's %v", f.At.Duration(), s.For.Duration())
	}
	if f.For < 0 {
		return s.wrong(key("for"), "%v is negative", f.For.Duration())
	}
	for name, set := range map[string]string{"who": f.Who, "from": f.From, "to": f.To} {
		if set == "" {
			continue
		}
		p, err := ParseSet(set)
		if err != nil {
			return s.wrong(key(name), "%v", err)
		}
		for _, z := range p.Zones {
			if z >= len(s.Fleet.Zones) {
				return s.wrong(key(name), "zone %d of %d: zones count from 0", z, len(s.Fleet.Zones))
			}
		}
		if p.Kind == "hubs" && s.Shared.Hubs == 0 {
			return s.wrong(key(name), "%q: there are no hubs", set)
		}
		size := map[string]int{"agents": s.Fleet.Agents, "backends": s.Fleet.Backends, "hubs": s.Shared.Hubs}[p.Kind]
		for _, n := range p.Numbers {
			if size > 0 && n >= size {
				return s.wrong(key(name), "number %d of %d %s: they count from 0", n, size, p.Kind)
			}
		}
	}
	for name, share := range map[string]float64{"lose": f.Lose, "duplicate": f.Duplicate, "reorder": f.Reorder} {
		if !(share >= 0 && share <= 1) {
			return s.wrong(key(name), "%v is not a share from 0 to 1", share)
		}
	}
	switch f.What {
	case Link:
		if f.From == "" || f.To == "" {
			return s.wrong(key("from"), "a link has from and to")
		}
	case Kill, Term, Stop:
		if f.Restart != "" && !slices.Contains([]string{"empty", "kept", restartNone}, f.Restart) {
			return s.wrong(key("restart"), "%q is none of empty, kept, never", f.Restart)
		}
		if p, _ := ParseSet(f.Who); p.Kind != "agents" && p.Kind != "hubs" {
			return s.wrong(key("who"), "%q is no set of agents or hubs", f.Who)
		}
	case Reload, Wall, Fail, Crowd:
		if p, _ := ParseSet(f.Who); p.Kind != "agents" {
			return s.wrong(key("who"), "%q is no set of agents", f.Who)
		}
	case Policy:
		if p, _ := ParseSet(f.Who); s.Shared.Hubs > 0 && p.Kind != "hubs" {
			return s.wrong(key("who"), "%q is no set of hubs, which are a policy's sources where there are any", f.Who)
		}
	case Settings:
		if p, _ := ParseSet(f.Who); p.Kind != "hubs" || s.Shared.Settings == "" {
			return s.wrong(key("who"), "%q: settings are given to hubs, where shared.settings says what holds at the start", f.Who)
		}
	case Replace, Drain, Bad, Slow, Neighbour:
		if p, _ := ParseSet(f.Who); p.Kind != "backends" {
			return s.wrong(key("who"), "%q is no set of backends", f.Who)
		}
	case ZoneLost, ZoneCut, ZoneDeaf, Power:
		if p, _ := ParseSet(f.Who); p.Kind != "zone" {
			return s.wrong(key("who"), `%q is no zone, such as "zone zone=1"`, f.Who)
		}
	}
	if (f.What == Bad || f.What == Slow || f.What == Neighbour) && !(f.Size > 0 && f.Size <= 1) || f.What == Burst && !(f.Size > 0 && f.Size <= 20) {
		return s.wrong(key("size"), "%v is out of range", f.Size)
	}
	return nil
}

// Set names parties: a kind, and what narrows it.
type Set struct {
	Kind    string // agents, hubs, backends, clients, discovery, zone
	Zones   []int  // of these zones; empty: any
	Numbers []int  // these; empty: any
	Share   float64
}

// ParseSet reads a set, such as "agents", "backends zone=1,2", "agents n=0,3" or "backends share=0.125".
func ParseSet(text string) (s Set, err error) {
	words := strings.Fields(text)
	if len(words) == 0 || !slices.Contains([]string{"agents", "hubs", "backends", "clients", "discovery", "zone"}, words[0]) {
		return s, fmt.Errorf("%q is none of agents, hubs, backends, clients, discovery, zone", text)
	}
	s.Kind, s.Share = words[0], 1
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "zone", "n":
			var list []int
			for _, v := range strings.Split(value, ",") {
				n, err := strconv.Atoi(v)
				if err != nil || n < 0 {
					return s, fmt.Errorf("%q: %q is not a number from 0", text, v)
				}
				list = append(list, n)
			}
			if name == "zone" {
				s.Zones = list
			} else {
				s.Numbers = list
			}
		case "share":
			if s.Share, err = strconv.ParseFloat(value, 64); err != nil || !(s.Share >= 0 && s.Share <= 1) {
				return s, fmt.Errorf("%q: %q is not a share from 0 to 1", text, value)
			}
		default:
			return s, fmt.Errorf("%q: %q is none of zone=, n=, share=", text, w)
		}
	}
	return s, nil
}

// Role is the party of a link that a set speaks of.
func (s Set) Role() netfault.Role {
	return map[string]netfault.Role{"agents": netfault.Agent, "hubs": netfault.Hub, "backends": netfault.Backend, "clients": netfault.Client, "discovery": netfault.Discovery}[s.Kind]
}

// Has reports whether a party of a zone is in the set, Share aside.
func (s Set) Has(n, zone int) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) && (len(s.Numbers) == 0 || slices.Contains(s.Numbers, n))
}

// Apart has the agents share nothing: what is left is how each does alone.
func (s *Scenario) Apart() {
	s.Shared = Shared{}
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.What == Policy || f.ofHubs() })
}

// ofHubs reports whether a fault makes no sense without hubs.
func (f *Fault) ofHubs() bool {
	for _, text := range []string{f.Who, f.From, f.To} {
		if strings.HasPrefix(strings.TrimSpace(text), "hubs") {
			return true
		}
	}
	return f.What == Settings
}

// sources is how many can be a policy's sources.
func (s *Scenario) sources() int {
	if s.Shared.Hubs > 0 {
		return s.Shared.Hubs
	}
	return s.Fleet.Agents
}

// WithHubs has the agents hold to so many hubs, or, with 0, be a flat fleet. Where a scenario is written for a flat fleet,
// what it does to links between agents it then does to those of the hubs of the same zones as well, and what it gives to
// an agent that is a policy's source it gives to a hub.
func (s *Scenario) WithHubs(n int) {
	was := s.Shared.Hubs
	s.Shared.Hubs = n
	switch {
	case n <= 0:
		s.Shared.Settings = ""
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.ofHubs() })
	case was == 0:
		s.Shared.On, s.Shared.Sources = true, min(s.Shared.Sources, n)
		var more []Fault // behind the others, whose places decide their draws
		for i := range s.Faults {
			f := &s.Faults[i]
			if f.What == Policy {
				f.Who = hubsFor(f.Who, n)
			}
			if from, to := hubsOf(f.From), hubsOf(f.To); f.What == Link && from != "" && to != "" {
				for _, pair := range [][2]string{{from, f.To}, {f.From, to}, {from, to}} {
					if pair[0] != "-" && pair[1] != "-" {
						also := *f
						also.From, also.To = pair[0], pair[1]
						more = append(more, also)
					}
				}
			}
		}
		s.Faults = append(s.Faults, more...)
	}
}

// hubsOf is the set of hubs that goes with a set of agents: those of its zones, "-" for a set that names single agents, ""
// for a set of others.
func hubsOf(text string) string {
	set, err := ParseSet(text)
	switch {
	case err != nil || set.Kind != "agents":
		return ""
	case len(set.Numbers) > 0 || set.Share < 1:
		return "-"
	}
	return "hubs" + strings.TrimPrefix(strings.TrimSpace(text), "agents")
}

// hubsFor is the set of hubs that are a policy's sources in place of a set of agents.
func hubsFor(text string, hubs int) string {
	set, err := ParseSet(text)
	if err != nil || len(set.Numbers) == 0 {
		return "hubs"
	}
	var list []string
	for _, n := range set.Numbers {
		list = append(list, strconv.Itoa(n%hubs))
	}
	return "hubs n=" + strings.Join(list, ",")
}

// Stretch changes a run's length; the schedule keeps its place in it.
func (s *Scenario) Stretch(to time.Duration) {
	by := float64(to) / float64(s.For)
	scale := func(d *strictconfig.Duration) { *d = strictconfig.Duration(float64(*d) * by) }
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].For)
	}
	scale(&s.Settle)
	s.For = strictconfig.Duration(to)
}

// Endless lets a scenario run for a time, 0 for as long as a lab may; its schedule is played over and over.
func (s *Scenario) Endless(length time.Duration) {
	if length <= 0 {
		length = 1000 * time.Hour
	}
	s.Again, s.For = s.For, strictconfig.Duration(length)
}
