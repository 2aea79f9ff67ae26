package balancer_test

// Tests of retries: which failures are retried, when, where, and on what budget.

import (
	"fmt"
	"testing"
	"time"

	"martenbeam/balancer"
)

// Each outcome leads to a retry at another backend or to a final answer, depending on the class.
func TestOutcomeDecidesRetryOrFinalAnswer(t *testing.T) {
	const retry = "retry"
	tests := []struct {
		class  int
		result balancer.Result
		want   string
	}{
		{idempotent, balancer.Errored, retry},
		{idempotent, balancer.TimedOut, retry},
		{idempotent, balancer.Reset, retry},
		{idempotent, balancer.Rejected, retry},
		{idempotent, balancer.ConnectFailed, retry},
		{idempotent, balancer.NotSent, "refuse"},
		{nonIdempotent, balancer.Errored, "fail"},
		{nonIdempotent, balancer.TimedOut, "fail"},
		{nonIdempotent, balancer.Reset, "fail"},
		{nonIdempotent, balancer.Cancelled, "fail"},
		{nonIdempotent, balancer.Rejected, retry},
		{nonIdempotent, balancer.ConnectFailed, retry},
		{nonIdempotent, balancer.NotSent, "refuse"},
		{scopeAll, balancer.Errored, retry},
		{scopeAll, balancer.Rejected, retry},
		{scopeZone, balancer.Errored, retry},
		{scopeZone, balancer.ConnectFailed, retry},
		{scopeCell, balancer.TimedOut, retry},
		{scopeCell, balancer.Reset, retry},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("class %d result %d", tt.class, tt.result), func(t *testing.T) {
			r := newRig(t, settings(), 7, backends(6))
			r.request("q", tt.class)
			r.now += 10 * ms
			acts := r.outcome("q", tt.result, 10*ms)
			acts = append(acts, r.advance(200*ms)...)
			got := final("q", acts)
			if len(r.sent["q"]) == 2 {
				got += retry
				if r.sent["q"][0] == r.sent["q"][1] {
					t.Errorf("both attempts went to %s, which had just failed", r.sent["q"][0])
				}
			}
			if got != tt.want {
				t.Errorf("after the outcome: %q, want %q", got, tt.want)
			}
		})
	}
}

// A request with an idempotency key that may have executed is retried only in its scope and within its window.
func TestKeyedRequestStaysInScopeAndWindow(t *testing.T) {
	zone := map[string]int{"a": 0, "b": 0, "c": 1, "d": 1, "e": 2, "f": 2}
	for seed := uint64(0); seed < 40; seed++ {
		for _, class := range []int{scopeZone, scopeCell} {
			r := newRig(t, settings(), seed, backends(6))
			r.request("q", class)
			r.now += 5 * ms
			r.outcome("q", balancer.Errored, 5*ms)
			r.advance(200 * ms)
			if s := r.sent["q"]; len(s) != 2 || zone[s[0]] != zone[s[1]] {
				t.Errorf("seed %d class %d: attempts at %v, want two in one idempotency scope", seed, class, s)
			}
		}
	}
	t.Run("window", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", scopeAll)
		r.now += 300 * ms
		acts := r.outcome("q", balancer.Errored, 300*ms)
		if final("q", acts) != "fail" {
			t.Errorf("outcome after the deduplication window: %v, want a failure", acts)
		}
	})
	t.Run("never executed", func(t *testing.T) {
		r := newRig(t, settings(), 1, backends(6))
		r.request("q", scopeZone)
		r.now += 400 * ms
		r.outcome("q", balancer.ConnectFailed, 400*ms)
		r.advance(200 * ms)
		if len(r.sent["q"]) != 2 {
			t.Errorf("attempts at %v, want two: the first was never executed and sets no scope", r.sent["q"])
		}
	})
}

func TestAttemptsStopAtTheLimit(t *testing.T) {
	s := settings()
	s.MaxAttempts = 3
	r := newRig(t, s, 3, backends(6))
	r.request("q", idempotent)
	var all []balancer.Action
	for range 6 {
		if final("q", all) != "" {
			break
		}
		r.now += ms
		all = append(all, r.outcome("q", balancer.Errored, ms)...)
		all = append(all, r.advance(150*ms)...)
	}
	if len(r.sent["q"]) != 3 || final("q", all) != "fail" {
		t.Errorf("attempts at %v and final answer %q, want 3 and one failure", r.sent["q"], final("q", all))
	}
}

