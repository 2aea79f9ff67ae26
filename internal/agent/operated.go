package agent

import "context"

// operated is the agent as operators' calls see it.
type operated struct {
	loop  *loop
	front *front
}

func (o operated) Ready() bool { return o.front.taking.Load() }

func (o operated) SetDisabled(ctx context.Context, backend string, detach bool) (bool, error) {
	return o.loop.call(ctx, &call{backend: backend, detach: detach})
}

func (o operated) SetLameDuck(on bool) { o.front.setLame(on) }
