package balancer_test

// Tests of zone failover, and the rig with three zones that they use.

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenbeam/balancer"
)

// The same cases every time; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "1") } // rapid has registered it

// zoneRig is a rig with three zones of three backends, which answer after a while unless their zone is silent.
type zoneRig struct {
	*rig
	list           []balancer.Backend
	silent         map[int]bool
	answerAt       map[string]time.Duration // when each request's answer arrives
	clientDeadline map[string]time.Duration // when each request's client stops waiting
	first          map[int]int              // first attempts by zone
	probes         []string
	requests       int
	probed         int
	silentBackends map[string]bool // single backends that are silent
	changes        []zoneChange
	gossip         [][]byte              // messages to peers
	extraLatency   map[int]time.Duration // additional latency of a zone's answers
	class          func(n int) int       // of the n-th request; nil: all idempotent
	settings       balancer.Settings
}

// zoneChange is a state change of a zone, and when it happened.
type zoneChange struct {
	balancer.ZoneStateChanged
	at time.Duration
}

func newZoneRig(t *testing.T, seed uint64, change ...func(s *balancer.Settings)) *zoneRig {
	t.Helper()
	z := &zoneRig{silent: map[int]bool{}, answerAt: map[string]time.Duration{},
		clientDeadline: map[string]time.Duration{}, first: map[int]int{}}
	for i := range 9 {
		z.list = append(z.list, balancer.Backend{ID: string(rune('a' + i)), Zone: i % 3, Cell: i % 3})
	}
	s := settings()
	s.ProbingAllowed, s.Balancers = true, 1
	for _, c := range change {
		c(&s)
	}
	z.rig = newRig(t, s, seed, z.list)
	z.settings = s
	return z
}

func (z *zoneRig) zone(id string) int { return int(id[0]-'a') % 3 }

// record keeps the balancer's actions and schedules answers.
func (z *zoneRig) record(actions []balancer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			if len(z.sent[a.Request]) == 1 {
				z.first[z.zone(a.Backend)]++
			}
			z.answerAt[a.Request] = z.now + 20*ms + z.extraLatency[z.zone(a.Backend)]
			if z.silent[z.zone(a.Backend)] || z.silentBackends[a.Backend] {
				z.answerAt[a.Request] = min(z.now+time.Second, z.clientDeadline[a.Request]) // no attempt outlasts its client
			}
		case balancer.SendGossip:
			z.gossip = append(z.gossip, a.Data)
		case balancer.ZoneStateChanged:
			z.changes = append(z.changes, zoneChange{a, z.now})
		case balancer.Probe:
			z.probes = append(z.probes, a.Backend)
			z.probed++
		}
	}
}

// run lets time pass, with a request every 5 ms.
func (z *zoneRig) run(span time.Duration) {
	for end := z.now + span; z.now < end; {
		z.record(z.advance(5 * ms))
		var over []string
		for id, at := range z.answerAt {
			if at <= z.now {
				over = append(over, id)
			}
		}
		slices.Sort(over)
		for _, id := range over {
			delete(z.answerAt, id)
			to := z.sent[id][len(z.sent[id])-1]
			if z.silent[z.zone(to)] || z.silentBackends[to] {
				z.record(z.outcome(id, balancer.TimedOut, time.Second))
			} else {
				z.record(z.outcome(id, balancer.OK, 20*ms+z.extraLatency[z.zone(to)]))
			}
		}
		probes := z.probes
		z.probes = nil
		for _, id := range probes {
			result := balancer.OK
			if z.silent[z.zone(id)] {
				result = balancer.TimedOut
			}
			z.record(z.step(balancer.ProbeResult{Backend: id, Result: result, Latency: ms}))
		}
		z.requests++
		id := fmt.Sprint("z", z.requests)
		z.clientDeadline[id] = z.now + 1995*ms
		class := idempotent
		if z.class != nil {
			class = z.class(z.requests)
		}
		z.record(z.request(id, class))
	}
}