// The budget has 100 tokens: 20 retries at 5, or 10 after time-outs. First attempts are also sent when the budget is
// empty; each answered request adds one token, up to the capacity.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	// spend fails n requests and returns how many were retried. The retry fails, too, so that it does not refill the
	// budget.
	spend := func(r *rig, n int, res balancer.Result) (retried int) {
		for range n {
			id := fmt.Sprintf("spend-%d", len(r.sent))
			r.request(id, idempotent)
			if len(r.sent[id]) != 1 {
				t.Fatalf("first attempt of %s was not sent", id)
			}
			r.now += ms
			r.outcome(id, res, ms)
			r.advance(100 * ms)
			if len(r.sent[id]) == 2 {
				retried++
				r.now += ms
				r.outcome(id, balancer.Errored, ms)
			}
			r.advance(30 * time.Second) // until ejections have ended
		}
		return retried
	}
	tests := []struct {
		name     string
		res      balancer.Result
		serve    int // requests answered after the budget is empty
		full     int
		refilled int
	}{
		{"errors cost 5", balancer.Errored, 4, 20, 0},
		{"five successes fund one retry", balancer.Errored, 5, 20, 1},
		{"time-outs cost 10", balancer.TimedOut, 9, 10, 0},
		{"ten successes fund one retry after a time-out", balancer.TimedOut, 10, 10, 1},
		{"capacity is the upper bound", balancer.Errored, 500, 20, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, s, 5, backends(6))
			if got := spend(r, 30, tt.res); got != tt.full {
				t.Errorf("a full budget funded %d retries, want %d", got, tt.full)
			}
			r.serve(tt.serve, idempotent, 20*ms)
			r.advance(30 * time.Second)
			if got := spend(r, 30, tt.res); got != tt.refilled {
				t.Errorf("the refilled budget funded %d retries, want %d", got, tt.refilled)
			}
		})
	}
}

// Backoff has full jitter: between 0 and a unit (a share of the objective) that doubles with each retry up to a
// ceiling.
func TestBackoffIsFullJitterUpToTheCeiling(t *testing.T) {
	s := settings()
	s.MaxAttempts = 7
	unit := s.Classes[idempotent].LatencyObjective / 32
	longest := make([]time.Duration, 6)
	shortest := []time.Duration{time.Hour, time.Hour, time.Hour, time.Hour, time.Hour, time.Hour}
	for seed := uint64(0); seed < 300; seed++ {
		r := newRig(t, s, seed, backends(8))
		r.request("q", idempotent)
		for n := range 6 {
			r.outcome("q", balancer.Rejected, 0)
			failed := r.now
			for len(r.sent["q"]) == n+1 && len(r.timersAt) > 0 {
				r.advance(ms / 4)
			}
			if len(r.sent["q"]) != n+2 {
				t.Fatalf("seed %d: retry %d was not made", seed, n)
			}
			longest[n] = max(longest[n], r.now-failed)
			shortest[n] = min(shortest[n], r.now-failed)
		}
	}
	for n, got := range longest {
		bound := unit << min(n, 3)
		if got > bound+ms || got < bound*8/10 {
			t.Errorf("retry %d waited up to %v, want 80%% to 100%% of %v", n, got, bound)
		}
		if shortest[n] > bound/10 {
			t.Errorf("retry %d waited at least %v, want full jitter from 0", n, shortest[n])
		}
	}
}

// A retry whose backoff would outlast the deadline is not made.
func TestRetryThatWouldMissTheDeadlineIsNotMade(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.request("q", idempotent)
	r.now += 2000 * ms
	if acts := r.outcome("q", balancer.TimedOut, 2000*ms); final("q", acts) != "fail" {
		t.Errorf("outcome at the deadline: %v, want the final answer at once", acts)
	}
}

// A retry must reach its backend within the deduplication window, also if its connection takes the whole connect
// timeout to open: a request whose retry was sent at the end of the window could otherwise execute twice.
func TestRetryReachesBackendInDedupWindow(t *testing.T) {
	for _, row := range []struct {
		failed time.Duration
		sends  int
	}{{100 * ms, 2}, {250 * ms, 1}} {
		s := settings()
		s.ConnectTimeout = 100 * ms // the window is 300 ms
		r := newRig(t, s, 1, backends(4))
		r.request("x", scopeAll)
		r.now += row.failed
		acts := append(r.outcome("x", balancer.Errored, row.failed), r.advance(100*ms)...)
		if n := len(r.sent["x"]); n != row.sends {
			t.Errorf("failure after %v: %d sends, want %d", row.failed, n, row.sends)
		}
		if got := final("x", acts); (got != "") != (row.sends == 1) {
			t.Errorf("failure after %v: final answer %q, want one only without a retry", row.failed, got)
		}
	}
}

// A retry stays in the cell or zone of the first attempt, also if an endpoint update has moved that backend since. The
// SendDeadline of a retry is the end of the deduplication window.
func TestRetriesStayWhereTheFirstAttemptRan(t *testing.T) {
	for _, class := range []int{scopeCell, scopeZone} {
		retries := 0
		for seed := range uint64(30) {
			s := settings()
			s.ConnectTimeout = 20 * ms
			list := backends(6)
			r := newRig(t, s, seed, list)
			start := r.now
			if a := r.request("q", class); firstSend(t, a).SendDeadline != 0 {
				t.Fatal("the first attempt has a SendDeadline, want 0")
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
					t.Fatalf("class %d, seed %d: retry at %s, want another backend of the cell in which %s was at first",
						class, seed, id, moved.ID)
				}
				if send := firstSend(t, r.actions); send.SendDeadline != start+s.Classes[class].DedupWindow {
					t.Fatalf("class %d: SendDeadline %v, %v after the first attempt, want the deduplication window of 300ms",
						class, send.SendDeadline, send.SendDeadline-start)
				}
				retries++
			}
		}
		if retries < 10 {
			t.Errorf("class %d: %d retries in 30 runs, want at least 10", class, retries)
		}
	}
}
