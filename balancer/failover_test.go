package balancer_test

// Tests of zone failover, and the rig with three zones that the tests use.

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

// The fixed seed makes every run draw the same cases; -rapid.seed=0 draws new ones. The package rapid has registered the
// flag before init runs.
func init() { _ = flag.Set("rapid.seed", "1") }

// zoneRig is a rig with three zones of three backends, which respond after 20 ms unless they are unresponsive.
type zoneRig struct {
	*rig
	list                 []balancer.Backend
	unresponsive         map[int]bool
	outcomeAt            map[string]time.Duration // when the outcome of each request's latest attempt arrives
	clientDeadline       map[string]time.Duration // when each request's client stops waiting
	firstAttempts        map[int]int              // first attempts by zone
	probes               []string
	requests             int
	probeCount           int
	unresponsiveBackends map[string]bool // unresponsive backends in responsive zones
	changes              []zoneChange
	gossip               [][]byte              // messages to peers
	extraLatency         map[int]time.Duration // additional latency of a zone's responses
	class                func(n int) int       // of the n-th request; nil: all idempotent
	settings             balancer.Settings
}

// zoneChange is a state change of a zone, and when it happened.
type zoneChange struct {
	balancer.ZoneStateChanged
	at time.Duration
}

func newZoneRig(t *testing.T, seed uint64, change ...func(s *balancer.Settings)) *zoneRig {
	t.Helper()
	z := &zoneRig{unresponsive: map[int]bool{}, outcomeAt: map[string]time.Duration{},
		clientDeadline: map[string]time.Duration{}, firstAttempts: map[int]int{}}
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

// record stores the balancer's actions and schedules the outcomes of its attempts.
func (z *zoneRig) record(actions []balancer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case balancer.Send:
			if len(z.sent[a.Request]) == 1 {
				z.firstAttempts[z.zone(a.Backend)]++
			}
			z.outcomeAt[a.Request] = z.now + 20*ms + z.extraLatency[z.zone(a.Backend)]
			if z.unresponsive[z.zone(a.Backend)] || z.unresponsiveBackends[a.Backend] {
				z.outcomeAt[a.Request] = min(z.now+time.Second, z.clientDeadline[a.Request]) // no attempt outlasts its client
			}
		case balancer.SendGossip:
			z.gossip = append(z.gossip, a.Data)
		case balancer.ZoneStateChanged:
			z.changes = append(z.changes, zoneChange{a, z.now})
		case balancer.Probe:
			z.probes = append(z.probes, a.Backend)
			z.probeCount++
		}
	}
}

