package hubclient

import (
	"context"
	"time"

	"martenbeam/internal/fleet"
	"martenbeam/internal/fleet/gossip"
)

const (
	meshFallbackDelay = 5 * time.Second // without a hub
	meshRetryInterval = time.Second     // after it could not be made
)

// serveAddress has the fleet address be answered until ctx ends: by the door, and while there is no hub by the flat fleet.
func (c *Client) serveAddress(ctx context.Context) {
	if !c.listener.awaitAddress(ctx) {
		return
	}
	defer c.listener.ln.Close()
	for ctx.Err() == nil {
		c.runWhile(ctx, func() bool { return c.cfg.NewMesh == nil || c.disconnectedFor() < meshFallbackDelay }, c.listener.accept)
		if ctx.Err() == nil && !c.fallBackToMesh(ctx) {
			c.runWhile(ctx, func() bool { return true }, func(ctx context.Context) {
				retryCtx, cancel := context.WithTimeout(ctx, meshRetryInterval)
				defer cancel()
				c.listener.accept(retryCtx)
			})
		}
	}
}

// runWhile does something until ctx ends, or what it is done for does not hold any more.
func (c *Client) runWhile(ctx context.Context, holds func() bool, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		tick := time.NewTicker(gossip.TickInterval)
		defer tick.Stop()
		for holds() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
		cancel()
	}()
	run(ctx)
}

// fallBackToMesh runs the flat fleet until a hub has taken this agent. The lower of both parts holds until the others have heard
// its goodbye. It reports whether the fleet could be made.
func (c *Client) fallBackToMesh(ctx context.Context) bool {
	listener, err := c.listener.duplicate()
	if err != nil {
		c.cfg.Log.Error("no flat fleet without hubs", "error", err)
		return false
	}
	mesh, err := c.cfg.NewMesh(listener, c.startedAt, fleet.Callbacks{Quota: c.setMeshQuota, Latencies: c.callbacks.Latencies})
	if err != nil {
		listener.Close()
		c.cfg.Log.Error("no flat fleet without hubs", "error", err)
		return false
	}
	c.cfg.Log.Warn("no hub: the flat fleet runs")
	c.mesh.Store(mesh)
	if c.serving.Load() {
		mesh.Ready()
	}
	c.runWhile(ctx, func() bool { return c.disconnectedFor() > 0 }, func(ctx context.Context) {
		if err := mesh.Run(ctx); err != nil {
			c.cfg.Log.Error("the flat fleet is left", "error", err)
		}
		<-ctx.Done()
	})
	c.mesh.Store(nil)
	c.setMeshQuota(0)
	c.forgetLatencies()
	c.cfg.Log.Info("a hub is back: the flat fleet has ended")
	return true
}

// setMeshQuota takes this agent's part by the flat fleet's rule; 0: it does not count any more.
func (c *Client) setMeshQuota(quota float64) {
	c.mu.Lock()
	c.meshQuota = quota
	c.mu.Unlock()
	c.wake()
}

// forgetLatencies has the distances be told anew: the flat fleet told others.
func (c *Client) forgetLatencies() {
	c.mu.Lock()
	c.rtts = nil
	c.mu.Unlock()
}
