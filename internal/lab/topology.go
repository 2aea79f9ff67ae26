package lab

// Where everything is: zones, regions and the latency between them.

import (
	"time"

	"martenbeam/internal/lab/netfault"
)

// zone is where a party is; discovery is nowhere.
func (l *Lab) zone(p netfault.Endpoint) int {
	switch p.Role {
	case netfault.Backend:
		return l.hosts[p.Number].machine.Zone
	case netfault.Discovery:
		return -1
	}
	return p.Number % len(l.Scenario.Fleet.Zones)
}

// region is the region of a zone; without any, all are near.
func (l *Lab) region(zone int) string {
	if regions := l.Scenario.Fleet.Regions; zone >= 0 && len(regions) > 0 {
		return regions[zone]
	}
	return ""
}

// baseLatency is the ordinary one-way time between two parties.
func (l *Lab) baseLatency(from, to netfault.Endpoint) time.Duration {
	latencyMs := l.Scenario.Model.CrossZoneMs
	switch {
	case from.Role == netfault.Client || to.Role == netfault.Client || from.Role == netfault.Discovery || to.Role == netfault.Discovery:
		return 0 // on the same machine
	case from.Role == netfault.Agent && to.Role == netfault.Agent:
		latencyMs = l.Scenario.Model.PeerMs
	case l.zone(from) == l.zone(to): // members of a fleet as well: they are as far from each other as from backends
		latencyMs = l.Scenario.Model.SameZoneMs
	case l.region(l.zone(from)) != l.region(l.zone(to)):
		latencyMs = l.Scenario.Model.CrossRegionMs
	}
	return time.Duration((latencyMs[0] + latencyMs[1]) / 2 * float64(time.Millisecond))
}

func endpointOf(role netfault.Role, n int) netfault.Endpoint {
	return netfault.Endpoint{Role: role, Number: n}
}
