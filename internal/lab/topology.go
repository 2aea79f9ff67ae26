package lab

// Zones, regions and the latency between them.

import (
	"time"

	"martenbeam/internal/lab/netfault"
)

// zone returns the zone of a process, or -1 for discovery.
func (l *Lab) zone(p netfault.Endpoint) int {
	switch p.Role {
	case netfault.Backend:
		return l.hosts[p.Number].machine.Zone
	case netfault.Discovery:
		return -1
	}
	return p.Number % len(l.Scenario.Fleet.Zones)
}

// region returns the region of a zone, or "" if the scenario has no regions.
func (l *Lab) region(zone int) string {
	if regions := l.Scenario.Fleet.Regions; zone >= 0 && len(regions) > 0 {
		return regions[zone]
	}
	return ""
}

// baseLatency returns the one-way latency between two processes without faults.
func (l *Lab) baseLatency(from, to netfault.Endpoint) time.Duration {
	latencyMs := l.Scenario.Model.CrossZoneMs
	switch {
	case from.Role == netfault.Client || to.Role == netfault.Client || from.Role == netfault.Discovery || to.Role == netfault.Discovery:
		return 0 // clients and discovery are on the machine of the agent
	case from.Role == netfault.Agent && to.Role == netfault.Agent:
		latencyMs = l.Scenario.Model.PeerMs
	case l.zone(from) == l.zone(to): // also between members of a fleet
		latencyMs = l.Scenario.Model.SameZoneMs
	case l.region(l.zone(from)) != l.region(l.zone(to)):
		latencyMs = l.Scenario.Model.CrossRegionMs
	}
	return time.Duration((latencyMs[0] + latencyMs[1]) / 2 * float64(time.Millisecond))
}

func endpointOf(role netfault.Role, n int) netfault.Endpoint {
	return netfault.Endpoint{Role: role, Number: n}
}
