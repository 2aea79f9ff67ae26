package balancer_test

// Tests of data residency.

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"martenbeam/balancer"
	"martenbeam/internal/residency/gate"
)

// No attempt goes to a zone that the policy in force does not permit: first attempts, retries, hedged requests,
// requests queued while the policy changed, attempts at a re-enabled backend or at one that has moved to another zone.
// Every request is sent or gets its final answer.
func TestNothingIsSentOutsidePermittedZones(t *testing.T) {
	const zones, rules = 3, 4
	rapid.Check(t, func(d *rapid.T) {
		s := settings()
		s.HedgingAllowed, s.GossipAllowed, s.Balancers = true, true, 3
		list := backends(2 * zones)
		r := newRig(t, s, rapid.Uint64().Draw(d, "seed"), list)
		zone := map[string]int{}
		for _, b := range list {
			zone[b.ID] = b.Zone
		}
		table := &gate.Table{Permitted: make([][]bool, rules), Restricted: make([]bool, rules)}
		rule, done := map[string]int{}, map[string]bool{}
		check := func(actions []balancer.Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case balancer.Send:
					if !table.Permits(rule[a.Request], zone[a.Backend]) {
						d.Fatalf("%s of rule %d went to %s in zone %d, which the policy does not permit: %v", a.Request,
							rule[a.Request], a.Backend, zone[a.Backend], table)
					}
				case balancer.Refuse:
					done[a.Request] = true
				case balancer.Fail:
					done[a.Request] = true
				}
			}
		}
		check(r.step(balancer.Residency{Table: table}))
		for i := range rapid.IntRange(20, 150).Draw(d, "events") {
			switch rapid.IntRange(0, 9).Draw(d, "event") {
			default:
				id := fmt.Sprint("q", i)
				rule[id] = rapid.IntRange(0, rules+1).Draw(d, "rule") // includes two rules that the table doesn't have
				check(r.step(balancer.Request{ID: id, Class: rapid.IntRange(0, 4).Draw(d, "class"),
					TimeRemaining: 2000 * ms, ResidencyRule: rule[id]}))
			case 4, 5, 6: // an attempt ends, with any result
				ids := make([]string, 0, len(r.sent))
				for id := range r.sent {
					if !done[id] {
						ids = append(ids, id)
					}
				}
				if slices.Sort(ids); len(ids) > 0 {
					id := rapid.SampledFrom(ids).Draw(d, "id")
					n := len(r.sent[id]) - 1
					res := balancer.Result(rapid.IntRange(0, 5).Draw(d, "result"))
					done[id] = done[id] || res == balancer.OK
					check(r.step(balancer.Outcome{Request: id, Attempt: n, Backend: r.sent[id][n], Result: res,
						Latency: 50 * ms, Done: res == balancer.OK}))
				}
			case 7:
				check(r.advance(time.Duration(rapid.IntRange(1, 900).Draw(d, "ms")) * ms))
			case 8: // the policy changes
				table = &gate.Table{Generation: table.Generation + 1, Permitted: make([][]bool, rules),
					Restricted: make([]bool, rules)}
				for n := range rules {
					table.Restricted[n] = rapid.Bool().Draw(d, "restricted")
					table.Permitted[n] = rapid.SliceOfN(rapid.Bool(), zones, zones).Draw(d, "zones")
				}
				check(r.step(balancer.Residency{Table: table}))
			case 9: // a backend moves to another zone, and may be disabled and re-enabled
				b := rapid.SampledFrom(list).Draw(d, "backend")
				b.Zone = rapid.IntRange(-1, zones).Draw(d, "zone")
				b.State = balancer.BackendState(rapid.IntRange(0, 1).Draw(d, "state"))
				zone[b.ID] = b.Zone
				check(r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{b}}))
				if rapid.Bool().Draw(d, "override") {
					check(r.step(balancer.Disable{Call: int64(i), Backend: b.ID}))
					check(r.step(balancer.Enable{Call: int64(i), Backend: b.ID}))
				}
			}
		}
		check(r.advance(10 * time.Second))
		for id := range rule {
			if !done[id] && len(r.sent[id]) == 0 {
				d.Fatalf("%s was neither sent nor did it get a final answer", id)
			}
		}
	})
}

func residencyOf(zones ...bool) balancer.Residency {
	return balancer.Residency{Table: &gate.Table{Generation: 1, Permitted: [][]bool{nil, zones},
		Restricted: []bool{false, true}}}
}