// run advances the clock by the span, with a request every 5 ms.
func (z *zoneRig) run(span time.Duration) {
	for end := z.now + span; z.now < end; {
		z.record(z.advance(5 * ms))
		var due []string
		for id, at := range z.outcomeAt {
			if at <= z.now {
				due = append(due, id)
			}
		}
		slices.Sort(due)
		for _, id := range due {
			delete(z.outcomeAt, id)
			to := z.sent[id][len(z.sent[id])-1]
			if z.unresponsive[z.zone(to)] || z.unresponsiveBackends[to] {
				z.record(z.outcome(id, balancer.TimedOut, time.Second))
			} else {
				z.record(z.outcome(id, balancer.OK, 20*ms+z.extraLatency[z.zone(to)]))
			}
		}
		probes := z.probes
		z.probes = nil
		for _, id := range probes {
			result := balancer.OK
			if z.unresponsive[z.zone(id)] {
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

// An unresponsive zone is failed over and probed, and gets its share of traffic back after it responds again.
func TestUnresponsiveZoneFailsOverAndRecovers(t *testing.T) {
	z := newZoneRig(t, 3)
	z.run(2 * time.Second)
	if z.firstAttempts[1] < 60 {
		t.Fatalf("before the outage: first attempts by zone %v, want at least 60 in zone 1", z.firstAttempts)
	}
	z.unresponsive[1] = true
	z.run(1500 * ms)
	clear(z.firstAttempts)
	z.run(2 * time.Second)
	if z.firstAttempts[1] > 0 || z.firstAttempts[0]+z.firstAttempts[2] < 300 {
		t.Errorf("after the failover: first attempts by zone %v, want none in zone 1 and at least 300 in the others",
			z.firstAttempts)
	}
	z.unresponsive[1] = false
	z.run(5 * time.Second)
	clear(z.firstAttempts)
	z.run(2 * time.Second)
	if z.firstAttempts[1] < 60 {
		t.Errorf("after the recovery: first attempts by zone %v, want at least 60 in zone 1", z.firstAttempts)
	}
}

// If no zone responds, the agent or its own link is the cause. The agent doesn't fail over, and uses all zones again
// when they respond.
func TestNoFailoverWhenAllZonesAreUnresponsive(t *testing.T) {
	z := newZoneRig(t, 4)
	z.run(time.Second)
	for zone := range 3 {
		z.unresponsive[zone] = true
	}
	z.run(3 * time.Second)
	if z.probeCount > 0 {
		t.Error("health checks were sent, want none, since no zone may be failed over")
	}
	clear(z.unresponsive)
	z.run(6 * time.Second)
	clear(z.firstAttempts)
	z.run(2 * time.Second)
	if z.firstAttempts[0] < 30 || z.firstAttempts[1] < 30 || z.firstAttempts[2] < 30 {
		t.Errorf("after the outage: first attempts by zone %v, want at least 30 in each", z.firstAttempts)
	}
}

// A zone in which two of three backends are unresponsive is not failed over: its backends are ejected individually.
func TestPartlyResponsiveZoneIsNotFailedOver(t *testing.T) {
	z := newZoneRig(t, 5)
	z.run(time.Second)
	z.unresponsiveBackends = map[string]bool{"e": true, "h": true}
	z.run(4 * time.Second)
	if z.probeCount > 0 {
		t.Error("health checks were sent, want none, since the zone may not be failed over")
	}
	if z.firstAttempts[1] == 0 {
		t.Error("the zone with two unresponsive backends got no first attempt, want some")
	}
}

// Under random outages of zones the auditor's rules hold, a failover has a minimum length, and every zone is in use
// again after all zones respond.
func TestZonesUnderRandomOutages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := newZoneRig(t, rapid.Uint64().Draw(rt, "seed"))
		z.audit = newAuditor(z.settings)
		z.audit.event(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: z.list})
		z.class = func(n int) int { return n % 5 }
		z.run(500 * ms)
		for range rapid.IntRange(1, 6).Draw(rt, "toggles") {
			zone := rapid.IntRange(0, 2).Draw(rt, "zone")
			z.unresponsive[zone] = !z.unresponsive[zone]
			z.run(time.Duration(rapid.IntRange(100, 2500).Draw(rt, "ms")) * ms)
		}
		clear(z.unresponsive)
		z.run(12 * time.Second)
		clear(z.firstAttempts)
		z.run(time.Second)
		for zone := range 3 {
			if z.firstAttempts[zone] == 0 {
				rt.Fatalf("zone %d has no first attempt 12 s after all zones respond: first attempts by zone %v", zone, z.firstAttempts)
			}
		}
		changedAt := map[int]time.Duration{}
		for _, change := range z.changes {
			if at := changedAt[change.Zone]; !change.FailedOver && change.at-at < 200*ms { // half of the longest objective
				rt.Fatalf("the failover of zone %d lasted %v, want at least 200ms", change.Zone, change.at-at)
			}
			changedAt[change.Zone] = change.at
		}
		if len(z.audit.violations) > 0 {
			rt.Fatalf("first rule violation, want none: %v", z.audit.violations[0])
		}
	})
}

// lossReportData returns the message of a peer without demand that found the given zones lost, one bit each.
func lossReportData(zones uint16) []byte {
	return binary.BigEndian.AppendUint16(append(make([]byte, 8), 0), zones)
}

