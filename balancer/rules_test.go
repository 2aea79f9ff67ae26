package balancer_test

// Tests of the rules under random, adverse orders of events.

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"martenbeam/balancer"
)

// playAdverseEvents plays a legal but adverse sequence of random events against a balancer, and audits its actions.
func playAdverseEvents(t *testing.T, seed uint64, steps int) *auditor {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	s := settings()
	s.Balancers = 1 + rng.IntN(30)
	s.Self = rng.IntN(s.Balancers)
	s.Subscribe = rng.IntN(2) == 0
	s.HedgingAllowed = rng.IntN(2) == 0
	s.GossipAllowed = rng.IntN(2) == 0
	s.MaxAttempts = rng.IntN(6)
	s.CrossZoneCost = float64(rng.IntN(2)) * 0.02
	if rng.IntN(4) == 0 {
		s.SlowStartWindow, s.OverloadWindow, s.PollInterval, s.Tick = 0, 0, 0, 0
	}
	s.Classes = s.Classes[:1+rng.IntN(len(s.Classes))]
	for i := range s.Classes {
		s.Classes[i].DedupWindow = time.Duration(rng.IntN(100)) * ms
	}
	b, err := balancer.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	a := newAuditor(s)
	a.now = time.Hour
	type timer struct {
		at    time.Duration
		token int64
	}
	var timers []timer
	var outstanding []balancer.Outcome // outstanding attempts
	deadlines := map[string]time.Duration{}
	pool := backends(8)
	next := 0
	for range steps {
		a.now += time.Duration(rng.IntN(30)) * ms / 4
		var events []balancer.Event
		pending := timers[:0]
		for _, tm := range timers {
			if tm.at <= a.now {
				events = append(events, balancer.TimerFired{Token: tm.token})
			} else {
				pending = append(pending, tm)
			}
		}
		timers = pending
		for range rng.IntN(3) {
			next++
			id := fmt.Sprint("q", next)
			timeRemaining := time.Duration(1+rng.IntN(1500)) * ms
			deadlines[id] = a.now + timeRemaining
			events = append(events, balancer.Request{ID: id, Class: rng.IntN(len(s.Classes)), TimeRemaining: timeRemaining,
				Work: time.Duration(rng.IntN(3)*rng.IntN(200)) * ms, ClientRetry: rng.IntN(5) == 0})
		}
		// Every attempt ends by its request's deadline; some end early, with any result.
		remaining := outstanding[:0]
		for _, o := range outstanding {
			switch {
			case deadlines[o.Request] <= a.now:
				o.Result = balancer.TimedOut
			case rng.IntN(8) == 0:
				o.Result = balancer.Result(rng.IntN(8))
			default:
				remaining = append(remaining, o)
				continue
			}
			o.Latency = time.Duration(rng.IntN(900)) * ms
			o.Done = o.Result == balancer.OK || a.requests[o.Request].ended
			events = append(events, o)
			if rng.IntN(10) == 0 {
				events = append(events, o) // reported twice
			}
		}
		outstanding = remaining
		switch rng.IntN(25) {
		case 0:
			backend := &pool[rng.IntN(len(pool))]
			backend.State = balancer.BackendState(rng.IntN(3))
			if rng.IntN(2) == 0 {
				backend.State, backend.Started = balancer.Up, a.now
			}
			events = append(events, balancer.EndpointUpdate{Kind: balancer.UpdateDelta, Backends: []balancer.Backend{*backend}})
		case 1:
			var full []balancer.Backend // may be empty
			for _, backend := range pool[:rng.IntN(len(pool)+1)] {
				backend.State = balancer.Up
				full = append(full, backend)
			}
			events = append(events, balancer.EndpointUpdate{Kind: balancer.UpdateKind(1 + rng.IntN(2)), Backends: full})
		case 2:
			events = append(events, balancer.EndpointUpdate{Kind: balancer.UpdateFailed})
		case 3:
			if next > 0 {
				events = append(events, balancer.Abandoned{Request: fmt.Sprint("q", 1+rng.IntN(next))})
			}
		case 4:
			events = append(events, balancer.TimerFired{Token: rng.Int64N(1 << 20)},
				balancer.Outcome{Request: fmt.Sprint("q", rng.IntN(next+2)), Attempt: rng.IntN(2)*99 - 1},
				balancer.ProbeResult{Backend: "x"}, balancer.GossipReceived{From: 70})
		case 5:
			events = append(events, balancer.GossipReceived{From: rng.IntN(12) - 1,
				Data: binary.BigEndian.AppendUint64(nil, rng.Uint64())[:rng.IntN(9)]})
		}
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, e := range events {
			a.event(e)
		}
		for _, act := range b.Step(a.now, events) {
			a.action(act)
			switch act := act.(type) {
			case balancer.SetTimer:
				timers = append(timers, timer{a.now + act.After, act.Token})
			case balancer.Send:
				outstanding = append(outstanding, balancer.Outcome{Request: act.Request, Backend: act.Backend,
					Attempt: len(a.requests[act.Request].sends) - 1})
			}
		}
		a.checkUnanswered()
	}
	return a
}

func TestRulesUnderAnyOrder(t *testing.T) {
	for seed := uint64(1); seed <= 150; seed++ {
		a := playAdverseEvents(t, seed, 600)
		if len(a.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	}
}

func FuzzRulesUnderAnyOrder(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if a := playAdverseEvents(t, seed, 400); len(a.violations) > 0 {
			t.Fatal(strings.Join(a.violations[:min(3, len(a.violations))], "\n"))
		}
	})
}
