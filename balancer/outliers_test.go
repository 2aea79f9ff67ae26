package balancer_test

// Tests of outlier detection: which failures eject a backend, and for how long.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A backend that fails fast is always idle; it must not attract the traffic.
func TestBackendThatFailsFastIsEjected(t *testing.T) {
	r := newRig(t, settings(), 4, backends(6))
	bad := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, nonIdempotent)
		res, lat := balancer.OK, 30*ms
		if r.sent[id][0] == "a" {
			res, lat = balancer.Errored, ms
			bad++
		}
		r.now += lat
		r.outcome(id, res, lat)
	}
	if bad > 6 {
		t.Errorf("the failing backend got %d of 300", bad)
	}
	// Once it works again it comes back.
	r.advance(20 * time.Second)
	if counts := r.serve(400, idempotent, 30*ms); counts["a"] < 20 {
		t.Errorf("after healing it got %d of 400", counts["a"])
	}
}

// Without any idempotent class an ejected backend must still come back.
func TestEjectionEndsWithoutIdempotentClass(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[nonIdempotent : nonIdempotent+1]
	r := newRig(t, s, 4, backends(3))
	for i := 0; ; i++ {
		id := fmt.Sprint("q", i)
		r.request(id, 0)
		r.now += 20 * ms
		if r.sent[id][0] == "a" {
			r.outcome(id, balancer.Errored, 20*ms)
			break
		}
		r.outcome(id, balancer.OK, 20*ms)
	}
	r.advance(5 * time.Second)
	if counts := r.serve(200, 0, 30*ms); counts["a"] == 0 {
		t.Error("an ejected backend never got traffic again")
	}
}

// playWithBaselineFailures drives a fleet of ten with 40 requests in flight, where one attempt in twelve fails to
// connect or is reset and, if bad, two in three at backend a. It returns the sends of the last half, by backend and in
// total.
func playWithBaselineFailures(t *testing.T, bad bool) (counts map[string]int, total int) {
	t.Helper()
	r := newRig(t, settings(), 5, backends(10))
	counts = map[string]int{}
	at := map[string]int{}
	var answered [4000]int
	for i := range answered {
		r.request(fmt.Sprint("q", i), nonIdempotent)
		r.advance(ms)
		for k := max(0, i-500); k < i-40; k++ {
			id := fmt.Sprint("q", k)
			if len(r.sent[id]) == answered[k] {
				continue
			}
			to := r.sent[id][answered[k]]
			answered[k]++
			if at[to]++; at[to]%12 == 0 || bad && to == "a" && at[to]%3 > 0 {
				r.outcome(id, []balancer.Result{balancer.Reset, balancer.ConnectFailed}[at[to]/12%2], ms)
			} else {
				r.outcome(id, balancer.OK, 40*ms)
			}
			if i >= 2000 {
				counts[to]++
				total++
			}
		}
	}
	return counts, total
}

// Ticket 8488: where some attempts break everywhere, a broken one says nothing about its backend. If each such backend
// were ejected or taken for dead, the rest would have to carry everything.
func TestBaselineFailuresEjectNobody(t *testing.T) {
	if _, total := playWithBaselineFailures(t, false); total < 1950 {
		t.Errorf("%d of 2000 requests were sent", total)
	}
}

// A single reset ejects nobody, also before the agent has learned the baseline: with as many backends out as resets in
// the first seconds, a tenth of the requests was refused. Two in a row eject.
func TestSingleResetEjectsNobody(t *testing.T) {
	for n, ejected := range map[int]bool{1: false, 2: true} {
		r := newRig(t, settings(), 1, backends(3))
		r.serve(30, nonIdempotent, 20*ms)
		for i := 0; n > 0; i++ {
			id := fmt.Sprint("b", i)
			r.request(id, nonIdempotent)
			r.now += ms
			if r.sent[id][0] == "a" {
				r.outcome(id, balancer.Reset, ms)
				n--
			} else {
				r.outcome(id, balancer.OK, 20*ms)
			}
		}
		if got := r.serve(20, nonIdempotent, ms)["a"]; (got == 0) != ejected {
			t.Errorf("it got %d of 20, ejected wanted: %v", got, ejected)
		}
	}
}

// A backend that fails far more than the others is still avoided.
func TestBackendWorseThanBaselineIsEjected(t *testing.T) {
	if counts, total := playWithBaselineFailures(t, true); counts["a"] > total/25 {
		t.Errorf("the failing backend got %d of %d", counts["a"], total)
	}
}

// When every backend is ejected, first attempts are sent all the same.
func TestFirstAttemptGoesOutWhenAllAreEjected(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 4, backends(2))
	for i := range 10 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		r.now += ms
		r.outcome(id, balancer.Errored, ms)
	}
}

// Incident ieb2a7b: attempts that hang at a silent backend must not use up the capacity of the others once it is
// ejected.
func TestHangingAttemptsUseNoCapacity(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 1, backends(3))
	r.serve(60, idempotent, 20*ms)
	r.now += ms
	var hung []string
	for i := range 18 {
		id := fmt.Sprint("h", i)
		r.request(id, idempotent)
		if len(r.sent[id]) == 1 && r.sent[id][0] == "a" {
			hung = append(hung, id)
		}
	}
	if len(hung) < 3 {
		t.Fatalf("only %v hang", hung)
	}
	r.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(r.sent[id]) == 1 && r.sent[id][0] != "a" {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	r.now += 100 * ms
	r.outcome(hung[0], balancer.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		for _, b := range r.sent[id] {
			if n++; b == "a" {
				t.Errorf("%s went to the backend that answers nothing", id)
			}
		}
	}
	if n < 12 {
		t.Errorf("%d in flight on the two that answer, want all of their room of 12", n)
	}
}

// shareAfterFailures drives a balancer with three backends until a has n requests outstanding, ends these with res in
// one tick, and returns how many of 200 requests a gets after a while.
func shareAfterFailures(t *testing.T, n int, res balancer.Result) int {
	t.Helper()
	r := newRig(t, settings(), 3, backends(3))
	r.serve(60, idempotent, 20*ms)
	var out []string
	for i := 0; len(out) < n; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, idempotent)
		if r.sent[id][0] == "a" {
			out = append(out, id)
		}
	}
	r.now += 20 * ms
	for _, id := range out {
		r.outcome(id, res, 20*ms)
	}
	for i := range len(r.sent) {
		if id := fmt.Sprint("d", i); len(r.sent[id]) > 0 && r.sent[id][0] != "a" {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	r.advance(2 * time.Second)
	for _, id := range out { // those that were retried
		if len(r.sent[id]) > 1 {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	return r.serve(200, idempotent, 20*ms)["a"]
}

// A backend that is back before the endpoint list says so counts as in slow start. A process that died refuses
// connections, or breaks all its outstanding attempts at once.
func TestRestartedBackendIsInSlowStart(t *testing.T) {
	for name, seen := range map[string]int{
		"refused":        shareAfterFailures(t, 1, balancer.ConnectFailed),
		"all broke once": shareAfterFailures(t, 3, balancer.Reset),
	} {
		if seen == 0 || seen > 35 {
			t.Errorf("%s: after its return it got %d of 200, want a cold backend's share", name, seen)
		}
	}
}

// Ticket 397: one reset attempt, or one unreadable answer, does not mean a restart. Backends taken for cold, one after
// the other, left no capacity within seconds.
func TestSingleResetIsNoRestart(t *testing.T) {
	if seen := shareAfterFailures(t, 1, balancer.Reset); seen < 45 {
		t.Errorf("after one broken answer it got %d of 200, want about a third", seen)
	}
}
