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
	Name      string                `toml:"name"`
	About     string                `toml:"about"`
	Duration  strictconfig.Duration `toml:"for"`
	WarmUp    strictconfig.Duration `toml:"settle"` // nothing before counts
	Fleet     Fleet                 `toml:"fleet"`
	Load      Load                  `toml:"load"`
	Model     Model                 `toml:"world"`
	Discovery Discovery             `toml:"lists"`
	Limits    Limits                `toml:"limits"`
	Shared    Shared                `toml:"shared"`
	Faults    []Fault               `toml:"fault"`

	RepeatInterval strictconfig.Duration `toml:"-"` // the schedule begins anew after so long; 0: never

	file, text string
}

// Fleet is who is there.
type Fleet struct {
	Agents   int      `toml:"agents"`
	Backends int      `toml:"backends"`
	Zones    []string `toml:"zones"`
	ZoneSize []int    `toml:"zone_size"` // backends of each zone; empty: evenly
	Regions  []string `toml:"regions"`   // the region of each zone; empty: each zone stands alone
	CellSize int      `toml:"pod"`       // backends of one pod
}

// Load is what clients ask for.
type Load struct {
	Rate            float64 `toml:"rate"`       // requests a second, over all agents
	Utilization     float64 `toml:"of"`         // of what the warm backends can do; work is scaled to it
	Skew            float64 `toml:"skew"`       // how unevenly agents are asked: the coefficient of variation
	Keys            int     `toml:"keys"`       // distinct keys
	KeySkew         float64 `toml:"key_skew"`   // the exponent of their popularity
	Retries         int     `toml:"retries"`    // a client's further tries after a refusal or an unreachable agent
	TimeoutShare    float64 `toml:"patience"`   // share of the class's give-up time that a try waits
	CancelShare     float64 `toml:"impatient"`  // share of clients that leave within the aim
	RetryAfterShare float64 `toml:"honour"`     // share of clients that heed Retry-After
	OverQuotaWeight float64 `toml:"over_share"` // worth of what a tenant asks beyond its share
}

// Range is drawn from evenly; one number twice is fixed.
type Range [2]float64

// Model is what machines are like.
type Model struct {
	SlotsPerCore     Range                 `toml:"slots_per_core"`
	QueuePerCore     Range                 `toml:"room_per_core"` // requests that wait
	ThrashLoss       Range                 `toml:"thrash"`
	ThrashAt         Range                 `toml:"thrash_at"`
	InitialCapacity  Range                 `toml:"cold_from"`
	SlowStartSeconds Range                 `toml:"ramp_s"`
	OverloadMultiple float64               `toml:"fall_multiple"`
	OverloadWindow   strictconfig.Duration `toml:"fall_window"`
	Degrades         bool                  `toml:"choke"`
	ErrorRate        Range                 `toml:"error_rate"`
	KeySaving        Range                 `toml:"key_gain"`
	KeyTTLSeconds    Range                 `toml:"key_for_s"`
	KeysPerCore      int                   `toml:"keys_per_core"`
	MaxConns         Range                 `toml:"conns"`
	HandshakeMs      Range                 `toml:"handshake_ms"`
	SameZoneMs       Range                 `toml:"same_ms"` // one way within a zone
	CrossZoneMs      Range                 `toml:"cross_ms"`
	CrossRegionMs    Range                 `toml:"far_ms"` // between regions
	PeerMs           Range                 `toml:"peer_ms"`
	Jitter           float64               `toml:"jitter"`
}

// Discovery is how discovery tells of changes.
type Discovery struct {
	LeaveDelaySeconds  Range `toml:"notice_s"` // until it tells of a process that ended or drains
	SilentDelaySeconds Range `toml:"silent_s"` // of a machine that fell silent
	AddDelaySeconds    Range `toml:"add_s"`    // of one that came

	Indented        bool    `toml:"indented"` // written over several lines
	Polled          bool    `toml:"asked"`    // told only to who asks, by one service of fixed capacity for all
	Rate            float64 `toml:"rate"`     // whole lists a second that it bears
	MaxQueueSeconds float64 `toml:"queue_s"`  // a call that would wait longer fails
	DeltaCost       float64 `toml:"change"`   // what a call that goes on from a version costs, as a share of a whole list
	CachedList      string  `toml:"known"`    // what an agent that starts anew is handed: "now", "first", "none"
}

