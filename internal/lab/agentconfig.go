package lab

// The configuration of an agent's process.

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// agentConfig returns the JSON configuration of an agent's process. The configuration is one literal, so that it can be read in
// one place.
func (l *Lab) agentConfig(a *agent, cached endpointList) ([]byte, error) {
	s := l.Scenario
	ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
	var profiles, shares []map[string]any
	for _, c := range l.classes {
		profiles = append(profiles, map[string]any{"Name": c.name, "AimMs": ms(c.objective), "DeadlineMs": ms(c.deadline),
			"Worth": c.weight, "LateValue": 0.0, "Stream": false, "WindowMs": ms(c.dedupWindow),
			"Semantics": []string{"repeatable", "by_key", "once"}[c.idempotency], "Group": []string{"all", "cell", "all"}[c.idempotency]})
	}
	for _, t := range tenants {
		shares = append(shares, map[string]any{"Name": t.name, "Portion": t.share, "QuotaPerS": l.quotaRate(t)})
	}
	var names []string
	for _, k := range machineKinds {
		names = append(names, k.name)
	}
	var regions []int
	for _, name := range s.Fleet.Regions {
		regions = append(regions, slices.Index(s.Fleet.Regions, name))
	}
	var peers []string
	for _, p := range l.agents {
		peers = append(peers, p.relay.LocalAddr().String())
	}
	mode := "automatic"
	if s.Discovery.Polled {
		mode = "subscribe"
	}
	dialFrom := "" // a backend with one address for all agents identifies an agent by its source address
	if s.Shared.RelayedLists {
		dialFrom = l.block.agentAddr(a.number)
	}
	fleet, residency := l.fleetConfig(a)
	return json.MarshalIndent(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": a.name, "listen": a.listenAddr, "discovery": l.discovery.addr(a.number), "seed": fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("seed/%d/%d", a.number, a.starts))),
		"limits":    map[string]any{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"dial_from": dialFrom, "peer_listen": a.peerAddr, "peers": peers, "known": cached,
		"settings": map[string]any{
			"Balancers": len(l.agents), "Me": a.number, "Zone": a.number % len(s.Fleet.Zones), "Dcs": s.Fleet.Zones, "Regions": regions, "Kinds": names,
			"Clients": map[string]any{"MarksRetry": true}, "CountedBy": "request", "FamilyInfo": map[string]any{"WarmKeys": true},
			"Contract": map[string]any{"AskWithinMs": 10000, "ColdFrom": s.Model.InitialCapacity[0], "DrainGraceMs": ms(drainGrace),
				"FallMs": ms(s.Model.OverloadWindow.Duration()), "FallMultiple": s.Model.OverloadMultiple, "GraceToAnswerMs": 20, "RampTimeMs": s.Model.SlowStartSeconds[1] * 1e3},
			"Goal":          map[string]any{"Whole": 0.5, "WorstClass": 0.1, "WorstTenant": 0.1, "WorstWindow": 0.3},
			"KindOfService": "mesh", "MembershipMode": mode, "OverShareWorth": s.Load.OverQuotaWeight,
			"PolicyLimits": map[string]any{"Cancel": true, "ConnectTimeoutMs": ms(connectTimeout), "IdleCloseMs": ms(idleClose), "MaxOpen": 100000,
				"MaxRetryAfterMs": 2000, "MayProbe": true, "Peers": len(l.agents) > 1, "RetryAfter": true, "SecondCopies": true,
				"StreamsPerConn": 1, "TryLimit": 5},
			"Prices":   map[string]any{"Connection": 0.023, "CrossZone": 0.03, "CrossRegion": 0.09, "LateFail": 0.08, "Peer": 0.0073, "Probe": 0.004, "Waste": 0.04},
			"Profiles": profiles, "Report": map[string]any{"Fields": []string{"inflight", "util", "latency_ms"}, "Source": "on_probe"},
			"Tenants": shares, "TickMs": 5, "Tier": 0, "Tiers": []string{"dispatch-servers"}, "Weights": "rough",
		}}, "", " ")
}

const (
	connectTimeout = 250 * time.Millisecond
	idleClose      = 30 * time.Second
)
