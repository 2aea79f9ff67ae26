package scenario

// What a scenario may say. Errors name file, line and key.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"martenbeam/internal/strictconfig"
)

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
