package agent

// The timer for the deadline of an attempt.

import (
	"context"
	"sync"
	"time"

	"martenbeam/internal/agent/upstream"
)

// attemptTimer cancels an attempt at its deadline, unless the attempt has ended or its response has started by then.
type attemptTimer struct {
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	disarmed bool
	expired  bool
}

// arm starts the timer. It does nothing if the timer has been armed or disarmed before.
func (t *attemptTimer) arm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.disarmed && t.timer == nil {
		t.timer = time.AfterFunc(time.Until(at), func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.disarmed {
				t.expired = true
				t.cancel(upstream.ErrTimedOut)
			}
		})
	}
}

// disarm stops the timer permanently. It returns false if the timer has already cancelled the attempt.
func (t *attemptTimer) disarm() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	t.disarmed = !t.expired
	return t.disarmed
}