// Shared is what the agents of the fleet share.
type Shared struct {
	Enabled      bool `toml:"on"`      // they have a fleet
	RelayedLists bool `toml:"relayed"` // and lists come by way of a few of them: a backend has one address for all then, and the
	// network can't keep a single agent from it
	LatencyMatrix bool                  `toml:"matrix"`  // and round trips are measured, and steer
	Policy        string                `toml:"policy"`  // the residency policy at the start; "": none
	PolicyBound   strictconfig.Duration `toml:"bound"`   // in which a tightening has to hold
	Sources       int                   `toml:"sources"` // agents that are given the policy, the first ones; where there are hubs, hubs

	Hubs          int                   `toml:"hubs"`           // processes between the agents, hub i in zone i; 0: a flat fleet
	MeshFallback  bool                  `toml:"flat"`           // agents that find no hub have a flat fleet to fall back to
	Settings      string                `toml:"settings"`       // of all agents at the start, given to hubs; "": none
	SettingsBound strictconfig.Duration `toml:"settings_bound"` // in which a change is in force at every agent that a hub can reach
}

// Limits are what an agent is told that it may use.
type Limits struct {
	Cores            float64 `toml:"cores"`
	MemoryMB         int     `toml:"memory_mb"`
	Sockets          int     `toml:"sockets"`
	MaxLabLatenessMs float64 `toml:"late_ms"` // the lab's own lateness, 99th percentile, past which a run is void
}

// Fault is one entry of the schedule.
type Fault struct {
	At            strictconfig.Duration `toml:"at"`
	Duration      strictconfig.Duration `toml:"for"` // 0: to the end, or at once
	Kind          string                `toml:"what"`
	Targets       string                `toml:"who"` // a set of parties, see Parse
	From          string                `toml:"from"`
	To            string                `toml:"to"`
	Bidirectional bool                  `toml:"both"` // also the other direction

	Protocol      string                `toml:"protocol"` // "tcp", "udp"; "": both
	Delay         strictconfig.Duration `toml:"delay"`
	Jitter        strictconfig.Duration `toml:"jitter"`
	LossRate      float64               `toml:"lose"`
	DuplicateRate float64               `toml:"duplicate"`
	ReorderRate   float64               `toml:"reorder"`
	Cut           bool                  `toml:"cut"`
	Refuse        bool                  `toml:"refuse"`
	Reset         bool                  `toml:"reset"`

	Size         float64               `toml:"size"`    // of a burst, of failures, of what a neighbour takes
	OnTime       strictconfig.Duration `toml:"on"`      // a neighbour's time on, and off
	RestartDelay strictconfig.Duration `toml:"after"`   // a restart's delay
	Restart      string                `toml:"restart"` // "empty", "kept", "never"
	Steps        int                   `toml:"steps"`   // in so many equal parts over For
	Document     string                `toml:"text"`    // a policy, or settings
	ExtraSignals int                   `toml:"series"`  // further signals of a term: SIGHUP and SIGTERM in turn
	ClockStep    strictconfig.Duration `toml:"step"`    // of the wall clock, in whole seconds; back after For
	Call         string                `toml:"call"`    // the system call that fails, as package inject names it
	Errno        int                   `toml:"errno"`   // with what
	Path         string                `toml:"path"`    // on files whose name holds this; "": any
	Count        int                   `toml:"times"`   // so often; 0: for all of For
}

