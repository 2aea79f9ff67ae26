package agent

// Admin calls: how they reach the balancer, and how they are answered.

import (
	"context"
	"errors"
	"slices"
	"time"

	"martenbeam/balancer"
)

// adminControl carries out admin calls on the agent, for admin.Server.
type adminControl struct {
	loop     *eventLoop
	frontend *frontend
}

// Ready reports whether clients are served.
func (o adminControl) Ready() bool { return o.frontend.accepting.Load() }

// SetDisabled disables a backend, or enables it again, and reports whether the balancer has it. It fails when ctx ends.
func (o adminControl) SetDisabled(ctx context.Context, backend string, detach bool) (bool, error) {
	return o.loop.submitCall(ctx, &adminCall{backend: backend, detach: detach})
}

// SetLameDuck drains the agent of clients, or ends that.
func (o adminControl) SetLameDuck(on bool) { o.frontend.setLameDuck(on) }

// adminCall is an operator's call to disable or enable a backend, on its way to the balancer.
type adminCall struct {
	ctx        context.Context // ends when the caller has been answered otherwise
	backend    string
	detach     bool
	replicated bool          // another process of this agent accepted it
	madeAt     time.Duration // on the loop's clock; 0: now
	accepted   chan bool     // buffered, so that the event loop never blocks
}

var errLoopStopped = errors.New("event loop stopped")

// submitCall passes a call to the balancer and reports whether it accepted it. It fails when ctx ends or the loop stops.
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

// enqueueCall queues a call for the next step, before the events that are already pending.
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

// completeCall answers a call as the balancer decided. The pool applies an accepted call before the caller knows.
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
