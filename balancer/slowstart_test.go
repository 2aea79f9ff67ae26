package balancer_test

// Tests of slow start with one agent.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A backend in slow start gets at most its warmth times the requests of a warm backend.
func TestSlowStartLimitsShare(t *testing.T) {
	list := backends(5)
	list[0].Started = time.Hour // the rig's clock starts here
	r := newRig(t, settings(), 9, list)
	counts := r.serve(200, idempotent, 20*ms) // the first 4 s of 10: warmth 0.2 to 0.52
	if warm := (200 - counts["a"]) / 4; float64(counts["a"]) > 0.52*float64(warm)+2 {
		t.Errorf("the cold backend got %d requests, a warm one %d, want up to 0.52 times as many and 2", counts["a"], warm)
	}
	if counts["a"] == 0 {
		t.Error("the cold backend got no request, want some")
	}
	r.advance(10 * time.Second)
	if n := r.serve(200, idempotent, 20*ms)["a"]; n < 25 {
		t.Errorf("after its slow start the backend got %d of 200 requests, want at least 25", n)
	}
}

// join+vast: when the latency of a backend in slow start also counted in its latency ratio, an agent that seldom used
// the backend left it idle long after it was warm.
func TestSlowStartLatencyIsDiscounted(t *testing.T) {
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
		t.Errorf("after its slow start the backend got %d of 60 requests, want at least 8", n)
	}
}

// join+vast: 36 of 60 backends were warm after half of the slow-start window, and the agents refused requests that these
// backends could have served. The latency of starting backends indicates their warmth.
func TestWarmthIsEstimatedFromLatency(t *testing.T) {
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
			r.now += 100 * ms // independent of the latency, so that both runs last equally long
			r.outcome(id, balancer.OK, latency)
		}
		for i := range 100 { // no request is answered; a starting backend uses its share gradually
			r.now += 20 * ms
			id := fmt.Sprint("all", i)
			r.request(id, idempotent)
			sent += len(r.sent[id])
		}
		return sent
	}
	if fast, slow := play(40*ms), play(300*ms); fast < slow*5/4 {
		t.Errorf("%d requests in flight with fast cold backends, %d with slow ones, want the first a quarter larger", fast, slow)
	}
}

// The warmth estimate is bounded: after any number of fast starts, it soon adapts to the slow backends of a later
// start.
func TestEstimatedWarmthIsBounded(t *testing.T) {
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
		for i := range 100 { // no request is answered; a starting backend uses its share gradually
			r.now += 20 * ms
			id := fmt.Sprint("all", i)
			r.request(id, idempotent)
			sent += len(r.sent[id])
		}
		return sent
	}
	if fresh, afterFastStarts := play(0), play(5000); afterFastStarts > fresh*5/4 {
		t.Errorf("%d requests in flight with slow cold backends, %d after fast starts, want up to a quarter more", fresh,
			afterFastStarts)
	}
}

// Incidents i37feae and i28e3f7: under overload a backend in slow start gets more than the guaranteed share of what a
// warm one serves, and stays well below OverloadMultiple of it.
func TestSlowStartShareUnderOverload(t *testing.T) {
	list := backends(5)
	for i := range list {
		list[i].Zone = 0 // responses arrive one at a time, so a zone of two backends would respond too seldom and be failed over
	}
	r := newRig(t, settings(), 9, list)
	var open []string
	counts := map[string]float64{}
	early := map[string]bool{} // sent before the start
	respond := func(id string, latency time.Duration) {
		if !early[id] {
			counts[r.sent[id][0]]++
		}
		for _, a := range r.outcome(id, balancer.OK, latency) {
			if a, ok := a.(balancer.Send); ok {
				open = append(open, a.Request)
			}
		}
	}
	drive := func(n int) { // every 5 ms: all responses of the starting backend, one response of the others, two requests
		for range n {
			r.advance(5 * ms)
			previous := open
			open = nil
			for i, id := range previous {
				if r.sent[id][0] == "a" && list[0].Started > 0 {
					respond(id, 5*ms)
				} else if i == 0 {
					respond(id, 50*ms)
				} else {
					open = append(open, id)
				}
			}
			for range 2 {
				id := fmt.Sprint("q", len(r.sent), "-", r.now)
				if r.request(id, idempotent); len(r.sent[id]) > 0 {
					open = append(open, id)
				}
			}
		}
	}
	for i := range 30 {
		id := fmt.Sprint("first", i)
		r.request(id, idempotent)
		open = append(open, id)
	}
	drive(400)
	list[0].Started = r.now
	r.step(balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: list[:1]})
	clear(counts)
	for _, id := range open {
		early[id] = true
	}
	drive(400) // two seconds: warmth 0.2 to 0.36, with a mean of 0.28
	warm := (counts["b"] + counts["c"] + counts["d"] + counts["e"]) / 4
	share := counts["a"] / warm
	if share < 0.35 || share > 0.28*2.5 {
		t.Errorf("the cold backend served %.2f of a warm one's requests, want 0.35 to 0.7", share)
	}
}

// Ticket 397: where every backend is in slow start, as after a power cut, the throughput of starting backends
// determines the budgets. When only warm backends counted, the budgets fell to 0 as the throughput estimate decayed.
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
		for k := max(0, i-50); k <= i; k++ { // queued requests are sent later than they arrive
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
		t.Errorf("served %d of 500 requests at a rate that one backend can serve, want at least 400", served)
	}
}

// A backend in slow start gets no expensive request: a single one could overload it.
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
				t.Fatalf("expensive request %d went to the cold backend, want a warm one", i)
			}
		}
		if r.sent[fmt.Sprint("l", i)][0] == "cold" {
			got++
		}
	}
	if got == 0 {
		t.Error("the cold backend got no cheap request, want some")
	}
}

// Dallas rules-3: 150 agents overloaded a starting backend when each sent it one request at once. Right after the start
// only part of the agents may send one.
func TestManyAgentsDoNotOverloadAStartingBackend(t *testing.T) {
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
		t.Errorf("%d of 200 agents sent to a backend within 5 ms of its start, want up to 60", sent)
	}
}
