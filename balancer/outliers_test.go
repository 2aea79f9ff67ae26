package balancer_test

// Tests of outlier detection: which failures eject a backend, and for how long.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// A backend that fails fast is always idle, and must not attract traffic because of its idleness.
func TestBackendThatFailsFastIsEjected(t *testing.T) {
	r := newRig(t, settings(), 4, backends(6))
	failed := 0
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, nonIdempotent)
		res, lat := balancer.OK, 30*ms
		if r.sent[id][0] == "a" {
			res, lat = balancer.Errored, ms
			failed++
		}
		r.now += lat
		r.outcome(id, res, lat)
	}
	if failed > 6 {
		t.Errorf("the failing backend got %d of 300 requests, want up to 6", failed)
	}
	// The backend gets traffic again after it has recovered.
	r.advance(20 * time.Second)
	if counts := r.serve(400, idempotent, 30*ms); counts["a"] < 20 {
		t.Errorf("the recovered backend got %d of 400 requests, want at least 20", counts["a"])
	}
}

// An ejection also ends where no class is idempotent.
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
		t.Error("the backend got no request after its ejection, want some")
	}
}

// playWithBaselineFailures drives a balancer over ten backends with 40 requests in flight. One attempt in twelve fails
// to connect or is reset; if aFails is true, two in three at backend a. It returns the number of attempts in the second
// half, by backend and in total.
func playWithBaselineFailures(t *testing.T, aFails bool) (counts map[string]int, total int) {
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
			if at[to]++; at[to]%12 == 0 || aFails && to == "a" && at[to]%3 > 0 {
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

// Ticket 8488: where a share of attempts fails at every backend, single failures must not eject a backend or presume
// its process dead. Otherwise the remaining backends would have to serve all traffic.
func TestBaselineFailuresDoNotEject(t *testing.T) {
	if _, total := playWithBaselineFailures(t, false); total < 1950 {
		t.Errorf("%d of 2000 requests were sent, want at least 1950", total)
	}
}

// A single reset doesn't eject a backend, even before the agent has measured the baseline failure rate; two in a row
// eject it. When each reset in the first seconds ejected a backend, a tenth of the requests was refused.
func TestSingleResetDoesNotEject(t *testing.T) {
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
			t.Errorf("after its resets backend a got %d of 20 requests, want ejected: %v", got, ejected)
		}
	}
}

// A backend that fails far more often than the others is also ejected where attempts fail at every backend.
func TestBackendWorseThanBaselineIsEjected(t *testing.T) {
	if counts, total := playWithBaselineFailures(t, true); counts["a"] > total/25 {
		t.Errorf("the failing backend got %d of %d attempts, want up to a 25th", counts["a"], total)
	}
}

// First attempts are sent even if every backend is ejected.
func TestFirstAttemptIsSentWhenAllAreEjected(t *testing.T) {
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

// Incident ieb2a7b: attempts outstanding at an unresponsive backend must not count against the capacity of the other
// backends after it is ejected.
func TestHangingAttemptsUseNoCapacity(t *testing.T) {
	s := settings()
	s.MaxAttempts = 1
	r := newRig(t, s, 1, backends(3))
	r.serve(60, idempotent, 20*ms)
	r.now += ms
	var hanging []string
	for i := range 18 {
		id := fmt.Sprint("h", i)
		r.request(id, idempotent)
		if len(r.sent[id]) == 1 && r.sent[id][0] == "a" {
			hanging = append(hanging, id)
		}
	}
	if len(hanging) < 3 {
		t.Fatalf("only requests %v were sent to backend a, want at least 3", hanging)
	}
	r.now += 20 * ms
	for i := range 18 {
		if id := fmt.Sprint("h", i); len(r.sent[id]) == 1 && r.sent[id][0] != "a" {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	r.now += 100 * ms
	r.outcome(hanging[0], balancer.TimedOut, 120*ms)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("q", i)
		r.request(id, idempotent)
		for _, b := range r.sent[id] {
			if n++; b == "a" {
				t.Errorf("%s went to the unresponsive backend", id)
			}
		}
	}
	if n < 12 {
		t.Errorf("%d attempts in flight at the two responsive backends, want their full capacity of 12", n)
	}
}

// shareAfterFailures drives a balancer with three backends until backend a has n outstanding requests, and ends all n
// with the result res at the same time. It returns how many of 200 requests backend a gets 2 s later.
func shareAfterFailures(t *testing.T, n int, res balancer.Result) int {
	t.Helper()
	r := newRig(t, settings(), 3, backends(3))
	r.serve(60, idempotent, 20*ms)
	var outstanding []string
	for i := 0; len(outstanding) < n; i++ {
		id := fmt.Sprint("d", i)
		r.request(id, idempotent)
		if r.sent[id][0] == "a" {
			outstanding = append(outstanding, id)
		}
	}
	r.now += 20 * ms
	for _, id := range outstanding {
		r.outcome(id, res, 20*ms)
	}
	for i := range len(r.sent) {
		if id := fmt.Sprint("d", i); len(r.sent[id]) > 0 && r.sent[id][0] != "a" {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	r.advance(2 * time.Second)
	for _, id := range outstanding { // end the retries
		if len(r.sent[id]) > 1 {
			r.outcome(id, balancer.OK, 20*ms)
		}
	}
	return r.serve(200, idempotent, 20*ms)["a"]
}

// A backend that responds again before the endpoint list reports its restart counts as in slow start. After its process
// has died, connections are refused, or all outstanding attempts are reset at once.
func TestRestartedBackendIsInSlowStart(t *testing.T) {
	for name, got := range map[string]int{
		"connection refused": shareAfterFailures(t, 1, balancer.ConnectFailed),
		"all attempts reset": shareAfterFailures(t, 3, balancer.Reset),
	} {
		if got == 0 || got > 35 {
			t.Errorf("%s: the restarted backend got %d of 200 requests, want 1 to 35", name, got)
		}
	}
}

// Ticket 397: one reset attempt, or one malformed response, doesn't indicate a restart. When each put its backend into
// slow start, no capacity was left within seconds.
func TestSingleResetIsNotARestart(t *testing.T) {
	if got := shareAfterFailures(t, 1, balancer.Reset); got < 45 {
		t.Errorf("after one reset the backend got %d of 200 requests, want at least 45", got)
	}
}
