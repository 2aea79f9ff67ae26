// Package scenario reads the TOML files that define what the lab emulates: a fleet, its load, and a schedule of faults. The
// keys of these files stay the same when Go fields are renamed.
package scenario

import (
	"time"

	"martenbeam/internal/strictconfig"
)

// Scenario is one run of the lab.
type Scenario struct {
	Name      string                `toml:"name"`
	About     string                `toml:"about"`
	Duration  strictconfig.Duration `toml:"for"`
	WarmUp    strictconfig.Duration `toml:"settle"` // span at the start that results leave out
	Fleet     Fleet                 `toml:"fleet"`
	Load      Load                  `toml:"load"`
	Model     Model                 `toml:"world"`
	Discovery Discovery             `toml:"lists"`
	Limits    Limits                `toml:"limits"`
	Shared    Shared                `toml:"shared"`
	Faults    []Fault               `toml:"fault"`

	RepeatInterval strictconfig.Duration `toml:"-"` // span after which the schedule starts again; 0: never

	file, text string
}

// Fleet is the number and the placement of agents and backends.
type Fleet struct {
	Agents   int      `toml:"agents"`
	Backends int      `toml:"backends"`
	Zones    []string `toml:"zones"`
	ZoneSize []int    `toml:"zone_size"` // number of backends in each zone; empty: an even spread
	Regions  []string `toml:"regions"`   // the region of each zone; empty: each zone is a region
	CellSize int      `toml:"pod"`       // number of backends in a cell, which drops duplicates for all of its backends
}

// Load describes the requests of the emulated clients.
type Load struct {
	Rate            float64 `toml:"rate"`       // requests per second, over all agents
	Utilization     float64 `toml:"of"`         // offered load as a share of the capacity of backends after slow start; the work of requests is scaled to match
	Skew            float64 `toml:"skew"`       // coefficient of variation of the load of agents
	Keys            int     `toml:"keys"`       // number of distinct keys
	KeySkew         float64 `toml:"key_skew"`   // Zipf exponent of the popularity of keys
	Retries         int     `toml:"retries"`    // number of retries by a client, after a rejection or if the agent is unreachable
	TimeoutShare    float64 `toml:"patience"`   // timeout of a request, as a share of the timeout of its class
	CancelShare     float64 `toml:"impatient"`  // share of clients that disconnect within the latency objective
	RetryAfterShare float64 `toml:"honour"`     // share of clients that honour Retry-After
	OverQuotaWeight float64 `toml:"over_share"` // priority weight of a tenant's requests above its quota
}

// Range is the lower and the upper bound of an even distribution. Equal bounds give a fixed value.
type Range [2]float64

// Model describes backends and the network. Package model explains the properties of backends.
type Model struct {
	SlotsPerCore     Range                 `toml:"slots_per_core"`
	QueuePerCore     Range                 `toml:"room_per_core"` // length of the queue
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
	SameZoneMs       Range                 `toml:"same_ms"`  // one-way latency within a zone
	CrossZoneMs      Range                 `toml:"cross_ms"` // one-way latency between zones of a region
	CrossRegionMs    Range                 `toml:"far_ms"`   // one-way latency between zones of two regions
	PeerMs           Range                 `toml:"peer_ms"`  // one-way latency between two agents, except at their fleet addresses
	Jitter           float64               `toml:"jitter"`
}

// Discovery describes the emulated discovery service.
type Discovery struct {
	LeaveDelaySeconds  Range `toml:"notice_s"` // delay until a drain or the end of a backend is published
	SilentDelaySeconds Range `toml:"silent_s"` // delay until an unresponsive machine is published
	AddDelaySeconds    Range `toml:"add_s"`    // delay until a new backend is published

	Indented        bool    `toml:"indented"` // JSON over several lines
	Polled          bool    `toml:"asked"`    // agents poll their lists from one service of limited capacity
	Rate            float64 `toml:"rate"`     // full lists per second that the service can serve
	MaxQueueSeconds float64 `toml:"queue_s"`  // longest time in the service's queue; a call that would wait longer fails
	DeltaCost       float64 `toml:"change"`   // cost of a delta, as a share of the cost of a full list
	CachedList      string  `toml:"known"`    // list in the configuration of a starting agent: "now", "first" or "none"
}

// Shared describes what the agents share as a fleet.
type Shared struct {
	Enabled      bool `toml:"on"`      // agents are members of a fleet
	RelayedLists bool `toml:"relayed"` // a few members relay endpoint lists; a backend then has one address for all agents, so the network cannot
	// separate a single agent from the backend
	LatencyMatrix bool                  `toml:"matrix"`  // agents measure round trips and use them in picking
	Policy        string                `toml:"policy"`  // residency policy at the start; "": none
	PolicyBound   strictconfig.Duration `toml:"bound"`   // time within which a stricter policy must be in force
	Sources       int                   `toml:"sources"` // number of agents that get the policy, or of hubs if there are any

	Hubs          int                   `toml:"hubs"`           // number of hub processes, with hub i in zone i; 0: a full mesh
	MeshFallback  bool                  `toml:"flat"`           // agents without a hub fall back to a full mesh
	Settings      string                `toml:"settings"`       // settings at the start, which hubs get; "": none
	SettingsBound strictconfig.Duration `toml:"settings_bound"` // time within which every agent that a hub can reach must have applied a change
}

// Limits are the resource limits in the configuration of each agent.
type Limits struct {
	Cores            float64 `toml:"cores"`
	MemoryMB         int     `toml:"memory_mb"`
	Sockets          int     `toml:"sockets"`
	MaxLabLatenessMs float64 `toml:"late_ms"` // a run is inconclusive if the 99th percentile of the lab's lateness is above this number of milliseconds
}

// Default returns a scenario without faults. Read uses its values for the keys that a file leaves out.
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

// SetDuration sets the length of a run, and scales the warm-up and the start and duration of each fault in proportion.
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

// maxRepeatedDuration is longer than any repeated run is expected to last.
const maxRepeatedDuration = 1000 * time.Hour

// Repeat starts the schedule again after each present Duration, and sets Duration to length; 0 means maxRepeatedDuration, 1,000
// hours.
func (s *Scenario) Repeat(length time.Duration) {
	if length <= 0 {
		length = maxRepeatedDuration
	}
	s.RepeatInterval, s.Duration = s.Duration, strictconfig.Duration(length)
}
