package balancer_test

// Tests of the admission queue and of admission by credit.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/residency/gate"
)

// A refusal carries a jittered Retry-After, no longer than clients honor, if the settings allow one.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for _, retryAfter := range []bool{true, false} {
		s := settings()
		s.RetryAfter, s.MaxRetryAfter = retryAfter, 450*ms
		r := newRig(t, s, 1, nil) // no backend
		delays := map[time.Duration]bool{}
		for i := range 20 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			for _, a := range r.advance(500 * ms) {
				if a, ok := a.(balancer.Refuse); ok && a.Request == id {
					delays[a.RetryAfter] = true
					if retryAfter != (a.RetryAfter >= 200*ms) || a.RetryAfter > 450*ms {
						t.Errorf("with RetryAfter %v: Retry-After %v, want 200ms to 450ms if true, less than 200ms if false", retryAfter, a.RetryAfter)
					}
				}
			}
		}
		if retryAfter && len(delays) < 5 || !retryAfter && len(delays) != 1 {
			t.Errorf("with RetryAfter %v: %d different values, want at least 5 if true and 1 if false", retryAfter, len(delays))
		}
	}
}

// With an empty endpoint list requests wait in the queue, and are refused before their objective has passed.
func TestRequestsWithoutBackendAreRefusedInTime(t *testing.T) {
	for _, class := range []int{idempotent, nonIdempotent, scopeZone} {
		r := newRig(t, settings(), 1, nil)
		acts := r.request("q", class)
		acts = append(acts, r.advance(399*ms)...)
		if final("q", acts) != "refuse" {
			t.Errorf("class %d: %q, want one refusal within the latency objective", class, final("q", acts))
		}
	}
	t.Run("list arrives in time", func(t *testing.T) {
		r := newRig(t, settings(), 1, nil)
		r.request("q", idempotent)
		r.now += 50 * ms
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
		if len(r.sent["q"]) != 1 {
			t.Error("the queued request was not sent after the endpoint list arrived")
		}
	})
}

// An attempt whose timeout is cut short by the client's deadline is a client's retry: without capacity it is refused at
// once, while a first attempt waits in the queue.
func TestShortTimeoutMarksClientRetry(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	submit := func(id string, timeRemaining time.Duration) []balancer.Action {
		return r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: timeRemaining})
	}
	for i := range 20 { // within 2 ms of the usual timeout
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := final("first", submit("first", 899*ms)); got != "" {
		t.Errorf("first attempt without capacity: final answer %q at once, want it queued", got)
	}
	if got := final("late", submit("late", 700*ms)); got != "refuse" {
		t.Errorf("client's retry without capacity: final answer %q, want a refusal at once", got)
	}
}

// Requests got no answer (scenario satx-returns): the timer of a queued request fired after the time of its refusal had
// moved later, and the request got no new timer.
func TestQueuedRequestKeepsATimer(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	var acts []balancer.Action
	for i := range 40 {
		acts = append(acts, r.request(fmt.Sprint("q", i), idempotent)...)
	}
	for range 10 { // fast responses: mean latency falls, so the other requests may wait longer
		r.now += ms
		for i := range 40 {
			if id := fmt.Sprint("q", i); len(r.sent[id]) == 1 {
				acts = append(acts, r.outcome(id, balancer.OK, 5*ms)...)
				r.sent[id] = append(r.sent[id], "done")
				break
			}
		}
	}
	acts = append(acts, r.advance(1900*ms)...)
	for i := range 40 {
		if id := fmt.Sprint("q", i); len(r.sent[id]) == 0 && final(id, acts) == "" {
			t.Errorf("queued request %s got no final answer", id)
		}
	}
}