// What a schedule may hold.
const (
	Link            = "link"
	Kill            = "kill"      // SIGKILL to agents or hubs, and a restart
	Terminate       = "term"      // SIGTERM, and a restart once they have ended
	Pause           = "stop"      // SIGSTOP, SIGCONT after For
	ZoneLost        = "zone-lost" // its backends fall silent and come back cold
	ZoneCut         = "zone-cut"  // nothing passes its border
	ZoneReceiveCut  = "zone-deaf" // it is heard but hears nothing from beyond its border
	Replace         = "replace"   // backends drain and others come in their place
	Drain           = "drain"
	FailingBackends = "bad"         // backends fail a share of requests at once
	SlowBackends    = "slow"        // another program takes the share Size all the time
	NoisyNeighbour  = "neighbour"   // another program takes a share of backends, on and off
	Burst           = "burst"       // Size times the load
	DiscoverySilent = "list-silent" // discovery says nothing
	DiscoveryDown   = "list-away"   // discovery turns callers away
	DiscoveryRewind = "list-rewind" // discovery starts again from an old version
	PowerLoss       = "power"       // a zone's agents and backends end at once and come back together
	Policy          = "policy"      // a residency policy is given to those of Who that are its sources
	Settings        = "settings"    // settings of all agents are given to those hubs of Who that are their sources
	Reload          = "reload"      // discovery moves to another address: a new configuration and SIGHUP
	WallClock       = "wall"        // agents' wall clocks are stepped; needs an agent that package inject has built
	SyscallFailure  = "fail"        // agents' system calls fail; the same
	IdleClients     = "crowd"       // Size idle clients hold connections to each agent, and come again when they are sent away
	restartNever    = "never"
)

var kinds = []string{Link, Kill, Terminate, Pause, ZoneLost, ZoneCut, ZoneReceiveCut, Replace, Drain, FailingBackends, SlowBackends, NoisyNeighbour, Burst,
	DiscoverySilent, DiscoveryDown, DiscoveryRewind, PowerLoss, Policy, Settings, Reload, WallClock, SyscallFailure, IdleClients}

