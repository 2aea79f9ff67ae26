package agent

import "context"

// adminControl carries out admin calls on the agent, for admin.Server.
type adminControl struct {
	loop     *eventLoop
	frontend *frontend
}

func (o adminControl) Ready() bool { return o.frontend.accepting.Load() }

func (o adminControl) SetDisabled(ctx context.Context, backend string, detach bool) (bool, error) {
	return o.loop.submitCall(ctx, &adminCall{backend: backend, detach: detach})
}

func (o adminControl) SetLameDuck(on bool) { o.frontend.setLameDuck(on) }
