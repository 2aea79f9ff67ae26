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
	name     string
	share    float64
	work     time.Duration // mean
	cv       float64       // of the work
	aim      time.Duration
	deadline time.Duration
	worth    float64
	effect   check.Idempotency
	window   time.Duration
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

// machines draws the backends.
func (l *Lab) machines() {
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
	w, r := &l.Scenario.Model, l.rng.Of("machine", n)
	in := func(x scenario.Range) float64 { return rng.Between(r, x[0], x[1]) }
	kind := 0
	if r.Float64() >= machineKinds[0].share {
		kind = 1
	}
	mates := 0
	for _, h := range l.hosts {
		if h.m.Zone == zone && started < 0 {
			mates++
		}
	}
	speed := in(machineKinds[kind].speed)
	spec := model.Spec{ID: fmt.Sprintf("s-%08x", uint32(l.rng.Hash("id/"+strconv.Itoa(n)))), Zone: zone,
		Cell: zone*1000 + mates/l.Scenario.Fleet.CellSize, Kind: kind, Cores: cores, Speed: speed,
		Slots: int(math.Round(cores * in(w.SlotsPerCore))), QueueCapacity: int(cores * in(w.QueuePerCore)), ThrashLoss: in(w.ThrashLoss),
		ThrashAt: in(w.ThrashAt), InitialCapacity: in(w.InitialCapacity), SlowStartWindow: seconds(in(w.SlowStartSeconds)), OverloadMultiple: w.OverloadMultiple,
		OverloadWindow: w.OverloadWindow.Duration(), ErrorRate: in(w.ErrorRate), KeySaving: in(w.KeySaving), KeyTTL: seconds(in(w.KeyTTLSeconds)),
		MaxKeys: cores * w.KeysPerCore, MaxConns: int(in(w.MaxConns)), Weight: math.Round(speed*cores) / cores,
		Handshake: seconds(in(w.HandshakeMs) / 1e3), ProbeWork: seconds(in(scenario.Range{0.45, 0.72}) / 1e3),
		DropsCancelled: r.Float64() < 0.5}
	choke := []float64{r.Float64(), r.Float64(), r.Float64(), r.Float64()}
	if w.Degrades && choke[0] < 0.6 {
		spec.DegradeAt, spec.DegradeAfter, spec.DegradeFactor = 7, seconds(1.5+choke[1]), 2+1.1*choke[2]
		spec.RecoverAfter, spec.MaxDegraded = seconds(2.4+2.5*choke[3]), seconds(16+15*choke[3])
	}
	h := &host{lab: l, n: n, m: model.New(spec, started), conns: map[*backendConn]bool{}, opened: map[time.Duration]int{}}
	l.hosts = append(l.hosts, h)
	return h
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// classes scales work so that the rate asks for the stated part of what the machines can do. Aims and
// deadlines go with it, as the machines are no faster.
func (l *Lab) classes() {
	capacity, mean := 0.0, 0.0
	for _, h := range l.hosts {
		capacity += h.m.Capacity()
	}
	for _, c := range classes {
		mean += c.share * c.work.Seconds()
	}
	l.scale = l.Scenario.Load.Utilization * capacity / (l.Scenario.Load.Rate * mean)
	for _, c := range classes {
		c.work, c.aim, c.deadline = l.scaled(c.work), l.scaled(c.aim), l.scaled(c.deadline)
		l.kinds = append(l.kinds, c)
	}
	for _, h := range l.hosts {
		l.scaleHost(h)
	}
}

func (l *Lab) scaleHost(h *host) {
	h.m.Handshake, h.m.ProbeWork = l.scaled(h.m.Handshake), l.scaled(h.m.ProbeWork)
}

func (l *Lab) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * l.scale) }

// LongestDeadline is how long the clients of the most patient class wait.
func (l *Lab) LongestDeadline() time.Duration { return l.longest() }

func (l *Lab) longest() (d time.Duration) {
	for _, c := range l.kinds {
		d = max(d, c.deadline)
	}
	return d
}

func (l *Lab) checkClasses() (list []check.Class) {
	for _, c := range l.kinds {
		list = append(list, check.Class{Name: c.name, Idempotency: c.effect, DedupWindow: c.window})
	}
	return list
}

// zone is where a party is; discovery is nowhere.
func (l *Lab) zone(p netfault.Endpoint) int {
	switch p.Role {
	case netfault.Backend:
		return l.hosts[p.Number].m.Zone
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

// way is the ordinary one-way time between two parties.
func (l *Lab) way(from, to netfault.Endpoint) time.Duration {
	r := l.Scenario.Model.CrossZoneMs
	switch {
	case from.Role == netfault.Client || to.Role == netfault.Client || from.Role == netfault.Discovery || to.Role == netfault.Discovery:
		return 0 // on the same machine
	case from.Role == netfault.Agent && to.Role == netfault.Agent:
		r = l.Scenario.Model.PeerMs
	case l.zone(from) == l.zone(to): // members of a fleet as well: they are as far from each other as from backends
		r = l.Scenario.Model.SameZoneMs
	case l.region(l.zone(from)) != l.region(l.zone(to)):
		r = l.Scenario.Model.CrossRegionMs
	}
	return time.Duration((r[0] + r[1]) / 2 * float64(time.Millisecond))
}

// configure is what an agent's process is told.
func (l *Lab) configure(a *agent, known members) ([]byte, error) {
	s := l.Scenario
	ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
	var profiles, shares []map[string]any
	for _, c := range l.kinds {
		profiles = append(profiles, map[string]any{"Name": c.name, "AimMs": ms(c.aim), "DeadlineMs": ms(c.deadline),
			"Worth": c.worth, "LateValue": 0.0, "Stream": false, "WindowMs": ms(c.window),
			"Semantics": []string{"repeatable", "by_key", "once"}[c.effect], "Group": []string{"all", "cell", "all"}[c.effect]})
	}
	for _, t := range tenants {
		shares = append(shares, map[string]any{"Name": t.name, "Portion": t.share, "QuotaPerS": l.quota(t)})
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
		from = l.block.agent(a.n)
	}
	fleet, residency := l.together(a)
	return json.MarshalIndent(map[string]any{
		"fleet": fleet, "residency": residency,
		"name": a.name, "listen": a.listen, "discovery": l.disc.addr(a.n), "seed": fmt.Sprintf("%016x", l.rng.Hash(fmt.Sprintf("seed/%d/%d", a.n, a.starts))),
		"limits":    map[string]any{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"dial_from": from, "peer_listen": a.peerListen, "peers": peers, "known": known,
		"settings": map[string]any{
			"Balancers": len(l.agents), "Me": a.n, "Zone": a.n % len(s.Fleet.Zones), "Dcs": s.Fleet.Zones, "Regions": regions, "Kinds": names,
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

// quota is the rate up to which a tenant's requests have their full worth: its share of most of what the warm
// machines can do.
func (l *Lab) quota(t tenant) float64 {
	return t.share * 0.85 * l.Scenario.Load.Rate / l.Scenario.Load.Utilization
}
