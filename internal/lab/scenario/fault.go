package scenario

// The schedule of faults.

import "martenbeam/internal/strictconfig"

// Fault is one entry of the schedule. Fields that the kind of the fault does not use are ignored.
type Fault struct {
	At            strictconfig.Duration `toml:"at"`
	Duration      strictconfig.Duration `toml:"for"` // 0: the fault lasts until the end of the run, or is instantaneous
	Kind          string                `toml:"what"`
	Targets       string                `toml:"who"` // a set of processes; see ParseSet
	From          string                `toml:"from"`
	To            string                `toml:"to"`
	Bidirectional bool                  `toml:"both"` // for a link: in both directions

	Protocol      string                `toml:"protocol"` // "tcp", "udp"; "": both
	Delay         strictconfig.Duration `toml:"delay"`
	Jitter        strictconfig.Duration `toml:"jitter"`
	LossRate      float64               `toml:"lose"`
	DuplicateRate float64               `toml:"duplicate"`
	ReorderRate   float64               `toml:"reorder"`
	Cut           bool                  `toml:"cut"`
	Refuse        bool                  `toml:"refuse"`
	Reset         bool                  `toml:"reset"`

	Size         float64               `toml:"size"`    // factor of a burst, share of failures or of the capacity taken, or number of idle clients
	OnTime       strictconfig.Duration `toml:"on"`      // mean length of the active and idle phases of a noisy neighbour; below 100 ms it counts as 100 ms
	RestartDelay strictconfig.Duration `toml:"after"`   // delay before the restart
	Restart      string                `toml:"restart"` // "empty", "kept", "never"
	Steps        int                   `toml:"steps"`   // number of groups of targets, which are affected one after the other over the duration
	Document     string                `toml:"text"`    // text of a policy or of settings
	ExtraSignals int                   `toml:"series"`  // number of further signals after a SIGTERM, alternately SIGHUP and SIGTERM
	ClockStep    strictconfig.Duration `toml:"step"`    // in whole seconds; reverted after the duration
	Call         string                `toml:"call"`    // the system call that fails, by its name in package faultinject
	Errno        int                   `toml:"errno"`   // the error number of the failed call
	Path         string                `toml:"path"`    // only files whose name contains this text; "": any file
	Count        int                   `toml:"times"`   // number of failures; 0: for the whole duration
}

// The kinds of faults, as in a file.
const (
	Link            = "link"
	Kill            = "kill"      // SIGKILL to agents or hubs, and a restart
	Terminate       = "term"      // SIGTERM to agents or hubs, and a restart of each after its end
	Pause           = "stop"      // SIGSTOP, then SIGCONT after the duration
	ZoneLost        = "zone-lost" // the zone's backends stop responding, and return in slow start
	ZoneCut         = "zone-cut"  // the zone is partitioned from the others
	ZoneReceiveCut  = "zone-deaf" // only messages into the zone are lost
	Replace         = "replace"   // backends drain, and new backends replace them
	Drain           = "drain"
	FailingBackends = "bad"         // backends answer a share of requests with an error at once
	SlowBackends    = "slow"        // another program takes the share Size of their capacity
	NoisyNeighbour  = "neighbour"   // like SlowBackends, in alternating active and idle phases
	Burst           = "burst"       // multiplies the load by Size
	DiscoverySilent = "list-silent" // discovery sends nothing
	DiscoveryDown   = "list-away"   // discovery refuses connections
	DiscoveryRewind = "list-rewind" // discovery restarts with an old version of the list
	PowerLoss       = "power"       // all agents and backends of a zone end at the same time and restart together
	Policy          = "policy"      // the lab writes a residency policy to the targets that are sources of the policy
	Settings        = "settings"    // the lab writes settings to the targeted hubs that are sources of settings
	Reload          = "reload"      // discovery moves to another address: new configuration and SIGHUP
	WallClock       = "wall"        // wall clocks are stepped; requires agents built by package faultinject
	SyscallFailure  = "fail"        // system calls fail; requires agents built by package faultinject
	IdleClients     = "crowd"       // Size idle clients connect to each agent, and reconnect when the agent closes their connections

	restartNever = "never" // a value of Fault.Restart
)

// kinds lists all kinds, in the order in which errors name them.
var kinds = []string{Link, Kill, Terminate, Pause, ZoneLost, ZoneCut, ZoneReceiveCut, Replace, Drain, FailingBackends, SlowBackends, NoisyNeighbour, Burst,
	DiscoverySilent, DiscoveryDown, DiscoveryRewind, PowerLoss, Policy, Settings, Reload, WallClock, SyscallFailure, IdleClients}