// An agent fails over from a zone to which it sends no requests when three peers report the zone lost.
func TestZoneFailsOverOnPeerReports(t *testing.T) {
	for name, c := range map[string]struct {
		from       []int
		lost       uint16
		every      time.Duration
		responsive bool // the zone responds to this agent
		burst      bool // all reports at once
		want       bool
	}{
		"three peers":                            {from: []int{1, 2, 3}, lost: 2, want: true},
		"two peers":                              {from: []int{1, 2}, lost: 2},
		"one peer repeatedly":                    {from: []int{1, 1, 1, 1}, lost: 2},
		"three partitioned-off peers":            {from: []int{1, 2, 3}, lost: 2 | 1},
		"three reports, too far apart":           {from: []int{1, 2, 3}, lost: 2, every: 900 * ms},
		"responsive zone":                        {from: []int{1, 2, 3}, lost: 2, responsive: true},
		"three reports at once":                  {from: []int{1, 2, 3}, lost: 2, burst: true, want: true},
		"three reports at once, responsive zone": {from: []int{1, 2, 3}, lost: 2, burst: true, responsive: true},
		"nonexistent peer":                       {from: []int{1, 2, 7}, lost: 2},
		"nonexistent zone":                       {from: []int{1, 2, 3}, lost: 1 << 12},
	} {
		t.Run(name, func(t *testing.T) {
			z := newZoneRig(t, 3, func(s *balancer.Settings) { s.Balancers, s.GossipAllowed = 4, true })
			z.run(time.Second)
			if !c.responsive { // the agent gets no responses from the zone: only the reports count
				for _, id := range []string{"b", "e", "h"} {
					z.step(balancer.Disable{Backend: id})
				}
			}
			z.run(100 * ms) // until the outstanding attempts have ended
			for _, from := range c.from {
				if !c.burst {
					z.run(max(c.every, 50*ms))
				}
				z.record(z.step(balancer.GossipReceived{From: from, Data: lossReportData(c.lost)}))
			}
			failedOver := len(z.changes) > 0 && z.changes[0].Zone == 1 && z.changes[0].ByGossip
			if failedOver != c.want || !failedOver && len(z.changes) > 0 {
				t.Errorf("zone state changes %+v, want a failover of zone 1 by gossip, or none, as the case says", z.changes)
			}
		})
	}
}

// An agent that fails over on its own evidence reports the loss to its peers at once, and stops reporting it after the
// longest objective.
func TestZoneLossIsGossiped(t *testing.T) {
	z := newZoneRig(t, 3, func(s *balancer.Settings) { s.Balancers, s.GossipAllowed = 4, true })
	z.run(time.Second)
	z.unresponsive[1] = true
	for len(z.changes) == 0 && z.now < 2*time.Hour {
		z.run(5 * ms)
	}
	lossReports := func() (n int) {
		for _, data := range z.gossip {
			if len(data) == 11 && data[10] == 2 {
				n++
			}
		}
		return n
	}
	if sent := lossReports(); sent != 3 {
		t.Errorf("%d loss reports sent, want one to each of three peers", sent)
	}
	z.run(500 * ms) // more than the longest objective
	z.gossip = nil
	if z.run(time.Second); lossReports() > 0 {
		t.Error("loss reports were sent after the longest objective, want none")
	}
}

// All agents of a fleet probe a failed-over zone, and probes are work for the zone's backends. All probes together take
// at most a fifth of the work that a backend in slow start may get beyond its budget.
func TestFleetProbesTakeLittleCapacity(t *testing.T) {
	const agents, span = 100, 6 * time.Second
	// Work of the most expensive health check and of the cheapest request at the operators' site, in ms.
	const probe, request = 0.72, 84.0
	probeCount, perZone := 0, 3
	for n := range uint64(agents) {
		z := newZoneRig(t, n+1, func(s *balancer.Settings) { s.Balancers = agents })
		z.run(time.Second)
		z.unresponsive[2] = true
		z.run(span)
		probeCount += z.probeCount
	}
	if probeCount < agents {
		t.Fatalf("%d probes by %d agents, want at least as many probes as agents", probeCount, agents)
	}
	perBackend := float64(probeCount) / span.Seconds() / float64(perZone) // probes in an OverloadWindow of 1 s
	const allowed = 6.0                                                   // minimum number of requests that are allowed beyond a budget of N: 3 x root of N + 3
	if share := perBackend * probe / (allowed * request); share > 0.2 {
		t.Errorf("%.0f probes per second at each backend take %.0f%% of the work allowed beyond the budget, want 20%% at most",
			perBackend, 100*share)
	} else {
		t.Logf("%.1f probes per second at each backend take %.1f%% of the work allowed beyond the budget", perBackend, 100*share)
	}
}
