package balancer_test

// Tests of slow start at one agent.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A backend in slow start gets no more than its warmth times what a warm one serves.
func TestSlowStartLimitsShare(t *testing.T) {
	list := backends(5)
	list[0].Started = time.Hour // the rig's clock starts here
	r := newRig(t, settings(), 9, list)
	counts := r.serve(200, idempotent, 20*ms) // the first 4 s of 10: warmth 0.2 to 0.52
	if warm := (200 - counts["a"]) / 4; float64(counts["a"]) > 0.52*float64(warm)+2 {
		t.Errorf("the cold backend got %d against %d for a warm one", counts["a"], warm)
	}
	if counts["a"] == 0 {
		t.Error("the cold backend got nothing")
	}
	r.advance(10 * time.Second)
	if n := r.serve(200, idempotent, 20*ms)["a"]; n < 25 {
		t.Errorf("once warm it got %d of 200", n)
	}
}

// join+vast: the latency of slow start was held against a backend besides its warmth, and an agent that met it seldom
// left it idle long after it was warm.
func TestSlowStartLatencyIsForgotten(t *testing.T) {
	list := backends(5)
	list[0].Started = time.Hour
	r := newRig(t, settings(), 9, list)
	serve := func(n int) (got int) {
		for range n {
			id := fmt.Sprint("q", len(r.sent))
			r.request(id, idempotent)
			latency := 20 * ms
			if r.sent[id][0] == "a" {
				got++
				latency = max(20*ms, time.Duration(float64(20*ms)*float64(10*time.Second)/float64(r.now-time.Hour+2*time.Second)))
			}
			r.now += latency
			r.outcome(id, balancer.OK, latency)
		}
		return got
	}
	serve(200)
	r.advance(10 * time.Second)
	if n := serve(60); n < 8 {
		t.Errorf("once warm it got %d of 60, want about an even part", n)
	}
}

// join+vast: 36 of 60 backends were warm after half of the slow-start window, and the agents refused what those could
// have served. The answers of starting backends show how warm they are.
func TestAnswersTeachWarmth(t *testing.T) {
	play := func(cold time.Duration) (sent int) {
		list := backends(8)
		for i := range 6 {
			list[i].Started = time.Hour
		}
		s := settings()
		s.SlowStartWindow = time.Minute
		r := newRig(t, s, 9, list)
		for i := range 200 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			latency := 40 * ms
			if r.sent[id][0] < "g" {
				latency = cold
			}
			r.now += 100 * ms // both plays last as long
			r.outcome(id, balancer.OK, latency)
		}
		for i := range 100 { // nothing is answered; a starting backend takes up its share gradually
			r.now += 20 * ms
			id := fmt.Sprint("all", i)
			r.request(id, idempotent)
			sent += len(r.sent[id])
		}
		return sent
	}
	if fast, slow := play(40*ms), play(300*ms); fast < slow*5/4 {
		t.Errorf("%d in flight with cold backends as fast as warm ones, %d with slow ones", fast, slow)
	}
}

// However often starting backends answered faster than expected, slow ones of a later start are soon taken for cold
// again.
func TestLearnedWarmthIsBounded(t *testing.T) {
	play := func(before int) (sent int) {
		list := backends(8)
		s := settings()
		s.SlowStartWindow = 10 * time.Minute
		r := newRig(t, s, 9, list)
		serve := func(n int, cold time.Duration) {
			for i := range 6 {
				list[i].Started = r.now
			}
			r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: list})
			for range n {
				id := fmt.Sprint("q", len(r.sent))
				r.request(id, idempotent)
				latency := 40 * ms
				if r.sent[id][0] < "g" {
					latency = cold
				}
				r.now += 100 * ms
				r.outcome(id, balancer.OK, latency)
			}
		}
		serve(before, 40*ms)
		serve(300, 300*ms)
		for i := range 100 { // nothing is answered; a starting backend takes up its share gradually
			r.now += 20 * ms
			id := fmt.Sprint("all", i)
			r.request(id, idempotent)
			sent += len(r.sent[id])
		}
		return sent
	}
	if fresh, old := play(0), play(5000); old > fresh*5/4 {
		t.Errorf("%d in flight at slow cold backends, %d by what was learned from fast ones long ago", fresh, old)
	}
}