// Default is a calm day: what a scenario does not say.
func Default() Scenario {
	return Scenario{
		Duration: strictconfig.Duration(30 * time.Second), WarmUp: strictconfig.Duration(3 * time.Second),
		Fleet: Fleet{Agents: 24, Backends: 24, Zones: []string{"riga-ziepniekkalns", "riga-purvciems", "marupe"}, CellSize: 6},
		Load: Load{Rate: 500, Utilization: 0.75, Skew: 0.8, Keys: 1200, KeySkew: 0.8, Retries: 1, TimeoutShare: 0.9, CancelShare: 0.01, RetryAfterShare: 0.9,
			OverQuotaWeight: 0.2},
		Model: Model{SlotsPerCore: Range{2, 6}, QueuePerCore: Range{220, 600}, ThrashLoss: Range{0.3, 0.55},
			ThrashAt: Range{4.1, 6.8}, InitialCapacity: Range{0.12, 0.35}, SlowStartSeconds: Range{10, 20}, OverloadMultiple: 3,
			OverloadWindow: strictconfig.Duration(2 * time.Second), Degrades: true, ErrorRate: Range{0, 0.002}, KeySaving: Range{0.3, 0.6},
			KeyTTLSeconds: Range{3, 8}, KeysPerCore: 15, MaxConns: Range{400, 520}, HandshakeMs: Range{0.2, 0.5}, SameZoneMs: Range{0.1, 0.26},
			CrossZoneMs: Range{0.78, 1.4}, CrossRegionMs: Range{4, 9}, PeerMs: Range{1.4, 6}, Jitter: 0.25},
		Discovery: Discovery{LeaveDelaySeconds: Range{0.5, 2}, SilentDelaySeconds: Range{4.3, 6}, AddDelaySeconds: Range{0.44, 1.5}, Rate: 50, MaxQueueSeconds: 2, DeltaCost: 0.2, CachedList: "now"},
		Shared:    Shared{PolicyBound: strictconfig.Duration(3 * time.Second), Sources: 1, SettingsBound: strictconfig.Duration(14 * time.Second)},
		Limits:    Limits{Cores: 1, MemoryMB: 128, Sockets: 768, MaxLabLatenessMs: 20},
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

func (s *Scenario) errorAt(key, format string, args ...any) error {
	return strictconfig.ErrorAt(s.file, s.text, key, format, args...)
}

// Most of what one lab plays.
const (
	MaxAgents, MaxBackends = 2000, 4000
	maxHubs                = 64
	MaxDuration            = time.Hour
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
	case s.Duration <= 0 || s.Duration.Duration() > MaxDuration:
		return s.errorAt("for", "%v is not between 0 and %v", s.Duration.Duration(), MaxDuration)
	case s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return s.errorAt("settle", "%v is not below the run's %v", s.WarmUp.Duration(), s.Duration.Duration())
	case s.Fleet.Agents < 1 || s.Fleet.Agents > MaxAgents:
		return s.errorAt("fleet.agents", "%d is not between 1 and %d", s.Fleet.Agents, MaxAgents)
	case s.Fleet.Backends < 1 || s.Fleet.Backends > MaxBackends:
		return s.errorAt("fleet.backends", "%d is not between 1 and %d", s.Fleet.Backends, MaxBackends)
	case zones < 1:
		return s.errorAt("fleet.zones", "at least one is needed")
	case len(s.Fleet.ZoneSize) > 0 && len(s.Fleet.ZoneSize) != zones:
		return s.errorAt("fleet.zone_size", "%d sizes for %d zones", len(s.Fleet.ZoneSize), zones)
	case len(s.Fleet.Regions) > 0 && len(s.Fleet.Regions) != zones:
		return s.errorAt("fleet.regions", "%d regions for %d zones", len(s.Fleet.Regions), zones)
	case s.Fleet.CellSize < 1:
		return s.errorAt("fleet.pod", "%d is not a number of backends", s.Fleet.CellSize)
	case !(s.Load.Rate > 0 && s.Load.Rate <= 1e5):
		return s.errorAt("load.rate", "%v is not between 0 and 100000 a second", s.Load.Rate)
	case !(s.Load.Utilization > 0 && s.Load.Utilization <= 10):
		return s.errorAt("load.of", "%v is not between 0 and 10", s.Load.Utilization)
	case s.Load.Keys < 1:
		return s.errorAt("load.keys", "%d is not a number of keys", s.Load.Keys)
	case s.Load.Retries < 0 || s.Load.Retries > 10:
		return s.errorAt("load.retries", "%d is not between 0 and 10", s.Load.Retries)
	case !(s.Load.TimeoutShare > 0 && s.Load.TimeoutShare <= 1):
		return s.errorAt("load.patience", "%v is not between 0 and 1", s.Load.TimeoutShare)
	case !slices.Contains([]string{"now", "first", "none"}, s.Discovery.CachedList):
		return s.errorAt("lists.known", "%q is none of now, first, none", s.Discovery.CachedList)
	case !(s.Discovery.Rate > 0 && s.Discovery.MaxQueueSeconds >= 0 && s.Discovery.DeltaCost > 0):
		return s.errorAt("lists.rate", "rate %v and change %v have to be above 0, queue_s %v not below", s.Discovery.Rate, s.Discovery.DeltaCost, s.Discovery.MaxQueueSeconds)
	case s.Shared.Hubs < 0 || s.Shared.Hubs > min(zones, maxHubs) || s.Shared.Hubs > 0 && !s.Shared.Enabled:
		return s.errorAt("shared.hubs", "%d hubs: they need shared.on, and there is at most one a zone, of which there are %d", s.Shared.Hubs, zones)
	case s.Shared.Policy != "" && (!s.Shared.Enabled || s.Shared.Sources < 1 || s.Shared.Sources > s.maxPolicySources() || s.Shared.PolicyBound <= 0):
		return s.errorAt("shared.policy", "a policy needs shared.on, from 1 to %d sources and a bound", s.maxPolicySources())
	case s.Shared.Settings != "" && (s.Shared.Hubs < 1 || s.Shared.Sources < 1 || s.Shared.Sources > s.Shared.Hubs || s.Shared.SettingsBound <= 0):
		return s.errorAt("shared.settings", "settings need hubs, from 1 to %d sources of them and a bound", s.Shared.Hubs)
	case s.Limits.Sockets < 64:
		return s.errorAt("limits.sockets", "%d is not at least 64", s.Limits.Sockets)
	}
	for key, r := range map[string]Range{"world.slots_per_core": s.Model.SlotsPerCore, "world.room_per_core": s.Model.QueuePerCore,
		"world.cold_from": s.Model.InitialCapacity, "world.ramp_s": s.Model.SlowStartSeconds, "world.conns": s.Model.MaxConns, "lists.notice_s": s.Discovery.LeaveDelaySeconds,
		"lists.silent_s": s.Discovery.SilentDelaySeconds, "lists.add_s": s.Discovery.AddDelaySeconds, "world.same_ms": s.Model.SameZoneMs, "world.cross_ms": s.Model.CrossZoneMs, "world.far_ms": s.Model.CrossRegionMs} {
		if !(r[0] >= 0 && r[1] >= r[0]) {
			return s.errorAt(key, "%v is not a range of two numbers, the lower first", r)
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
	fault := &s.Faults[i]
	key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }
	if !slices.Contains(kinds, fault.Kind) {
		return s.errorAt(key("what"), "%q is none of %s", fault.Kind, strings.Join(kinds, ", "))
	}
	if fault.At < 0 || fault.At >= s.Duration {
		return s.errorAt(key("at"), "%v is not within the run's %v", fault.At.Duration(), s.Duration.Duration())
	}
	if fault.Duration < 0 {
		return s.errorAt(key("for"), "%v is negative", fault.Duration.Duration())
	}
	for name, set := range map[string]string{"who": fault.Targets, "from": fault.From, "to": fault.To} {
		if set == "" {
			continue
		}
		targets, err := ParseSet(set)
		if err != nil {
			return s.errorAt(key(name), "%v", err)
		}
		for _, z := range targets.Zones {
			if z >= len(s.Fleet.Zones) {
				return s.errorAt(key(name), "zone %d of %d: zones count from 0", z, len(s.Fleet.Zones))
			}
		}
		if targets.Kind == "hubs" && s.Shared.Hubs == 0 {
			return s.errorAt(key(name), "%q: there are no hubs", set)
		}
		size := map[string]int{"agents": s.Fleet.Agents, "backends": s.Fleet.Backends, "hubs": s.Shared.Hubs}[targets.Kind]
		for _, n := range targets.Numbers {
			if size > 0 && n >= size {
				return s.errorAt(key(name), "number %d of %d %s: they count from 0", n, size, targets.Kind)
			}
		}
	}
	for name, share := range map[string]float64{"lose": fault.LossRate, "duplicate": fault.DuplicateRate, "reorder": fault.ReorderRate} {
		if !(share >= 0 && share <= 1) {
			return s.errorAt(key(name), "%v is not a share from 0 to 1", share)
		}
	}
	switch fault.Kind {
	case Link:
		if fault.From == "" || fault.To == "" {
			return s.errorAt(key("from"), "a link has from and to")
		}
	case Kill, Terminate, Pause:
		if fault.Restart != "" && !slices.Contains([]string{"empty", "kept", restartNever}, fault.Restart) {
			return s.errorAt(key("restart"), "%q is none of empty, kept, never", fault.Restart)
		}
		if targets, _ := ParseSet(fault.Targets); targets.Kind != "agents" && targets.Kind != "hubs" {
			return s.errorAt(key("who"), "%q is no set of agents or hubs", fault.Targets)
		}
	case Reload, WallClock, SyscallFailure, IdleClients:
		if targets, _ := ParseSet(fault.Targets); targets.Kind != "agents" {
			return s.errorAt(key("who"), "%q is no set of agents", fault.Targets)
		}
	case Policy:
		if targets, _ := ParseSet(fault.Targets); s.Shared.Hubs > 0 && targets.Kind != "hubs" {
			return s.errorAt(key("who"), "%q is no set of hubs, which are a policy's sources where there are any", fault.Targets)
		}
	case Settings:
		if targets, _ := ParseSet(fault.Targets); targets.Kind != "hubs" || s.Shared.Settings == "" {
			return s.errorAt(key("who"), "%q: settings are given to hubs, where shared.settings says what holds at the start", fault.Targets)
		}
	case Replace, Drain, FailingBackends, SlowBackends, NoisyNeighbour:
		if targets, _ := ParseSet(fault.Targets); targets.Kind != "backends" {
			return s.errorAt(key("who"), "%q is no set of backends", fault.Targets)
		}
	case ZoneLost, ZoneCut, ZoneReceiveCut, PowerLoss:
		if targets, _ := ParseSet(fault.Targets); targets.Kind != "zone" {
			return s.errorAt(key("who"), `%q is no zone, such as "zone zone=1"`, fault.Targets)
		}
	}
	if (fault.Kind == FailingBackends || fault.Kind == SlowBackends || fault.Kind == NoisyNeighbour) && !(fault.Size > 0 && fault.Size <= 1) || fault.Kind == Burst && !(fault.Size > 0 && fault.Size <= 20) {
		return s.errorAt(key("size"), "%v is out of range", fault.Size)
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

// Contains reports whether a party of a zone is in the set, Share aside.
func (s Set) Contains(n, zone int) bool {
	return (len(s.Zones) == 0 || slices.Contains(s.Zones, zone)) && (len(s.Numbers) == 0 || slices.Contains(s.Numbers, n))
}

// DisableSharing has the agents share nothing: what is left is how each does alone.
func (s *Scenario) DisableSharing() {
	s.Shared = Shared{}
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Kind == Policy || f.needsHubs() })
}

// needsHubs reports whether a fault makes no sense without hubs.
func (f *Fault) needsHubs() bool {
	for _, text := range []string{f.Targets, f.From, f.To} {
		if strings.HasPrefix(strings.TrimSpace(text), "hubs") {
			return true
		}
	}
	return f.Kind == Settings
}

// maxPolicySources is how many can be a policy's sources.
func (s *Scenario) maxPolicySources() int {
	if s.Shared.Hubs > 0 {
		return s.Shared.Hubs
	}
	return s.Fleet.Agents
}

// SetHubs has the agents hold to so many hubs, or, with 0, be a flat fleet. Where a scenario is written for a flat fleet,
// what it does to links between agents it then does to those of the hubs of the same zones as well, and what it gives to
// an agent that is a policy's source it gives to a hub.
func (s *Scenario) SetHubs(hubs int) {
	before := s.Shared.Hubs
	s.Shared.Hubs = hubs
	switch {
	case hubs <= 0:
		s.Shared.Settings = ""
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.needsHubs() })
	case before == 0:
		s.Shared.Enabled, s.Shared.Sources = true, min(s.Shared.Sources, hubs)
		var additional []Fault // behind the others, whose places decide their draws
		for i := range s.Faults {
			f := &s.Faults[i]
			if f.Kind == Policy {
				f.Targets = policyHubs(f.Targets, hubs)
			}
			if from, to := hubsInZonesOf(f.From), hubsInZonesOf(f.To); f.Kind == Link && from != "" && to != "" {
				for _, pair := range [][2]string{{from, f.To}, {f.From, to}, {from, to}} {
					if pair[0] != "-" && pair[1] != "-" {
						also := *f
						also.From, also.To = pair[0], pair[1]
						additional = append(additional, also)
					}
				}
			}
		}
		s.Faults = append(s.Faults, additional...)
	}
}

