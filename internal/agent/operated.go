package agent

import "context"

// adminControl is the agent as operators' calls see it.
type adminControl struct {
	loop     *eventLoop
	frontend *frontend
}

func (o adminControl) Ready() bool { return o.frontend.accepting.Load() }

func (o adminControl) SetDisabled(ctx context.Context, backend string, detach bool) (bool, error) {
	return o.loop.submitCall(ctx, &adminCall{backend: backend, detach: detach})
}

func (o adminControl) SetLameDuck(on bool) { o.frontend.setLameDuck(on) }