// A restricted request without a permitted backend is refused at once with NoPermittedZone.
func TestRequestWithoutPermittedBackendIsRefused(t *testing.T) {
	for name, prepare := range map[string]func(r *rig){
		"zone without backends": func(r *rig) { r.step(residencyOf(false, false, false)) },
		"zone drained": func(r *rig) {
			r.step(residencyOf(false, true, false))
			for _, b := range backends(6)[2:4] {
				b.State = balancer.Draining
				r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{b}})
			}
		},
		"no policy": func(*rig) {},
	} {
		r := newRig(t, settings(), 1, backends(6))
		prepare(r)
		actions := r.step(balancer.Request{ID: "q", Class: idempotent, TimeRemaining: 2000 * ms, ResidencyRule: 1})
		if len(actions) != 1 {
			t.Fatalf("%s: actions %v, want one refusal", name, actions)
		}
		if a, ok := actions[0].(balancer.Refuse); !ok || !a.NoPermittedZone {
			t.Errorf("%s: action %+v, want a refusal with NoPermittedZone", name, actions[0])
		}
		if a := r.step(balancer.Request{ID: "free", Class: idempotent, TimeRemaining: 2000 * ms}); len(r.sent["free"]) != 1 {
			t.Errorf("%s: an unrestricted request was not sent: %v", name, a)
		}
	}
}

// If the only zone of restricted requests is overloaded, other requests avoid the zone before a restricted one is
// refused.
func TestRestrictedRequestsGoFirstInTheirZone(t *testing.T) {
	play := func(rule int) (unrestricted, refused int) {
		r := newRig(t, settings(), 5, backends(6))
		r.step(residencyOf(true, false, false))
		var open []string
		for i := range 600 {
			r.advance(5 * ms)
			id := fmt.Sprint("f", i)
			r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: 2000 * ms})
			open = append(open, id)
			if i%4 == 0 {
				id = fmt.Sprint("b", i)
				for _, a := range r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: 2000 * ms,
					ResidencyRule: rule}) {
					if a, ok := a.(balancer.Refuse); ok && a.Request == id {
						refused++
					}
				}
				open = append(open, id)
			}
			for len(open) > 20 { // each takes about 80 ms
				if id := open[0]; len(r.sent[id]) > 0 {
					if i > 300 && id[0] == 'f' && r.sent[id][0] < "c" {
						unrestricted++
					}
					r.outcome(id, balancer.OK, 80*ms)
				}
				open = open[1:]
			}
		}
		return unrestricted, refused
	}
	unrestrictedAlone, _ := play(0)
	unrestrictedBeside, refused := play(1)
	if refused > 0 || unrestrictedBeside > unrestrictedAlone {
		t.Errorf("%d restricted requests refused, want none; %d other requests in their zone, want at most the %d without them",
			refused, unrestrictedBeside, unrestrictedAlone)
	}
}

// A zone with a long round-trip time gets requests only if the near zones have no idle backend. It counts as near again
// when its round-trip time is unknown.
func TestFarZonesAreUsedLast(t *testing.T) {
	farLatencies := balancer.ZoneLatencies{RTT: []time.Duration{ms, ms, 60 * ms}, Loss: []float64{0, 0, 0}}
	count := func(r *rig) (n int) {
		for i := range 90 {
			r.now += 20 * ms
			id := fmt.Sprint("q", i, "-", r.now)
			r.request(id, idempotent)
			if r.sent[id][0] >= "e" {
				n++
			}
			r.outcome(id, balancer.OK, 50*ms)
		}
		return n
	}
	r := newRig(t, settings(), 7, backends(6))
	for range 20 { // a change is applied at one of the next few events
		r.step(farLatencies)
	}
	if n := count(r); n > 0 {
		t.Errorf("%d of 90 requests went to the far zone while near backends were idle, want none", n)
	}
	for i := range 24 { // more than the near zones have idle backends
		r.request(fmt.Sprint("busy", i), idempotent)
	}
	sentFar := 0
	for _, at := range r.sent {
		if at[0] >= "e" {
			sentFar++
		}
	}
	if sentFar == 0 {
		t.Error("no request went to the far zone while the near backends were busy, want some")
	}
	r = newRig(t, settings(), 7, backends(6))
	for range 20 {
		r.step(farLatencies)
	}
	r.step(balancer.ZoneLatencies{RTT: make([]time.Duration, 3), Loss: make([]float64, 3)})
	if n := count(r); n < 15 {
		t.Errorf("%d of 90 requests went to a zone whose round-trip time is unknown again, want at least 15", n)
	}
}

// The quota that the fleet assigns determines this agent's share of the limit.
func TestAssignedQuotaSetsTheLimit(t *testing.T) {
	inFlight := func(share float64) (n int) {
		s := settings()
		s.Balancers, s.GossipAllowed = 10, true
		r := newRig(t, s, 3, backends(6))
		if share > 0 {
			r.step(balancer.Quota{Share: share})
		}
		for i := range 100 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			n += len(r.sent[id])
		}
		return n
	}
	even, more, less := inFlight(0), inFlight(0.5), inFlight(0.01)
	if more < 3*even || less >= even || less < 1 {
		t.Errorf("in flight: %d with an even share, %d with half of the limit (want 3 times as many), %d with a 100th (want fewer)",
			even, more, less)
	}
}