// hubsInZonesOf is the set of hubs that goes with a set of agents: those of its zones, "-" for a set that names single agents, ""
// for a set of others.
func hubsInZonesOf(text string) string {
	set, err := ParseSet(text)
	switch {
	case err != nil || set.Kind != "agents":
		return ""
	case len(set.Numbers) > 0 || set.Share < 1:
		return "-"
	}
	return "hubs" + strings.TrimPrefix(strings.TrimSpace(text), "agents")
}

// policyHubs is the set of hubs that are a policy's sources in place of a set of agents.
func policyHubs(text string, hubs int) string {
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

// SetDuration changes a run's length; the schedule keeps its place in it.
func (s *Scenario) SetDuration(duration time.Duration) {
	factor := float64(duration) / float64(s.Duration)
	scale := func(d *strictconfig.Duration) { *d = strictconfig.Duration(float64(*d) * factor) }
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].Duration)
	}
	scale(&s.WarmUp)
	s.Duration = strictconfig.Duration(duration)
}

// Repeat lets a scenario run for a time, 0 for as long as a lab may; its schedule is played over and over.
func (s *Scenario) Repeat(length time.Duration) {
	if length <= 0 {
		length = 1000 * time.Hour
	}
	s.RepeatInterval, s.Duration = s.Duration, strictconfig.Duration(length)
}
