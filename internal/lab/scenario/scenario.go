// Package scenario reads what a lab is to play: the fleet, its load, and a schedule of faults.
package scenario

import (
	"time"

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
