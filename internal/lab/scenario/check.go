package scenario

// Checks of the values in a scenario. Errors name file, line and key.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"martenbeam/internal/strictconfig"
)

// errorAt returns an error with the file, the line of the key, and the key.
func (s *Scenario) errorAt(key, format string, args ...any) error {
	return strictconfig.ErrorAt(s.file, s.text, key, format, args...)
}

// Limits on what one lab process emulates.
const (
	MaxAgents   = 2000
	MaxBackends = 4000
	MaxDuration = time.Hour

	maxHubs = 64
)

// Check returns an error for the first invalid value, with file, line and key. If the sizes of zones are given, Check sets
// the number of backends to their sum.
func (s *Scenario) Check() error {
	if len(s.Fleet.ZoneSize) > 0 {
		s.Fleet.Backends = 0
		for _, n := range s.Fleet.ZoneSize {
			s.Fleet.Backends += n
		}
	}
	for _, check := range []func() error{s.checkRun, s.checkFleet, s.checkLoad, s.checkDiscovery, s.checkShared, s.checkLimits, s.checkRanges} {
		if err := check(); err != nil {
			return err
		}
	}
	for i := range s.Faults {
		if err := s.checkFault(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkRun() error {
	switch {
	case s.Duration <= 0 || s.Duration.Duration() > MaxDuration:
		return s.errorAt("for", "%v is out of range: must be above 0 and at most %v", s.Duration.Duration(), MaxDuration)
	case s.WarmUp < 0 || s.WarmUp >= s.Duration:
		return s.errorAt("settle", "%v is negative, or not shorter than the run of %v", s.WarmUp.Duration(), s.Duration.Duration())
	}
	return nil
}

func (s *Scenario) checkFleet() error {
	zones := len(s.Fleet.Zones)
	switch {
	case s.Fleet.Agents < 1 || s.Fleet.Agents > MaxAgents:
		return s.errorAt("fleet.agents", "%d is not between 1 and %d", s.Fleet.Agents, MaxAgents)
	case s.Fleet.Backends < 1 || s.Fleet.Backends > MaxBackends:
		return s.errorAt("fleet.backends", "%d is not between 1 and %d", s.Fleet.Backends, MaxBackends)
	case zones < 1:
		return s.errorAt("fleet.zones", "at least one is required")
	case len(s.Fleet.ZoneSize) > 0 && len(s.Fleet.ZoneSize) != zones:
		return s.errorAt("fleet.zone_size", "%d sizes for %d zones", len(s.Fleet.ZoneSize), zones)
	case len(s.Fleet.Regions) > 0 && len(s.Fleet.Regions) != zones:
		return s.errorAt("fleet.regions", "%d regions for %d zones", len(s.Fleet.Regions), zones)
	case s.Fleet.CellSize < 1:
		return s.errorAt("fleet.pod", "%d is below 1", s.Fleet.CellSize)
	}
	return nil
}

func (s *Scenario) checkLoad() error {
	switch {
	case !(s.Load.Rate > 0 && s.Load.Rate <= 1e5):
		return s.errorAt("load.rate", "%v is out of range: must be above 0 and at most 100000 a second", s.Load.Rate)
	case !(s.Load.Utilization > 0 && s.Load.Utilization <= 10):
		return s.errorAt("load.of", "%v is out of range: must be above 0 and at most 10", s.Load.Utilization)
	case s.Load.Keys < 1:
		return s.errorAt("load.keys", "%d is below 1", s.Load.Keys)
	case s.Load.Retries < 0 || s.Load.Retries > 10:
		return s.errorAt("load.retries", "%d is not between 0 and 10", s.Load.Retries)
	case !(s.Load.TimeoutShare > 0 && s.Load.TimeoutShare <= 1):
		return s.errorAt("load.patience", "%v is out of range: must be above 0 and at most 1", s.Load.TimeoutShare)
	}
	return nil
}

func (s *Scenario) checkDiscovery() error {
	switch {
	case !slices.Contains([]string{"now", "first", "none"}, s.Discovery.CachedList):
		return s.errorAt("lists.known", "%q is not one of now, first, none", s.Discovery.CachedList)
	case !(s.Discovery.Rate > 0 && s.Discovery.MaxQueueSeconds >= 0 && s.Discovery.DeltaCost > 0):
		return s.errorAt("lists.rate", "rate %v and change %v must be above 0, and queue_s %v must be 0 or above", s.Discovery.Rate,
			s.Discovery.DeltaCost, s.Discovery.MaxQueueSeconds)
	}
	return nil
}

func (s *Scenario) checkShared() error {
	zones, shared := len(s.Fleet.Zones), &s.Shared
	switch {
	case shared.Hubs < 0 || shared.Hubs > min(zones, maxHubs) || shared.Hubs > 0 && !shared.Enabled:
		return s.errorAt("shared.hubs", "%d hubs: hubs require shared.on, and there can be at most one per zone, with %d zones", shared.Hubs, zones)
	case shared.Policy != "" && (!shared.Enabled || !s.validSources(s.maxPolicySources()) || shared.PolicyBound <= 0):
		return s.errorAt("shared.policy", "a policy requires shared.on, from 1 to %d sources, and a bound", s.maxPolicySources())
	case shared.Settings != "" && (shared.Hubs < 1 || !s.validSources(shared.Hubs) || shared.SettingsBound <= 0):
		return s.errorAt("shared.settings", "settings require hubs, from 1 to %d sources among them, and a bound", shared.Hubs)
	}
	return nil
}

// validSources reports whether the number of sources is from 1 to maxSources.
func (s *Scenario) validSources(maxSources int) bool {
	return s.Shared.Sources >= 1 && s.Shared.Sources <= maxSources
}

func (s *Scenario) checkLimits() error {
	if s.Limits.Sockets < 64 {
		return s.errorAt("limits.sockets", "%d is below 64", s.Limits.Sockets)
	}
	return nil
}

func (s *Scenario) checkRanges() error {
	for key, r := range map[string]Range{
		"world.slots_per_core": s.Model.SlotsPerCore,
		"world.room_per_core":  s.Model.QueuePerCore,
		"world.cold_from":      s.Model.InitialCapacity,
		"world.ramp_s":         s.Model.SlowStartSeconds,
		"world.conns":          s.Model.MaxConns,
		"world.same_ms":        s.Model.SameZoneMs,
		"world.cross_ms":       s.Model.CrossZoneMs,
		"world.far_ms":         s.Model.CrossRegionMs,
		"lists.notice_s":       s.Discovery.LeaveDelaySeconds,
		"lists.silent_s":       s.Discovery.SilentDelaySeconds,
		"lists.add_s":          s.Discovery.AddDelaySeconds,
	} {
		if !(r[0] >= 0 && r[1] >= r[0]) {
			return s.errorAt(key, "%v is not a range of two numbers of at least 0, the lower one first", r)
		}
	}
	return nil
}

// faultKey returns the key of a value of the i-th fault.
func faultKey(i int, name string) string { return fmt.Sprintf("fault[%d].%s", i, name) }

func (s *Scenario) checkFault(i int) error {
	fault := &s.Faults[i]
	key := func(name string) string { return faultKey(i, name) }
	switch {
	case !slices.Contains(kinds, fault.Kind):
		return s.errorAt(key("what"), "%q is not one of %s", fault.Kind, strings.Join(kinds, ", "))
	case fault.At < 0 || fault.At >= s.Duration:
		return s.errorAt(key("at"), "%v is not within the run of %v", fault.At.Duration(), s.Duration.Duration())
	case fault.Duration < 0:
		return s.errorAt(key("for"), "%v is negative", fault.Duration.Duration())
	}
	for name, set := range map[string]string{"who": fault.Targets, "from": fault.From, "to": fault.To} {
		if err := s.checkSet(key(name), set); err != nil {
			return err
		}
	}
	for name, share := range map[string]float64{"lose": fault.LossRate, "duplicate": fault.DuplicateRate, "reorder": fault.ReorderRate} {
		if !(share >= 0 && share <= 1) {
			return s.errorAt(key(name), "%v is not a share from 0 to 1", share)
		}
	}
	if err := s.checkTargets(i, fault); err != nil {
		return err
	}
	return s.checkSize(key("size"), fault)
}

// checkSet checks the syntax of a set, and that its zones, hubs and numbers exist. An empty set is valid.
func (s *Scenario) checkSet(key, text string) error {
	if text == "" {
		return nil
	}
	set, err := ParseSet(text)
	if err != nil {
		return s.errorAt(key, "%v", err)
	}
	for _, zone := range set.Zones {
		if zone >= len(s.Fleet.Zones) {
			return s.errorAt(key, "zone %d does not exist: there are %d zones, numbered from 0", zone, len(s.Fleet.Zones))
		}
	}
	if set.Kind == "hubs" && s.Shared.Hubs == 0 {
		return s.errorAt(key, "%q: there are no hubs", text)
	}
	size := map[string]int{"agents": s.Fleet.Agents, "backends": s.Fleet.Backends, "hubs": s.Shared.Hubs}[set.Kind]
	for _, n := range set.Numbers {
		if size > 0 && n >= size {
			return s.errorAt(key, "number %d does not exist: there are %d %s, numbered from 0", n, size, set.Kind)
		}
	}
	return nil
}

// checkTargets checks that the kind of a fault can apply to its targets.
func (s *Scenario) checkTargets(i int, fault *Fault) error {
	key := func(name string) string { return faultKey(i, name) }
	targets, _ := ParseSet(fault.Targets) // for an empty set, Kind is ""
	switch fault.Kind {
	case Link:
		if fault.From == "" || fault.To == "" {
			return s.errorAt(key("from"), "a link requires from and to")
		}
	case Kill, Terminate, Pause:
		if fault.Restart != "" && !slices.Contains([]string{"empty", "kept", restartNever}, fault.Restart) {
			return s.errorAt(key("restart"), "%q is not one of empty, kept, never", fault.Restart)
		}
		if targets.Kind != "agents" && targets.Kind != "hubs" {
			return s.errorAt(key("who"), "%q is not a set of agents or hubs", fault.Targets)
		}
	case Reload, WallClock, SyscallFailure, IdleClients:
		if targets.Kind != "agents" {
			return s.errorAt(key("who"), "%q is not a set of agents", fault.Targets)
		}
	case Policy:
		if s.Shared.Hubs > 0 && targets.Kind != "hubs" {
			return s.errorAt(key("who"), "%q is not a set of hubs: if there are hubs, they are the sources of a policy", fault.Targets)
		}
	case Settings:
		if targets.Kind != "hubs" || s.Shared.Settings == "" {
			return s.errorAt(key("who"), "%q: a change of settings requires hubs as targets, and shared.settings for the start", fault.Targets)
		}
	case Replace, Drain, FailingBackends, SlowBackends, NoisyNeighbour:
		if targets.Kind != "backends" {
			return s.errorAt(key("who"), "%q is not a set of backends", fault.Targets)
		}
	case ZoneLost, ZoneCut, ZoneReceiveCut, PowerLoss:
		if targets.Kind != "zone" {
			return s.errorAt(key("who"), `%q is not a zone, such as "zone zone=1"`, fault.Targets)
		}
	}
	return nil
}

// checkSize checks the size of a fault, for the kinds that have a limited size.
func (s *Scenario) checkSize(key string, fault *Fault) error {
	maxSize := 0.0
	switch fault.Kind {
	case FailingBackends, SlowBackends, NoisyNeighbour:
		maxSize = 1
	case Burst:
		maxSize = 20
	default:
		return nil
	}
	if !(fault.Size > 0 && fault.Size <= maxSize) {
		return s.errorAt(key, "%v is out of range: the size must be above 0, and at most 1, or 20 for a burst", fault.Size)
	}
	return nil
}
