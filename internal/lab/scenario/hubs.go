package scenario

// Variants of a scenario: with hubs, as a full mesh, and without a fleet.

import (
	"slices"
	"strconv"
	"strings"
)

// DisableSharing removes the fleet and the faults that require a fleet, so that each agent works alone.
func (s *Scenario) DisableSharing() {
	s.Shared = Shared{}
	s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.Kind == Policy || f.needsHubs() })
}

// needsHubs reports whether a fault requires hubs.
func (f *Fault) needsHubs() bool {
	for _, text := range []string{f.Targets, f.From, f.To} {
		if strings.HasPrefix(strings.TrimSpace(text), "hubs") {
			return true
		}
	}
	return f.Kind == Settings
}

// maxPolicySources returns the number of processes that can be a source of the residency policy.
func (s *Scenario) maxPolicySources() int {
	if s.Shared.Hubs > 0 {
		return s.Shared.Hubs
	}
	return s.Fleet.Agents
}

// SetHubs sets the number of hubs; 0 makes the fleet a full mesh, and removes the faults that require hubs. In a scenario
// written for a full mesh, faults on links between agents also apply to the hubs of the same zones, and policies are written
// to hubs in place of agents.
func (s *Scenario) SetHubs(hubs int) {
	previous := s.Shared.Hubs
	s.Shared.Hubs = hubs
	switch {
	case hubs <= 0:
		s.Shared.Settings = ""
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool { return f.needsHubs() })
	case previous == 0:
		s.Shared.Enabled, s.Shared.Sources = true, min(s.Shared.Sources, hubs)
		var additional []Fault // appended, because the random stream of a fault is named by its index
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

// noHubs is the result of hubsInZonesOf for a set of single agents, to which no hubs correspond.
const noHubs = "-"

// hubsInZonesOf returns the set of hubs in the zones of a set of agents, noHubs for a set of single agents, or "" for a set
// of other processes.
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

// policyHubs returns the set of hubs that get a policy in place of a set of agents.
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
