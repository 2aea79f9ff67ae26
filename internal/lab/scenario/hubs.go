package scenario

// One scenario with and without hubs, and without anything shared.

import (
	"slices"
	"strconv"
	"strings"
)

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