// During a release the busiest agent spent its processor time on picking a backend for each queued request in each
// step, and handled drains a second late. If no backend can take one unconstrained request, no backend can take the
// others of its class, so ten times as many queued requests must take no more picks. The test counts picks by their
// allocations: here each pick allocates, for the zones reserved for a restricted request.
func TestPicksDoNotGrowWithTheQueue(t *testing.T) {
	allocations := func(queued int) float64 {
		s := settings()
		s.OverloadMultiple, s.InitialCapacity, s.SlowStartWindow = 1, 0.01, time.Hour
		list := backends(6)
		for i := range list {
			list[i].Started = time.Hour // in slow start: each takes a request only now and then
		}
		r := newRig(t, s, 5, list)
		r.step(balancer.Residency{Table: &gate.Table{Permitted: [][]bool{nil, {true, false, false}},
			Restricted: []bool{false, true}}},
			balancer.Request{ID: "restricted", Class: idempotent, TimeRemaining: 2000 * ms, ResidencyRule: 1})
		for n := range queued {
			r.request(fmt.Sprint("q", n), idempotent)
		}
		if len(r.sent) > 5 {
			t.Fatalf("%d requests were sent, want at most 5 so that the others are queued", len(r.sent))
		}
		return testing.AllocsPerRun(20, func() { r.b.Step(r.now, nil) })
	}
	if few, many := allocations(10), allocations(100); few == 0 || many > few+10 {
		t.Errorf("%.0f allocations for 10 queued requests, want more than 0; %.0f for 100, want at most 10 more", few, many)
	}
}

// Hundreds of agents with one attempt in flight each overloaded the backends (incident ie43f64, dallas big-1). An agent
// with a sparse quota must admit less of its demand as latency passes the target, and all of it without queues.
func TestSparseQuotaAdmitsByLatency(t *testing.T) {
	countSent := func(latency time.Duration) (sent int) {
		r := newRig(t, sparseSettings(), 1, backends(8))
		for i := range 300 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			r.advance(latency)
			if len(r.sent[id]) > 0 {
				r.outcome(id, balancer.OK, latency)
				if i >= 100 {
					sent++
				}
			}
		}
		return sent
	}
	if n := countSent(40 * ms); n < 198 {
		t.Errorf("without queues %d of 200 requests were sent, want at least 198", n)
	}
	if n := countSent(320 * ms); n < 20 || n > 90 {
		t.Errorf("with a latency of four fifths of the objective %d of 200 requests were sent, want 20 to 90", n)
	}
}

// Without gossip nothing limited 893 agents with sparse quotas, and every queue stayed full (incident i8cbe41). An
// agent whose attempts are all rejected must admit less, also without messages from peers.
func TestSparseQuotaWithoutPeersAdmitsLess(t *testing.T) {
	s := sparseSettings()
	s.GossipAllowed, s.MaxAttempts = false, 1
	r := newRig(t, s, 1, backends(15))
	sent := 0
	for i := range 120 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		if len(r.sent[id]) > 0 {
			r.outcome(id, balancer.Rejected, ms)
		}
		r.advance(400 * ms)
		if i >= 60 {
			sent += len(r.sent[id])
		}
	}
	if sent > 45 || sent < 10 {
		t.Errorf("%d of 60 requests were sent to backends that reject all, want 10 to 45", sent)
	}
}

// In an overloaded fleet responses arrive after the clients' timeouts (dallas rough-1). An attempt that is outstanding
// for most of its objective must count as late at once, so that the agent admits less before the attempt ends.
func TestOverdueAttemptCountsBeforeItEnds(t *testing.T) {
	s := sparseSettings()
	s.Balancers = 1000
	r := newRig(t, s, 1, backends(90))
	for i := range 30 {
		id := fmt.Sprint("warm", i)
		r.request(id, idempotent)
		r.advance(20 * ms)
		r.outcome(id, balancer.OK, 20*ms)
	}
	sent := 0
	for i := range 60 { // no backend responds any more
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		r.advance(60 * ms)
		if i >= 30 {
			sent += len(r.sent[id])
		}
	}
	if sent > 15 {
		t.Errorf("%d of 30 requests were sent after seconds without a response, want at most 15", sent)
	}
}
