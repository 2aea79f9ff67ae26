package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/residency/gate"
)

// Another site's calm day: backends at their connection limit reject new connections. That does not indicate queues:
// the limit stays, and the agent keeps to fewer backends, to which it has connections.
func TestRejectedConnectionsAreNoOverload(t *testing.T) {
	rush := func(fresh bool) (out int, met int) {
		s := settings()
		s.MaxAttempts = 1
		r := newRig(t, s, 1, backends(8))
		for n := range 1 {
			r.burst(fmt.Sprint("calm", n), 20*ms)
		}
		for n := range 60 {
			id := fmt.Sprint("turned", n)
			r.request(id, idempotent)
			r.step(balancer.Outcome{Request: id, Backend: r.sent[id][0], Result: balancer.Rejected, Latency: ms, NewConnection: fresh})
			r.advance(100 * ms)
		}
		return r.burst("after", 20*ms), len(r.serve(100, idempotent, 20*ms))
	}
	queues, all := rush(false)
	caps, few := rush(true)
	if caps < queues*3/2 {
		t.Errorf("%d in flight after connections were turned away, %d after queues were full", caps, queues)
	}
	if few > all/2 {
		t.Errorf("%d backends in use after connections were turned away, %d after queues were full", few, all)
	}
}

// A retry stays in the cell and the zone where the earlier attempt ran, also if an endpoint update has moved that
// backend since. Its last byte must be sent within the window, and the agent is told so.
func TestRetriesStayWhereTheFirstAttemptRan(t *testing.T) {
	for _, class := range []int{scopeCell, scopeZone} {
		repeats := 0
		for seed := range uint64(30) {
			s := settings()
			s.ConnectTimeout = 20 * ms
			list := backends(6)
			r := newRig(t, s, seed, list)
			began := r.now
			if a := r.request("q", class); firstSend(t, a).SendDeadline != 0 {
				t.Fatal("a first attempt is bound")
			}
			first := r.sent["q"][0][0] - 'a'
			moved := list[first]
			moved.Cell, moved.Zone = (moved.Cell+1)%3, (moved.Zone+1)%3
			r.now += 20 * ms
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{moved}})
			r.outcome("q", balancer.Reset, 20*ms)
			r.advance(200 * ms)
			for _, id := range r.sent["q"][1:] {
				if b := list[id[0]-'a']; b.Cell != list[first].Cell || b.ID == moved.ID {
					t.Fatalf("class %d, seed %d: repeated at %s after %s, which has moved", class, seed, id, moved.ID)
				}
				if send := firstSend(t, r.actions); send.SendDeadline != began+s.Classes[class].DedupWindow {
					t.Fatalf("class %d: bound to %v, %v after the first", class, send.SendDeadline, send.SendDeadline-began)
				}
				repeats++
			}
		}
		if repeats < 10 {
			t.Errorf("class %d: %d repeats in 30 plays", class, repeats)
		}
	}
}

func firstSend(t *testing.T, actions []balancer.Action) balancer.Send {
	t.Helper()
	for _, a := range actions {
		if a, ok := a.(balancer.Send); ok {
			return a
		}
	}
	t.Fatal("nothing was sent")
	panic("unreachable")
}

// During a release the busiest agent spent its processor time on picking a backend for each queued request in each
// step, and learned of drains a second late. If there is no backend for one request there is none for others like it:
// ten times as many queued requests take no more picks. Each pick allocates here, for the zones reserved for a bound
// request.
func TestQueuedRequestsArePickedForOnce(t *testing.T) {
	looks := func(held int) float64 {
		s := settings()
		s.OverloadMultiple, s.InitialCapacity, s.SlowStartWindow = 1, 0.01, time.Hour
		list := backends(6)
		for i := range list {
			list[i].Started = time.Hour // in slow start: each takes a request only now and then
		}
		r := newRig(t, s, 5, list)
		r.step(balancer.Residency{Table: &gate.Table{Permitted: [][]bool{nil, {true, false, false}}, Restricted: []bool{false, true}}},
			balancer.Request{ID: "bound", Class: idempotent, TimeRemaining: 2000 * ms, ResidencyRule: 1})
		for n := range held {
			r.request(fmt.Sprint("q", n), idempotent)
		}
		if len(r.sent) > 5 {
			t.Fatalf("%d were sent: too little is held", len(r.sent))
		}
		return testing.AllocsPerRun(20, func() { r.b.Step(r.now, nil) })
	}
	if few, many := looks(10), looks(100); few == 0 || many > few+10 {
		t.Errorf("%.0f looks for 10 held requests, %.0f for 100", few, many)
	}
}
