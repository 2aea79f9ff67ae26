package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"martenbeam/internal/lab/check"
	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/netfault"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
)

// class is a class of requests. Its times are those of a day on which work is not scaled.
type class struct {
	name        string
	share       float64
	work        time.Duration // mean
	cv          float64       // of the work
	objective   time.Duration
	deadline    time.Duration
	weight      float64
	idempotency check.Idempotency
	dedupWindow time.Duration
}

// What the office's couriers ask for.
var classes = []class{
	{"stop-update", 0.59, 117 * time.Millisecond, 0.5, 600 * time.Millisecond, 2 * time.Second, 5, check.IdempotencyKey, 10 * time.Second},
	{"route-assign", 0.41, 155 * time.Millisecond, 0.5, 800 * time.Millisecond, 3 * time.Second, 8, check.NonIdempotent, 0},
}

// tenant is a carrier: its share of the service and of the traffic.
type tenant struct {
	name         string
	share, usage float64
}

var tenants = []tenant{{"state-post", 0.52, 0.85}, {"city-couriers", 0.48, 1.15}}

// machine kinds: the share of machines and the range of a core's speed.
var machineKinds = []struct {
	name  string
	share float64
	speed scenario.Range
}{{"fast-4core", 0.48, scenario.Range{1.3, 1.7}}, {"std-4core", 0.52, scenario.Range{0.85, 1.1}}}

const cores = 4

// addInitialHosts draws the backends.
func (l *Lab) addInitialHosts() {
	s := l.Scenario
	for n := range s.Fleet.Backends {
		zone := n % len(s.Fleet.Zones)
		if len(s.Fleet.ZoneSize) > 0 {
			zone = 0
			for left := n; left >= s.Fleet.ZoneSize[zone]; zone++ {
				left -= s.Fleet.ZoneSize[zone]
			}
		}
		l.addHost(zone, -1)
	}
}

// addHost adds a machine that started at a time; a negative one is long ago.
func (l *Lab) addHost(zone int, started time.Duration) *host {
	n := len(l.hosts)
	ranges, r := &l.Scenario.Model, l.rng.Of("machine", n)
	draw := func(x scenario.Range) float64 { return rng.Between(r, x[0], x[1]) }
	kind := 0
	if r.Float64() >= machineKinds[0].share {
		kind = 1
	}
	neighbours := 0
	for _, h := range l.hosts {
		if h.machine.Zone == zone && started < 0 {
			neighbours++
		}
	}
	speed := draw(machineKinds[kind].speed)
	spec := model.Spec{ID: fmt.Sprintf("s-%08x", uint32(l.rng.Hash("id/"+strconv.Itoa(n)))), Zone: zone,
		Cell: zone*1000 + neighbours/l.Scenario.Fleet.CellSize, Kind: kind, Cores: cores, Speed: speed,
		Slots: int(math.Round(cores * draw(ranges.SlotsPerCore))), QueueCapacity: int(cores * draw(ranges.QueuePerCore)), ThrashLoss: draw(ranges.ThrashLoss),
		ThrashAt: draw(ranges.ThrashAt), InitialCapacity: draw(ranges.InitialCapacity), SlowStartWindow: seconds(draw(ranges.SlowStartSeconds)), OverloadMultiple: ranges.OverloadMultiple,
		OverloadWindow: ranges.OverloadWindow.Duration(), ErrorRate: draw(ranges.ErrorRate), KeySaving: draw(ranges.KeySaving), KeyTTL: seconds(draw(ranges.KeyTTLSeconds)),
		MaxKeys: cores * ranges.KeysPerCore, MaxConns: int(draw(ranges.MaxConns)), Weight: math.Round(speed*cores) / cores,
		Handshake: seconds(draw(ranges.HandshakeMs) / 1e3), ProbeWork: seconds(draw(scenario.Range{0.45, 0.72}) / 1e3),
		DropsCancelled: r.Float64() < 0.5}
	degradation := []float64{r.Float64(), r.Float64(), r.Float64(), r.Float64()}
	if ranges.Degrades && degradation[0] < 0.6 {
		spec.DegradeAt, spec.DegradeAfter, spec.DegradeFactor = 7, seconds(1.5+degradation[1]), 2+1.1*degradation[2]
		spec.RecoverAfter, spec.MaxDegraded = seconds(2.4+2.5*degradation[3]), seconds(16+15*degradation[3])
	}
	h := &host{lab: l, number: n, machine: model.New(spec, started), conns: map[*backendConn]bool{}, opened: map[time.Duration]int{}}
	l.hosts = append(l.hosts, h)
	return h
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scaleClasses scales work so that the rate asks for the stated part of what the machines can do. Aims and
// deadlines go with it, as the machines are no faster.
func (l *Lab) scaleClasses() {
	capacity, mean := 0.0, 0.0
	for _, h := range l.hosts {
		capacity += h.machine.Capacity()
	}
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	l.scale = l.Scenario.Load.Utilization * capacity / (l.Scenario.Load.Rate * mean)
	for _, c := range classes {
		c.work, c.objective, c.deadline = l.scaled(c.work), l.scaled(c.objective), l.scaled(c.deadline)
		l.classes = append(l.classes, c)
	}
	for _, h := range l.hosts {
		l.scaleHost(h)
	}
}

func (l *Lab) scaleHost(h *host) {
	h.machine.Handshake, h.machine.ProbeWork = l.scaled(h.machine.Handshake), l.scaled(h.machine.ProbeWork)
}

func (l *Lab) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * l.scale) }

// LongestDeadline is how long the clients of the most patient class wait.
func (l *Lab) LongestDeadline() time.Duration { return l.maxDeadline() }

func (l *Lab) maxDeadline() (d time.Duration) {
	for _, c := range l.classes {
		d = max(d, c.deadline)
	}
	return d
}

func (l *Lab) checkClasses() (list []check.Class) {
	for _, c := range l.classes {
		list = append(list, check.Class{Name: c.name, Idempotency: c.idempotency, DedupWindow: c.dedupWindow})
	}
	return list
}

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

// agentConfig is what an agent's process is told.
func (l *Lab) agentConfig(a *agent, known endpointList) ([]byte, error) {
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
	from := "" // where one address is for all, a backend knows by the other end's who calls
	if s.Shared.RelayedLists {
		from = l.block.agentAddr(a.number)
	}
	fleet, residency := l.fleetConfig(a)
	return json.MarshalIndent(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": a.name, "listen": a.listenAddr, "discovery": l.discovery.addr(a.number), "seed": fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("seed/%d/%d", a.number, a.starts))),
		"limits":    map[string]any{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"dial_from": from, "peer_listen": a.peerAddr, "peers": peers, "known": known,
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

// quotaRate is the rate up to which a tenant's requests have their full worth: its share of most of what the warm
// machines can do.
func (l *Lab) quotaRate(t tenant) float64 {
	return t.share * 0.85 * l.Scenario.Load.Rate / l.Scenario.Load.Utilization
}
