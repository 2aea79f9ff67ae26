package scenario

// Variants of a scenario: with or without hubs, and with nothing shared.

import (
	"slices"
	"strconv"
	"strings"
)

// DisableSharing removes the fleet, and the faults that need it: each agent is on its own.
func (s *Scenario) DisableSharing() {
	s.Shared = Shared{}
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Kind == Policy || f.needsHubs() })
}

// needsHubs reports whether a fault can be played only where there are hubs.
func (f *Fault) needsHubs() bool {
	for _, text := range []string{f.Targets, f.From, f.To} {
		if strings.HasPrefix(strings.TrimSpace(text), "hubs") {
			return true
		}
	}
	return f.Kind == Settings
}

// maxPolicySources is the number of processes that can be a source of the residency policy.
func (s *Scenario) maxPolicySources() int {
	if s.Shared.Hubs > 0 {
		return s.Shared.Hubs
	}
	return s.Fleet.Agents
}

// SetHubs gives the fleet a number of hubs, or makes it a full mesh with 0. In a scenario written for a full mesh, faults on
// links between agents are extended to the hubs of the same zones, and policies are given to hubs in place of agents.
func (s *Scenario) SetHubs(hubs int) {
	previous := s.Shared.Hubs
	s.Shared.Hubs = hubs
	switch {
	case hubs <= 0:
		s.Shared.Settings = ""
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.needsHubs() })
	case previous == 0:
		s.Shared.Enabled, s.Shared.Sources = true, min(s.Shared.Sources, hubs)
		var additional []Fault // appended, since the place of a fault names its random stream
		for i := range s.Faults {
			f := &s.Faults[i]
			if f.Kind == Policy {
				f.Targets = policyHubs(f.Targets, hubs)
			}
			if from, to := hubsInZonesOf(f.From), hubsInZonesOf(f.To); f.Kind == Link && from != "" && to != "" {
				for _, pair := range [][2]string{{from, f.To}, {f.From, to}, {from, to}} {
					if pair[0] != noHubs && pair[1] != noHubs {
						extra := *f
						extra.From, extra.To = pair[0], pair[1]
						additional = append(additional, extra)
					}
				}
			}
		}
		s.Faults = append(s.Faults, additional...)
	}
}

// noHubs marks a set of single agents, which no hubs go with.
const noHubs = "-"

// hubsInZonesOf returns the set of hubs in the zones of a set of agents; noHubs for a set of single agents, "" for a set of
// other processes.
func hubsInZonesOf(text string) string {
	set, err := ParseSet(text)
	switch {
	case err != nil || set.Kind != "agents":
		return ""
	case len(set.Numbers) > 0 || set.Share < 1:
		return noHubs
	}
	return "hubs" + strings.TrimPrefix(strings.TrimSpace(text), "agents")
}

// policyHubs returns the set of hubs that are given a policy in place of a set of agents.
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