// Incidents i37feae and i28e3f7: under overload a backend in slow start gets more than the guaranteed share of what a
// warm one serves, and stays well below OverloadMultiple of it.
func TestSlowStartShareUnderOverload(t *testing.T) {
	list := backends(5)
	for i := range list {
		list[i].Zone = 0 // answers arrive one at a time here: a zone of two would be silent for long, and failed over
	}
	r := newRig(t, settings(), 9, list)
	var out []string
	counts := map[string]float64{}
	early := map[string]bool{} // sent before the start
	answer := func(id string, latency time.Duration) {
		if !early[id] {
			counts[r.sent[id][0]]++
		}
		for _, a := range r.outcome(id, balancer.OK, latency) {
			if a, ok := a.(balancer.Send); ok {
				out = append(out, a.Request)
			}
		}
	}
	drive := func(n int) { // every 5 ms: all answers of the starting backend, one of the others, two requests
		for range n {
			r.advance(5 * ms)
			was := out
			out = nil
			for i, id := range was {
				if r.sent[id][0] == "a" && list[0].Started > 0 {
					answer(id, 5*ms)
				} else if i == 0 {
					answer(id, 50*ms)
				} else {
					out = append(out, id)
				}
			}
			for range 2 {
				id := fmt.Sprint("q", len(r.sent), "-", r.now)
				if r.request(id, idempotent); len(r.sent[id]) > 0 {
					out = append(out, id)
				}
			}
		}
	}
	for i := range 30 {
		id := fmt.Sprint("first", i)
		r.request(id, idempotent)
		out = append(out, id)
	}
	drive(400)
	list[0].Started = r.now
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: list[:1]})
	clear(counts)
	for _, id := range out {
		early[id] = true
	}
	drive(400) // two seconds: warmth 0.2 to 0.36, 0.28 in the mean
	warm := (counts["b"] + counts["c"] + counts["d"] + counts["e"]) / 4
	share := counts["a"] / warm
	if share < 0.35 || share > 0.28*2.5 {
		t.Errorf("the cold backend served %.2f of a warm one's work", share)
	}
}

// Ticket 397: where every backend is in slow start, as after a power cut, their own throughput sets the budgets.
// Budgets from warm backends alone gave them nothing more once that memory had decayed.
func TestFleetInSlowStartServes(t *testing.T) {
	var list []balancer.Backend
	for _, n := range backends(5) {
		n.Started = time.Hour
		list = append(list, n)
	}
	s := settings()
	s.SlowStartWindow = time.Minute
	r := newRig(t, s, 1, list)
	served, answered := 0, make([]bool, 1000)
	for i := range answered { // 20 s, in which the backends warm up by a quarter
		r.request(fmt.Sprint("q", i), idempotent)
		r.advance(20 * ms)
		for k := max(0, i-50); k <= i; k++ { // queued ones are sent later than they arrived
			if id := fmt.Sprint("q", k); len(r.sent[id]) == 1 && !answered[k] {
				answered[k] = true
				r.outcome(id, balancer.OK, 20*ms)
				if i >= 500 {
					served++
				}
			}
		}
	}
	if served < 400 {
		t.Errorf("served %d of 500 requests that one backend could serve", served)
	}
}

// One expensive request alone could overload a backend in slow start.
func TestSlowStartGetsNoExpensiveRequest(t *testing.T) {
	list := backends(3)
	r := newRig(t, settings(), 9, list)
	send := func(id string, work time.Duration) {
		r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: 2000 * ms, Work: work})
		r.now += 20 * ms
		r.outcome(id, balancer.OK, 20*ms)
	}
	for i := range 100 {
		send(fmt.Sprint("w", i), 20*ms)
	}
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta,
		Backends: []balancer.Backend{{ID: "cold", Started: r.now}}})
	got := 0
	for i := range 100 {
		send(fmt.Sprint("l", i), 20*ms)
		if h := fmt.Sprint("h", i); i%10 == 0 {
			if send(h, 300*ms); r.sent[h][0] == "cold" {
				t.Fatalf("heavy request %d went to the cold backend", i)
			}
		}
		if r.sent[fmt.Sprint("l", i)][0] == "cold" {
			got++
		}
	}
	if got == 0 {
		t.Error("the cold backend got no light request either")
	}
}

// Dallas rules-3: each of 150 agents sent a starting backend one request at once, and together they overloaded it.
// Only a part of them may do so right after its start.
func TestManyAgentsSpareABackendInSlowStart(t *testing.T) {
	sent := 0
	for seed := range uint64(200) {
		r := newRig(t, settings(), seed, backends(2))
		r.serve(40, idempotent, 20*ms)
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{
			{ID: "a", Started: r.now}, {ID: "b", State: balancer.Draining}}})
		r.now += 5 * ms
		r.request("q", idempotent)
		sent += len(r.sent["q"])
	}
	if sent > 60 {
		t.Errorf("%d of 200 agents sent to a server within 5 ms of its start", sent)
	}
}
