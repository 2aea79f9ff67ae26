package agent

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/membudget"
	"martenbeam/internal/agent/upstream"
)

// TestLoopAnswersWhenBalancerDoesNot: if the balancer does not answer a request, the loop still sends exactly one final reply.
func TestLoopAnswersWhenBalancerDoesNot(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	l, err := newEventLoop(cfg, newClock(), upstream.New(cfg.poolConfig(), discardLog), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now()
	l.apply(requestArrived{r})
	l.apply(deadlineExceeded{r})
	l.apply(deadlineExceeded{r}) // the second event must have no effect
	l.apply(clientDisconnected{r})
	if a := receive(t, "final answer", r.reply); !a.timedOut {
		t.Errorf("final answer %+v, want timedOut", a)
	}
	if len(l.requests) != 0 || len(r.reply) != 0 {
		t.Errorf("%d requests and %d further replies left, want none", len(l.requests), len(r.reply))
	}
	if want := (balancer.Abandoned{Request: "1"}); !slices.Contains(l.pending, balancer.Event(want)) {
		t.Error("no Abandoned event is pending for the balancer")
	}
}

// TestRequestCancelledBeforeFirstStep: a request that is removed before the step that would pass its remaining time to the
// balancer does not stop the loop.
func TestRequestCancelledBeforeFirstStep(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	l, err := newEventLoop(cfg, newClock(), upstream.New(cfg.poolConfig(), discardLog), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.deadline = time.Now().Add(time.Minute)
	l.apply(requestArrived{r})
	l.apply(clientDisconnected{r})
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { l.run(ctx); close(done) }()
	next := newRequest("2", 0)
	next.deadline = time.Now().Add(time.Second)
	l.post(requestArrived{next})
	receive(t, "reply to the next request", next.reply)
	cancel()
	receive(t, "end of the event loop", done)
}

// TestAttemptTimerStopsOnceResponseStarts: the timer cancels an attempt at its deadline, unless the response has started by then.
func TestAttemptTimerStopsOnceResponseStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, inTime := range []bool{true, false} {
			ctx, cancel := context.WithCancelCause(context.Background())
			timer := &attemptTimer{cancel: cancel}
			timer.arm(time.Now().Add(time.Second))
			if !inTime {
				time.Sleep(2 * time.Second)
			}
			if timer.disarm() != inTime {
				t.Errorf("disarm returned %v, want the opposite", !inTime)
			}
			time.Sleep(2 * time.Second)
			if ended := errors.Is(context.Cause(ctx), upstream.ErrTimedOut); ended == inTime {
				t.Errorf("disarmed in time: %v, attempt timed out: %v; want exactly one of the two", inTime, ended)
			}
			cancel(nil)
		}
	})
}

// TestConcurrentAttemptsAreCounted: each further attempt that a request has open at the same time takes memory of its own, and the
// request's memory is released with the last of them. Guards against hedged requests that take more memory than is counted.
func TestConcurrentAttemptsAreCounted(t *testing.T) {
	cfg := testConfig(t, testSetup{})
	pool := upstream.New(cfg.poolConfig(), discardLog)
	l, err := newEventLoop(cfg, newClock(), pool, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest("1", 0)
	r.memory = pool.Memory.TryReserve(membudget.Request, membudget.RequestMemory)
	releaseFirst := l.reserveAttempt(r)
	r.openAttempts++
	releaseSecond := l.reserveAttempt(r)
	steps := []struct {
		what    string
		release func()
		want    int64 // bytes in use after release
	}{
		{"the second attempt began", func() {}, membudget.RequestMemory + membudget.AttemptMemory},
		{"the handler ended", r.memory.Release, membudget.RequestMemory + membudget.AttemptMemory},
		{"the first attempt ended", releaseFirst, membudget.RequestMemory + membudget.AttemptMemory},
		{"the second attempt ended", releaseSecond, 0},
	}
	for _, step := range steps {
		step.release()
		if used := pool.Memory.Used(); used != step.want {
			t.Errorf("%d bytes in use after %s, want %d", used, step.what, step.want)
		}
	}
}