// A zone that falls silent is failed over, checked by probes, and recovers with a growing share of traffic.
func TestSilentZoneFailsOverAndRecovers(t *testing.T) {
	z := newZoneRig(t, 3)
	z.run(2 * time.Second)
	if z.first[1] < 60 {
		t.Fatalf("before: %v", z.first)
	}
	z.silent[1] = true
	z.run(1500 * ms)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[1] > 0 || z.first[0]+z.first[2] < 300 {
		t.Errorf("after it was left: first attempts by zone %v", z.first)
	}
	z.silent[1] = false
	z.run(5 * time.Second)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[1] < 60 {
		t.Errorf("after its return: %v", z.first)
	}
}

// Silence everywhere is this agent's own: it fails over from nothing, and works again as soon as anything answers.
func TestSilenceEverywhereFailsNothingOver(t *testing.T) {
	z := newZoneRig(t, 4)
	z.run(time.Second)
	for zone := range 3 {
		z.silent[zone] = true
	}
	z.run(3 * time.Second)
	if z.probed > 0 {
		t.Error("a zone was left")
	}
	clear(z.silent)
	z.run(6 * time.Second)
	clear(z.first)
	z.run(2 * time.Second)
	if z.first[0] < 30 || z.first[1] < 30 || z.first[2] < 30 {
		t.Errorf("afterwards: %v", z.first)
	}
}

// A zone in which most backends are silent and one answers is not failed over: its backends are judged one by one.
func TestAnsweringZoneIsNotFailedOver(t *testing.T) {
	z := newZoneRig(t, 5)
	z.run(time.Second)
	z.silentBackends = map[string]bool{"e": true, "h": true}
	z.run(4 * time.Second)
	if z.probed > 0 {
		t.Error("the zone was left")
	}
	if z.first[1] == 0 {
		t.Error("nothing goes there")
	}
}

// Whatever zones do: the rules hold, a failover has a minimum length, no zone stays out of use once all answer again,
// and what goes to the other zones in the meantime stays within their capacity.
func TestZonesUnderRandomSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := newZoneRig(t, rapid.Uint64().Draw(rt, "seed"))
		z.audit = newAuditor(z.settings)
		z.audit.event(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: z.list})
		z.class = func(n int) int { return n % 5 }
		z.run(500 * ms)
		for range rapid.IntRange(1, 6).Draw(rt, "turns") {
			zone := rapid.IntRange(0, 2).Draw(rt, "zone")
			z.silent[zone] = !z.silent[zone]
			z.run(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "ms")) * ms)
		}
		clear(z.silent)
		z.run(12 * time.Second)
		clear(z.first)
		z.run(time.Second)
		for zone := range 3 {
			if z.first[zone] == 0 {
				rt.Fatalf("zone %d is out of use for good: %v", zone, z.first)
			}
		}
		left := map[int]time.Duration{}
		for _, turn := range z.changes {
			if at := left[turn.Zone]; !turn.FailedOver && turn.at-at < 200*ms { // half of the longest objective
				rt.Fatalf("zone %d was left for %v only", turn.Zone, turn.at-at)
			}
			left[turn.Zone] = turn.at
		}
		if len(z.audit.violations) > 0 {
			rt.Fatalf("rules: %v", z.audit.violations[0])
		}
	})
}

// lossReportData is the message of a peer without demand that found the given zones lost, one bit each.
func lossReportData(zones uint16) []byte {
	return binary.BigEndian.AppendUint16(append(make([]byte, 8), 0), zones)
}

