package agent

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenbeam/balancer"
	"martenbeam/internal/agent/upstream"
)

// TestLoopAnswersWhenBalancerDoesNot: if the balancer does not answer, the loop still gives exactly one final reply.
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
	l.apply(deadlineExceeded{r}) // counts once
	l.apply(clientDisconnected{r})
	if a := receive(t, "final answer", r.reply); !a.timedOut {
		t.Errorf("%+v", a)
	}
	if len(l.requests) != 0 || len(r.reply) != 0 {
		t.Errorf("%d requests, %d more answers", len(l.requests), len(r.reply))
	}
	if want := (balancer.Abandoned{Request: "1"}); !slices.Contains(l.pending, balancer.Event(want)) {
		t.Error("the module was not told")
	}
}

// TestRequestCancelledBeforeFirstStep: a request may be gone before the step that would tell the balancer its time left.
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
	receive(t, "answer to the next request", next.reply)
	cancel()
	receive(t, "end of the loop", done)
}

// TestAttemptTimerStopsOnceResponseStarts: the first bytes of the response end the attempt's deadline, and nothing else.
func TestAttemptTimerStopsOnceResponseStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, inTime := range []bool{true, false} {
			ctx, cancel := context.WithCancelCause(context.Background())
			x := &attemptTimer{cancel: cancel}
			x.arm(time.Now().Add(time.Second))
			if !inTime {
				time.Sleep(2 * time.Second)
			}
			if x.disarm() != inTime {
				t.Errorf("in time: %v", !inTime)
			}
			time.Sleep(2 * time.Second)
			if ended := errors.Is(context.Cause(ctx), upstream.ErrTimedOut); ended == inTime {
				t.Errorf("in time %v: ended %v", inTime, ended)
			}
			cancel(nil)
		}
	})
}
