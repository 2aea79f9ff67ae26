package scenario

// The schedule of faults.

import (
	"martenbeam/internal/strictconfig"
)

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