// Reports of three peers, and silence here, make an agent fail over from a zone that it hardly sends to.
func TestZoneFailsOverOnPeerReports(t *testing.T) {
	for name, c := range map[string]struct {
		from  []int
		lost  uint16
		every time.Duration
		loud  bool // the zone goes on answering here
		burst bool // all at once
		want  bool
	}{
		"three":                            {from: []int{1, 2, 3}, lost: 2, want: true},
		"two":                              {from: []int{1, 2}, lost: 2},
		"one, again and again":             {from: []int{1, 1, 1, 1}, lost: 2},
		"three beyond a cut":               {from: []int{1, 2, 3}, lost: 2 | 1},
		"three, too far apart":             {from: []int{1, 2, 3}, lost: 2, every: 900 * ms},
		"three, and the zone answers here": {from: []int{1, 2, 3}, lost: 2, loud: true},
		"three at once":                    {from: []int{1, 2, 3}, lost: 2, burst: true, want: true},
		"three at once, and it has just answered": {from: []int{1, 2, 3}, lost: 2, burst: true, loud: true},
		"a peer that there is not":                {from: []int{1, 2, 7}, lost: 2},
		"three, of a zone that there is not":      {from: []int{1, 2, 3}, lost: 1 << 12},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZoneRig(t, 3, func(s *balancer.Settings) { s.Balancers, s.GossipAllowed = 4, true })
			z.run(time.Second)
			if !c.loud { // it depends on the reports alone
				for _, id := range []string{"b", "e", "h"} {
					z.step(balancer.Disable{Backend: id})
				}
			}
			z.run(100 * ms) // the outstanding attempts are answered
			for _, from := range c.from {
				if !c.burst {
					z.run(max(c.every, 50*ms))
				}
				z.record(z.step(balancer.GossipReceived{From: from, Data: lossReportData(c.lost)}))
			}
			left := len(z.changes) > 0 && z.changes[0].Zone == 1 && z.changes[0].ByGossip
			if left != c.want || !left && len(z.changes) > 0 {
				t.Errorf("turns: %+v", z.changes)
			}
		})
	}
}

// An agent that fails over on its own evidence tells its peers at once, but only while that is news.
func TestZoneLossIsGossiped(t *testing.T) {
	z := newZoneRig(t, 3, func(s *balancer.Settings) { s.Balancers, s.GossipAllowed = 4, true })
	z.run(time.Second)
	z.silent[1] = true
	for len(z.changes) == 0 && z.now < 2*time.Hour {
		z.run(5 * ms)
	}
	tellings := func() (n int) {
		for _, data := range z.gossip {
			if len(data) == 11 && data[10] == 2 {
				n++
			}
		}
		return n
	}
	if told := tellings(); told != 3 {
		t.Errorf("%d of three peers were told", told)
	}
	z.run(500 * ms) // more than the longest objective
	z.gossip = nil
	if z.run(time.Second); tellings() > 0 {
		t.Error("old news is told")
	}
}

// A zone in slow start is health-checked by the whole fleet, and health checks are work, too. Together they take
// little of what a backend in slow start may get besides requests.
func TestFleetProbesAreLittleWork(t *testing.T) {
	const agents, span = 100, 6 * time.Second
	const probe, request = 0.72, 84.0 // ms of work: the most expensive health check, the cheapest request of the operators' site
	probed, perZone := 0, 3
	for n := range uint64(agents) {
		z := newZoneRig(t, n+1, func(s *balancer.Settings) { s.Balancers = agents })
		z.run(time.Second)
		z.silent[2] = true
		z.run(span)
		probed += z.probed
	}
	if probed < agents {
		t.Fatalf("%d probes by %d agents: hardly one found the zone lost", probed, agents)
	}
	each := float64(probed) / span.Seconds() / float64(perZone) // per backend, in the window in which it may become overloaded
	const free = 6.0                                            // requests allowed beyond its budget, at least: 3 x root of N + 3
	if share := each * probe / (free * request); share > 0.2 {
		t.Errorf("%.0f probes a second at each backend take %.0f%% of what is free", each, 100*share)
	} else {
		t.Logf("%.1f probes a second at each backend, %.1f%% of what is free", each, 100*share)
	}
}
