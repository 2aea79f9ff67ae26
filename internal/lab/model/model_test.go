package model

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each run draws the same cases; with -rapid.seed=0 each run draws different cases.
func init() { _ = flag.Set("rapid.seed", "1") } // package rapid registers this flag

func spec() Spec {
	return Spec{ID: "s", Cores: 4, Speed: 1, Slots: 8, QueueCapacity: 5, InitialCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3,
		OverloadWindow: 2 * time.Second, ThrashLoss: 0.4, ThrashAt: 1.5, KeySaving: 0.5, KeyTTL: time.Second, MaxKeys: 2, DegradeAt: 2.5, DegradeAfter: time.Second,
		DegradeFactor: 2, RecoverAfter: time.Second, MaxDegraded: 5 * time.Second, DropsCancelled: true}
}

// After any sequence of jobs, cancellations, faults and restarts, every job has ended exactly once, the completions are
// ordered by time, and the served work is within the machine's capacity.
func TestEveryJobEndsOnceWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.OverloadMultiple = rapid.SampledFrom([]float64{3, 1000}).Draw(t, "multiple")
		m := New(s, rapid.SampledFrom([]time.Duration{-1, 0}).Draw(t, "started"))
		m.KeySaving = 0 // otherwise the served work exceeds the work done
		now, lastEnd := time.Duration(0), time.Duration(0)
		ended, work := map[uint64]int{}, map[uint64]time.Duration{}
		served := time.Duration(0)
		record := func(list []Completion) {
			for _, d := range list {
				if d.At < lastEnd || d.At > now {
					t.Fatalf("completion at %v after one at %v, want ordered completions up to the present time %v", d.At, lastEnd, now)
				}
				lastEnd = d.At
				ended[d.Attempt]++
				if d.Result == Served {
					served += work[d.Attempt]
				}
			}
		}
		n := rapid.IntRange(1, 120).Draw(t, "events")
		for i := range n {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				record(m.SetFault(now, rapid.Float64Range(0, 1).Draw(t, "bad"), rapid.Float64Range(0, 0.9).Draw(t, "taken")))
			case 1:
				record(m.Cancel(now, uint64(rapid.IntRange(1, n).Draw(t, "attempt"))))
			case 2:
				record(m.Stop(now, Silent))
				m.Restart(now)
			default:
				j := Job{Attempt: uint64(i + 1), Key: uint64(rapid.IntRange(0, 3).Draw(t, "key")), ErrorDraw: 1,
					Work: time.Duration(rapid.IntRange(1, 400).Draw(t, "work")) * time.Millisecond}
				work[j.Attempt] = j.Work
				record(m.Arrive(now, j))
			}
		}
		record(m.SetFault(now, 0, 0))
		now += time.Hour
		record(m.Advance(now))
		for id := range work {
			if ended[id] != 1 {
				t.Fatalf("attempt %d ended %d times, want once", id, ended[id])
			}
		}
		const slack = time.Millisecond // rounding errors of about a hundred jobs
		if maxWork := time.Duration(m.Capacity() * float64(now)); served > maxWork+slack {
			t.Fatalf("%v of work served, more than the capacity of %v", served, maxWork)
		}
	})
}

func send(m *Machine, at time.Duration, n uint64, work time.Duration) []Completion {
	return m.Arrive(at, Job{Attempt: n, Work: work, ErrorDraw: 1, StartKnown: true})
}

// A machine in slow start crashes if and only if the work that it gets exceeds OverloadMultiple times its present capacity.
func TestOverloadInSlowStartCrashes(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     time.Duration
		start   time.Duration
		crashes bool
	}{
		{"within the budget", 100 * time.Millisecond, 0, false}, // 1 s of work per second; 2.4 s is allowed
		{"above the budget", 10 * time.Millisecond, 0, true},    // 10 s of work per second
		{"above the budget after slow start", 10 * time.Millisecond, -1, false},
	} {
		m := New(spec(), c.start)
		m.QueueCapacity = 1000
		for i := range uint64(100) {
			send(m, time.Duration(i)*c.gap, i, 100*time.Millisecond)
		}
		if crashed := m.State == Overloaded; crashed != c.crashes {
			t.Errorf("%s: crashed is %v, want the opposite", c.name, crashed)
		} else if crashed && m.InformedShare != 1 {
			t.Errorf("%s: informed share %v, want 1", c.name, m.InformedShare)
		}
	}
}

// Single jobs get the expected results and service times in each state of a machine.
func TestMachineServesSingleJobs(t *testing.T) {
	onlyCompletion := func(m *Machine, after time.Duration) Completion {
		done := m.Advance(after)
		if len(done) != 1 {
			t.Fatalf("%d jobs have ended, want one", len(done))
		}
		return done[0]
	}
	m := New(spec(), -1)
	send(m, 0, 1, 100*time.Millisecond)
	if d := onlyCompletion(m, time.Second); d.At != 100*time.Millisecond || d.Result != Served || !d.Ran {
		t.Errorf("a single job: %+v, want it served at 100 ms", d)
	}
	m.SetFault(time.Second, 0, 0.5)
	send(m, time.Second, 2, 100*time.Millisecond)
	if d := onlyCompletion(m, 2*time.Second); d.At != 1200*time.Millisecond {
		t.Errorf("with half of the capacity taken by another program: %+v, want its end at 1.2 s", d)
	}
	m.SetFault(2*time.Second, 1, 0)
	if d := m.Arrive(2*time.Second, Job{Attempt: 3, ErrorDraw: 0.99}); len(d) != 1 || d[0].Result != Failed || d[0].Ran {
		t.Errorf("with all requests failing at once: %+v, want one failed job that did not run", d)
	}
	m.SetFault(2*time.Second, 0, 0)
	for _, k := range []struct{ at, duration time.Duration }{ // a key stays cached for a second
		{3 * time.Second, 100 * time.Millisecond}, {3500 * time.Millisecond, 50 * time.Millisecond}, {5 * time.Second, 100 * time.Millisecond}} {
		m.Arrive(k.at, Job{Attempt: 10, Key: 7, Work: 100 * time.Millisecond, ErrorDraw: 1})
		if d := onlyCompletion(m, k.at+200*time.Millisecond); (d.At - k.at).Round(time.Microsecond) != k.duration {
			t.Errorf("the request for the key at %v took %v, want 50 ms if the key is cached, else 100 ms", k.at, d.At-k.at)
		}
	}
	m.Drain(6 * time.Second)
	if d := send(m, 6*time.Second, 20, time.Second); len(d) != 1 || d[0].Result != Rejected {
		t.Errorf("job at a draining machine: %+v, want one rejected", d)
	}
	m.Restart(7 * time.Second)
	send(m, 7*time.Second, 21, time.Second)
	if d := m.Stop(8*time.Second, Removed); len(d) != 1 || d[0].Result != Lost {
		t.Errorf("job of a stopped machine: %+v, want one lost", d)
	}
	overloaded := New(spec(), -1)
	for i := range uint64(14) {
		if d := send(overloaded, 0, i, 10*time.Second); (len(d) == 1) != (i == 13) {
			t.Errorf("job %d, with 8 slots and a queue of 5: %+v, want only job 13 to end at once", i, d)
		}
	}
	before := overloaded.PresentCapacity(0)
	overloaded.Advance(1500 * time.Millisecond)
	if now := overloaded.PresentCapacity(1500 * time.Millisecond); now != before/2 {
		t.Errorf("capacity %v after a second of overload, want half of %v", now, before)
	}
}
