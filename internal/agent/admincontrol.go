package agent

// How the agent passes admin calls to the balancer and answers them.

import (
	"context"
	"errors"
	"slices"
	"time"

	"martenbeam/balancer"
)

// adminControl applies the admin calls of an admin.Server to the agent.
type adminControl struct {
	loop     *eventLoop
	frontend *frontend
}

// Ready reports whether the agent accepts clients' requests.
func (c adminControl) Ready() bool { return c.frontend.accepting.Load() }

// SetDisabled disables a backend if detach is true and enables it otherwise. It reports whether the balancer lists the
// backend, and fails when ctx ends or the event loop stops.
func (c adminControl) SetDisabled(ctx context.Context, backend string, detach bool) (bool, error) {
	return c.loop.submitCall(ctx, &adminCall{backend: backend, detach: detach})
}

// SetLameDuck starts draining clients from the agent, or stops draining them.
func (c adminControl) SetLameDuck(on bool) { c.frontend.setLameDuck(on) }

// adminCall is an operator's call to disable or enable a backend.
type adminCall struct {
	ctx        context.Context // ends when the caller no longer waits for the result
	backend    string
	detach     bool
	replicated bool          // another process of this agent accepted the call
	madeAt     time.Duration // on the event loop's clock; 0: now
	accepted   chan bool     // buffered, so that the event loop never blocks
}

var errLoopStopped = errors.New("event loop stopped")

// submitCall passes a call to the balancer and reports whether the balancer accepted the call. It fails when ctx ends or the
// event loop stops.
func (l *eventLoop) submitCall(ctx context.Context, call *adminCall) (bool, error) {
	call.ctx, call.accepted = ctx, make(chan bool, 1)
	select {
	case l.calls <- call:
	case <-l.stopped:
		return false, errLoopStopped
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
	select {
	case accepted := <-call.accepted:
		return accepted, nil
	case <-l.stopped:
		return false, errLoopStopped
	case <-ctx.Done():
		return false, context.Cause(ctx)
	}
}

// enqueueCall queues a call ahead of the pending events for the next step. It drops a call whose caller no longer waits.
func (l *eventLoop) enqueueCall(call *adminCall) {
	if call.ctx.Err() != nil {
		return
	}
	l.lastCallID++
	l.openCalls[l.lastCallID] = call
	var event balancer.Event
	if call.detach {
		event = balancer.Disable{Call: l.lastCallID, Backend: call.backend, Inherited: call.replicated}
	} else {
		event = balancer.Enable{Call: l.lastCallID, Backend: call.backend, Inherited: call.replicated, At: call.madeAt}
	}
	l.pending = slices.Insert(l.pending, 0, event)
}

// completeCall returns the balancer's decision to the caller, after the pool has applied an accepted call.
func (l *eventLoop) completeCall(answer balancer.OverrideResult) {
	call := l.openCalls[answer.Call]
	if call == nil {
		l.log.Error("answer to an unknown admin call", "call", answer.Call)
		return
	}
	delete(l.openCalls, answer.Call)
	if answer.Accepted {
		l.pool.SetDisabled(call.backend, call.detach)
	}
	call.accepted <- answer.Accepted
}
