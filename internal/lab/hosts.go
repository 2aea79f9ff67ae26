package lab

// The backends of a run, drawn from its seed.

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"martenbeam/internal/lab/model"
	"martenbeam/internal/lab/rng"
	"martenbeam/internal/lab/scenario"
)

// machineKinds are the kinds of machines, each with its share and the range of a core's speed.
var machineKinds = []struct {
	name  string
	share float64
	speed scenario.Range
}{{"fast-4core", 0.48, scenario.Range{1.3, 1.7}}, {"std-4core", 0.52, scenario.Range{0.85, 1.1}}}

const cores = 4 // of each backend

// addInitialHosts adds the backends that are up at the start of the run.
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

// addHost adds a backend with properties drawn from the seed. A negative start time means that it started long before the run.
func (l *Lab) addHost(zone int, started time.Duration) *host {
	n := len(l.hosts)
	ranges, r := &l.Scenario.Model, l.rng.Of("machine", n)
	draw := func(x scenario.Range) float64 { return rng.Between(r, x[0], x[1]) }
	kind := 0
	if r.Float64() >= machineKinds[0].share {
		kind = 1
	}
	inZone := 0
	for _, h := range l.hosts {
		if h.machine.Zone == zone && started < 0 {
			inZone++
		}
	}
	speed := draw(machineKinds[kind].speed)
	spec := model.Spec{ID: fmt.Sprintf("s-%08x", uint32(l.rng.Hash("id/"+strconv.Itoa(n)))), Zone: zone,
		Cell: zone*1000 + inZone/l.Scenario.Fleet.CellSize, Kind: kind, Cores: cores, Speed: speed,
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
