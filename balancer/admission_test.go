package balancer_test

// Tests of the admission queue and of admission by credit.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/residency/gate"
)

// A refused client gets a Retry-After, no longer than it honors, where it is shown, and not the same for all.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for _, shown := range []bool{true, false} {
		s := settings()
		s.RetryAfter, s.MaxRetryAfter = shown, 450*ms
		r := newRig(t, s, 1, nil) // no backend
		told := map[time.Duration]bool{}
		for i := range 20 {
			id := fmt.Sprint("q", i)
			r.request(id, idempotent)
			for _, a := range r.advance(500 * ms) {
				if a, ok := a.(balancer.Refuse); ok && a.Request == id {
					told[a.RetryAfter] = true
					if shown != (a.RetryAfter >= 200*ms) || a.RetryAfter > 450*ms {
						t.Errorf("shown %v: told %v", shown, a.RetryAfter)
					}
				}
			}
		}
		if shown && len(told) < 5 || !shown && len(told) != 1 {
			t.Errorf("shown %v: %d different waits", shown, len(told))
		}
	}
}

// With an empty endpoint list requests wait, and are refused in time.
func TestRequestsWithoutBackendAreRefusedInTime(t *testing.T) {
	for _, class := range []int{idempotent, nonIdempotent, scopeZone} {
		r := newRig(t, settings(), 1, nil)
		acts := r.request("q", class)
		acts = append(acts, r.advance(399*ms)...)
		if final("q", acts) != "refuse" {
			t.Errorf("class %d: %q, want one refusal within the aim", class, final("q", acts))
		}
	}
	t.Run("list comes in time", func(t *testing.T) {
		r := newRig(t, settings(), 1, nil)
		r.request("q", idempotent)
		r.now += 50 * ms
		r.step(balancer.EndpointUpdate{Kind: balancer.UpdateFull, Backends: backends(2)})
		if len(r.sent["q"]) != 1 {
			t.Error("the waiting request was not sent")
		}
	})
}

// An attempt whose timeout is cut short by the client's deadline is a client's retry: it does not wait for capacity,
// where a first attempt does.
func TestShortTimeoutMarksClientRetry(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	submit := func(id string, left time.Duration) []balancer.Action {
		return r.step(balancer.Request{ID: id, Class: idempotent, TimeRemaining: left})
	}
	for i := range 20 { // the usual timeout, give or take
		submit(fmt.Sprint("f", i), 900*ms+time.Duration(i%3)*ms)
	}
	if got := final("first", submit("first", 899*ms)); got != "" {
		t.Errorf("a first try without room got %q at once, want it to wait", got)
	}
	if got := final("late", submit("late", 700*ms)); got != "refuse" {
		t.Errorf("a late try without room got %q, want a refusal at once", got)
	}
}

// Lost requests on satx-returns: a queued request whose timer fired after its time to give up had moved later never
// got another timer, and no answer.
func TestQueuedRequestKeepsATimer(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
	var acts []balancer.Action
	for i := range 40 {
		acts = append(acts, r.request(fmt.Sprint("q", i), idempotent)...)
	}
	for range 10 { // fast answers: less time is needed, so the rest may wait longer
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
			t.Errorf("%s was held and got no answer", id)
		}
	}
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
		r.step(balancer.Residency{Table: &gate.Table{Permitted: [][]bool{nil, {true, false, false}},
			Restricted: []bool{false, true}}},
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

// Incident ie43f64, dallas big-1: hundreds of agents with one attempt each in flight overload the backends. An agent
// with a sparse quota admits less of its demand as latency passes the target, and all of it while there is no queue.
func TestSparseQuotaAdmitsByLatency(t *testing.T) {
	play := func(latency time.Duration) (sent int) {
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
	if n := play(40 * ms); n < 198 {
		t.Errorf("without queues %d of 200 were sent, want all", n)
	}
	if n := play(320 * ms); n < 20 || n > 90 {
		t.Errorf("at four fifths of the aim %d of 200 were sent, want about a quarter", n)
	}
}

// Incident i8cbe41: without gossip nothing limited 893 agents with sparse quotas, and every queue stayed full. An
// agent that meets rejections only admits less, though no peer tells it anything.
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
		t.Errorf("%d of 60 were sent to servers that are all full, want about a third", sent)
	}
}

// Dallas rough-1: in an overloaded fleet answers come after the clients' timeouts. An attempt that is outstanding for
// most of its objective counts as late at once, and less is admitted before it ends.
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
	for i := range 60 { // nothing is answered any more
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		r.advance(60 * ms)
		if i >= 30 {
			sent += len(r.sent[id])
		}
	}
	if sent > 15 {
		t.Errorf("%d of 30 were sent though nothing had come back for seconds", sent)
	}
}
