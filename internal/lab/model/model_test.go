package model

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same cases every time; -rapid.seed=0 draws others.
func init() { _ = flag.Set("rapid.seed", "1") } // rapid has registered it

func spec() Spec {
	return Spec{ID: "s", Cores: 4, Speed: 1, Slots: 8, QueueCapacity: 5, InitialCapacity: 0.2, SlowStartWindow: 10 * time.Second, OverloadMultiple: 3,
		OverloadWindow: 2 * time.Second, ThrashLoss: 0.4, ThrashAt: 1.5, KeySaving: 0.5, KeyTTL: time.Second, MaxKeys: 2, DegradeAt: 2.5, DegradeAfter: time.Second,
		DegradeFactor: 2, RecoverAfter: time.Second, MaxDegraded: 5 * time.Second, DropsCancelled: true}
}

// Whatever happens to a machine, every job ends exactly once, in order of time, and it never does more work than
// its cores can.
func TestEveryJobEndsOnceWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := spec()
		s.OverloadMultiple = rapid.SampledFrom([]float64{3, 1000}).Draw(t, "multiple")
		m := New(s, rapid.SampledFrom([]time.Duration{-1, 0}).Draw(t, "started"))
		m.KeySaving = 0 // else served work is more than done work
		now, lastEnd := time.Duration(0), time.Duration(0)
		ended, work := map[uint64]int{}, map[uint64]time.Duration{}
		served := time.Duration(0)
		record := func(list []Completion) {
			for _, d := range list {
				if d.At < lastEnd || d.At > now {
					t.Fatalf("ended at %v, the one before at %v, now %v", d.At, lastEnd, now)
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
				t.Fatalf("attempt %d ended %d times", id, ended[id])
			}
		}
		const slack = time.Millisecond // rounding, over a hundred jobs
		if maxWork := time.Duration(m.Capacity() * float64(now)); served > maxWork+slack {
			t.Fatalf("%v of work served in %v", served, maxWork)
		}
	})
}

func send(m *Machine, at time.Duration, n uint64, work time.Duration) []Completion {
	return m.Arrive(at, Job{Attempt: n, Work: work, ErrorDraw: 1, StartKnown: true})
}

// A cold machine falls over when it is sent more than the multiple of what it can do, and only then.
func TestOverloadInSlowStartCrashes(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     time.Duration
		start   time.Duration
		crashes bool
	}{
		{"within the budget", 100 * time.Millisecond, 0, false}, // 1 s of work a second; 2.4 is allowed
		{"past it", 10 * time.Millisecond, 0, true},             // 10 s a second
		{"past it, warm", 10 * time.Millisecond, -1, false},
	} {
		m := New(spec(), c.start)
		m.QueueCapacity = 1000
		for i := range uint64(100) {
			send(m, time.Duration(i)*c.gap, i, 100*time.Millisecond)
		}
		if crashed := m.State == Overloaded; crashed != c.crashes {
			t.Errorf("%s: fell %v", c.name, crashed)
		} else if crashed && m.InformedShare != 1 {
			t.Errorf("%s: informed %v", c.name, m.InformedShare)
		}
	}
}

// What a machine does with single jobs.
func TestMachineServesSingleJobs(t *testing.T) {
	onlyCompletion := func(m *Machine, after time.Duration) Completion {
		done := m.Advance(after)
		if len(done) != 1 {
			t.Fatalf("%d jobs have ended", len(done))
		}
		return done[0]
	}
	m := New(spec(), -1)
	send(m, 0, 1, 100*time.Millisecond)
	if d := onlyCompletion(m, time.Second); d.At != 100*time.Millisecond || d.Result != Served || !d.Ran {
		t.Errorf("alone: %+v", d)
	}
	m.SetFault(time.Second, 0, 0.5)
	send(m, time.Second, 2, 100*time.Millisecond)
	if d := onlyCompletion(m, 2*time.Second); d.At != 1200*time.Millisecond {
		t.Errorf("beside another program: %+v", d)
	}
	m.SetFault(2*time.Second, 1, 0)
	if d := m.Arrive(2*time.Second, Job{Attempt: 3, ErrorDraw: 0.99}); len(d) != 1 || d[0].Result != Failed || d[0].Ran {
		t.Errorf("failing at once: %+v", d)
	}
	m.SetFault(2*time.Second, 0, 0)
	for _, k := range []struct{ at, duration time.Duration }{ // a key is warm for a second
		{3 * time.Second, 100 * time.Millisecond}, {3500 * time.Millisecond, 50 * time.Millisecond}, {5 * time.Second, 100 * time.Millisecond}} {
		m.Arrive(k.at, Job{Attempt: 10, Key: 7, Work: 100 * time.Millisecond, ErrorDraw: 1})
		if d := onlyCompletion(m, k.at+200*time.Millisecond); (d.At - k.at).Round(time.Microsecond) != k.duration {
			t.Errorf("a key's request at %v took %v", k.at, d.At-k.at)
		}
	}
	m.Drain(6 * time.Second)
	if d := send(m, 6*time.Second, 20, time.Second); len(d) != 1 || d[0].Result != Rejected {
		t.Errorf("draining: %+v", d)
	}
	m.Restart(7 * time.Second)
	send(m, 7*time.Second, 21, time.Second)
	if d := m.Stop(8*time.Second, Removed); len(d) != 1 || d[0].Result != Lost {
		t.Errorf("ended under a job: %+v", d)
	}
	overloaded := New(spec(), -1)
	for i := range uint64(14) {
		if d := send(overloaded, 0, i, 10*time.Second); (len(d) == 1) != (i == 13) {
			t.Errorf("job %d of 8 in work and 5 waiting: %+v", i, d)
		}
	}
	before := overloaded.PresentCapacity(0)
	overloaded.Advance(1500 * time.Millisecond)
	if now := overloaded.PresentCapacity(1500 * time.Millisecond); now != before/2 {
		t.Errorf("crowded for long it does %v, before %v", now, before)
	}
}
